//! A randomized soak under faults: real processes on loopback, stand-ins of all that is around them, a proxy in which
//! the network fails, signals, and system calls and clocks that fail within the processes. Several troubles overlap,
//! and the rules are the oracle. A run that breaks a rule makes the command fail.

mod client;
mod discovery;
mod endpoint;
mod fault;
mod http;
mod node;
mod oracle;
mod proxy;
mod settings;

use crate::experiment::SoakSizes;
use crate::report::Report;
use client::{Crowd, Habits};
use discovery::{Agent, Roster};
use fault::{World, TROUBLES};
use node::{Fleet, Node};
use oracle::Oracle;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use settings::{Allowed, Rules};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Quiet time at a run's beginning.
const QUIET: Duration = Duration::from_millis(700);
/// Time in which all that was asked is answered, behind a run.
const SETTLE: Duration = Duration::from_secs(5);
/// Period in which processes and agents are looked at.
const LOOK: Duration = Duration::from_millis(50);

/// Plays runs of consecutive seeds.
///
/// # Errors
/// If a run cannot be played, or a rule was broken.
pub fn run(sizes: &SoakSizes, seed: u64, out: &Path, report: &mut Report) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let mut broken = 0;
    for seed in seed..seed + sizes.runs {
        let oracle = runtime.block_on(play(sizes, seed, out))?;
        let (counts, violations, tallies) = oracle.verdict();
        for violation in &violations {
            tracing::error!(seed, "{violation}");
        }
        for (rule, count) in &counts {
            report.value(format!("seed {seed}: {rule:?} broken"), f64::from(*count));
            broken += count;
        }
        for (what, count) in &tallies {
            report.value(format!("seed {seed}: {what}"), *count as f64);
        }
        tracing::info!(seed, violations = counts.values().sum::<u32>(), ?tallies, "run is over");
    }
    report.value("rules broken in all runs", f64::from(broken));
    if broken > 0 {
        return Err(io::Error::other(format!("rules were broken {broken} times")));
    }
    Ok(())
}

/// Plays one run.
async fn play(sizes: &SoakSizes, seed: u64, out: &Path) -> io::Result<Arc<Oracle>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let rules = Rules::new();
    let oracle = Arc::new(Oracle::new(rules));
    let folder = out.join(format!("soak-{seed}"));
    // Logs are added to over all lives of a process, and an earlier run's are not its own.
    if folder.exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    std::fs::create_dir_all(&folder)?;
    let allowed = Allowed { cancelling: rng.random(), list_on_request: rng.random_ratio(1, 3) };
    let fleet = Arc::new(Fleet { program: sizes.program.clone(), folder, nodes: sizes.nodes, seed, allowed });
    let world = Arc::new(start(sizes, &fleet, &oracle, rules).await?);
    let mut tasks = JoinSet::new();
    for number in 0..sizes.clients {
        let rng = StdRng::seed_from_u64(seed ^ u64::from(number) << 32);
        tasks.spawn(world.crowd.clone().usual(rng, Duration::from_millis(sizes.think_time_ms)));
    }
    for number in 0..sizes.bad_clients {
        tasks.spawn(world.crowd.clone().bad(StdRng::seed_from_u64(!seed ^ u64::from(number) << 32)));
    }
    for number in 0..sizes.pipelining_clients {
        let rng = StdRng::seed_from_u64(seed.rotate_left(17) ^ u64::from(number) << 32);
        tasks.spawn(world.crowd.clone().batching(rng));
    }
    tasks.spawn(look_after(world.clone()));
    sleep(QUIET).await;
    troubles(sizes, &world, &mut rng).await?;
    world.crowd.habits.over.store(true, Ordering::Relaxed);
    let settled = Instant::now();
    while tasks.join_next().await.is_some() {
        if settled.elapsed() > SETTLE {
            tasks.shutdown().await;
        }
    }
    let mut endings = JoinSet::new();
    for node in world.crowd.nodes.clone() {
        endings.spawn(async move { node.finish().await });
    }
    while endings.join_next().await.is_some() {}
    for node in &world.crowd.nodes {
        node.read_log()?;
    }
    Ok(oracle)
}

async fn start(
    sizes: &SoakSizes,
    fleet: &Arc<Fleet>,
    oracle: &Arc<Oracle>,
    rules: Rules,
) -> io::Result<World> {
    let mut nodes = Vec::new();
    let roster = Roster::new(&[]);
    for rank in 0..sizes.nodes {
        let first = Agent::start(rank, roster.clone(), oracle.clone()).await?;
        let second = Agent::start(rank, roster.clone(), oracle.clone()).await?;
        nodes.push(Node::new(rank, [first, second], fleet.clone(), oracle.clone())?);
    }
    let (habits, ids) = (Habits::default(), AtomicU64::new(0));
    let crowd = Arc::new(Crowd { nodes, oracle: oracle.clone(), habits, ids });
    let servers = AtomicU64::new(0);
    let world = World { roster, crowd, oracle: oracle.clone(), rules, servers };
    for _ in 0..sizes.endpoints {
        let server = world.server().await?;
        world.roster.add(server);
    }
    let mut starts = JoinSet::new();
    for node in world.crowd.nodes.clone() {
        starts.spawn(async move { node.start().await });
    }
    while let Some(started) = starts.join_next().await {
        started.map_err(io::Error::other)??;
    }
    Ok(world)
}

/// Looks after processes that end unasked, and tells the oracle what counts as told.
async fn look_after(world: Arc<World>) {
    while !world.crowd.habits.over.load(Ordering::Relaxed) {
        for node in &world.crowd.nodes {
            node.agent().count_as_told();
            // A process that cannot be started again shows as one that is not ready.
            let _ = node.watch().await;
        }
        sleep(LOOK).await;
    }
}

/// Draws troubles until the run's time is over, so that some are always on at once.
async fn troubles(sizes: &SoakSizes, world: &Arc<World>, rng: &mut StdRng) -> io::Result<()> {
    let end = Instant::now() + Duration::from_secs(sizes.seconds);
    let mut on = JoinSet::new();
    while Instant::now() < end {
        while on.len() < sizes.concurrent_faults {
            let trouble = TROUBLES[rng.random_range(0..TROUBLES.len())];
            let time = Duration::from_millis(rng.random_range(400..2_500));
            let seed = rng.random();
            tracing::info!(?trouble, ?time, "trouble");
            on.spawn(world.clone().befall(trouble, time, StdRng::seed_from_u64(seed)));
        }
        if let Some(ended) = on.join_next().await {
            ended.map_err(io::Error::other)??;
        }
    }
    while let Some(ended) = on.join_next().await {
        ended.map_err(io::Error::other)??;
    }
    for node in &world.crowd.nodes {
        node.faults.heal()?;
    }
    Ok(())
}
