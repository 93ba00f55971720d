//! One run of the soak, from starting all processes to shutting the nodes down.

use super::client::{Clients, SequentialClient};
use super::environment::Environment;
use super::fault::{inject, FAULTS};
use super::node::Fleet;
use super::oracle::{Findings, Oracle};
use super::settings::{Parameters, RandomSettings};
use crate::experiment::SoakSizes;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Time without faults at the start of a run.
const WARM_UP: Duration = Duration::from_millis(700);
/// Time that clients get to finish their requests at the end of a run.
const CLIENT_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two checks of the node processes and discovery agents.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(50);
/// Range from which the duration of a fault is drawn, in milliseconds.
const FAULT_DURATION_MS: Range<u64> = 400..2_500;

/// Makes one run with a seed and returns the oracle's findings.
pub async fn run(sizes: &SoakSizes, seed: u64, out: &Path) -> io::Result<Findings> {
    let mut rng = StdRng::seed_from_u64(seed);
    let parameters = Parameters::new();
    let oracle = Arc::new(Oracle::new(parameters));
    let directory = create_empty_directory(out, seed)?;
    let random_settings = RandomSettings { cancellation: rng.random(), subscription: rng.random_ratio(1, 3) };
    let fleet = Arc::new(Fleet {
        program: sizes.program.clone(),
        directory,
        nodes: sizes.nodes,
        seed,
        random_settings,
    });
    let environment = Environment::start(sizes, &fleet, &oracle, parameters).await?;
    let mut tasks = start_clients(sizes, seed, &environment.clients);
    tasks.spawn(supervise(environment.clone()));
    sleep(WARM_UP).await;
    inject_faults(sizes, &environment, &mut rng).await?;
    environment.clients.behavior.stopped.store(true, Ordering::Relaxed);
    wait_for_clients(tasks).await;
    environment.shut_down_nodes().await;
    environment.nodes().iter().try_for_each(|node| node.check_log())?;
    Ok(oracle.findings())
}

/// Creates the directory for a run's configurations and logs, and removes an earlier run's. All
/// incarnations of a node append to the same log, so a log left behind would be taken for this run's.
fn create_empty_directory(out: &Path, seed: u64) -> io::Result<PathBuf> {
    let directory = out.join(format!("soak-{seed}"));
    if directory.exists() {
        std::fs::remove_dir_all(&directory)?;
    }
    std::fs::create_dir_all(&directory)?;
    Ok(directory)
}

/// Starts all clients. Each client has its own random generator, and each kind derives its seeds differently.
fn start_clients(sizes: &SoakSizes, seed: u64, clients: &Arc<Clients>) -> JoinSet<()> {
    const PIPELINING_SEED_ROTATION: u32 = 17;
    let client_rng = |seed: u64, number: u32| StdRng::seed_from_u64(seed ^ u64::from(number) << 32);
    let think_time = Duration::from_millis(sizes.think_time_ms);
    let mut tasks = JoinSet::new();
    for number in 0..sizes.clients {
        let client = SequentialClient::new(clients.clone(), client_rng(seed, number));
        tasks.spawn(client.run(think_time));
    }
    for number in 0..sizes.bad_clients {
        tasks.spawn(clients.clone().run_bad_client(client_rng(!seed, number)));
    }
    for number in 0..sizes.pipelining_clients {
        let rng = client_rng(seed.rotate_left(PIPELINING_SEED_ROTATION), number);
        tasks.spawn(clients.clone().run_pipelining_client(rng));
    }
    tasks
}

/// Restarts node processes that exited on their own, and reports published removals to the oracle.
async fn supervise(environment: Arc<Environment>) {
    while !environment.clients.stopped() {
        for node in environment.nodes() {
            node.agent().report_removals();
            // A process that cannot be restarted is reported as not ready.
            let _ = node.supervise().await;
        }
        sleep(SUPERVISION_INTERVAL).await;
    }
}

/// Injects random faults until the run's time is over, always `concurrent_faults` of them at a time.
async fn inject_faults(
    sizes: &SoakSizes,
    environment: &Arc<Environment>,
    rng: &mut StdRng,
) -> io::Result<()> {
    let end = Instant::now() + Duration::from_secs(sizes.seconds);
    let mut injections = JoinSet::new();
    while Instant::now() < end {
        while injections.len() < sizes.concurrent_faults {
            let fault = FAULTS[rng.random_range(0..FAULTS.len())];
            let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
            let fault_rng = StdRng::seed_from_u64(rng.random());
            tracing::info!(?fault, ?duration, "fault injected");
            injections.spawn(inject(environment.clone(), fault, duration, fault_rng));
        }
        if let Some(result) = injections.join_next().await {
            result.map_err(io::Error::other)??;
        }
    }
    while let Some(result) = injections.join_next().await {
        result.map_err(io::Error::other)??;
    }
    environment.nodes().iter().try_for_each(|node| node.faults.clear_failures())
}

/// Waits for the client tasks to end. If one ends after the timeout, the remaining ones are aborted.
async fn wait_for_clients(mut tasks: JoinSet<()>) {
    let started_at = Instant::now();
    while tasks.join_next().await.is_some() {
        if started_at.elapsed() > CLIENT_SHUTDOWN_TIMEOUT {
            tasks.shutdown().await;
        }
    }
}
