//! An edge node whose process is started, shut down, killed, paused and restarted.

mod process;

use super::discovery::Agent;
use super::http::read_message;
use super::oracle::{Occurrence, Oracle, Rule};
use super::settings::{NodeConfiguration, RandomSettings};
use fault_injection::Faults;
use nix::sys::signal::Signal;
use process::NodeProcess;
use std::fs::{File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Port on which all nodes listen, each on its own IP address. It is outside the range of ephemeral ports.
const LISTEN_PORT: u16 = 9_000;
/// Number of seeds whose nodes have addresses in the same /16 network, each seed in its own /24.
const SEEDS_PER_NETWORK: u64 = 250;
/// Number of /16 networks that are used. Seeds beyond them share the addresses of earlier seeds.
const NETWORK_COUNT: u64 = 64;
/// Second byte of the addresses in the first network.
const FIRST_NETWORK: u8 = 64;
/// Time within which a node must be ready after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a node may take to shut down: the longest deadline, taken as 3 s, and a margin of 0.7 s.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3_700);
/// Time after SIGTERM for which the load balancer in front still sends clients to a node.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(300);
/// Minimum time between two pauses of a node.
const MIN_PAUSE_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two SIGHUP signals of a reload.
const RELOAD_INTERVAL: Duration = Duration::from_millis(60);
/// Time between two checks of whether a process is ready or has exited.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of one readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_secs(1);
/// Mean fraction of one core that a node may use at most. A node in a busy loop uses a whole core.
const MAX_CPU_FRACTION: f64 = 0.5;
/// Texts that a node logs when it detects a violated invariant (`Metrics::record_violation`) or panics.
const FATAL_LOG_TEXTS: [&str; 2] = ["invariant violated", "panicked at"];

/// The parameters that all nodes of a run have in common.
pub struct Fleet {
    /// Path of the node's executable.
    pub program: PathBuf,
    /// Directory in which configurations and logs are written.
    pub directory: PathBuf,
    /// Number of nodes.
    pub nodes: usize,
    /// Seed of the run.
    pub seed: u64,
    /// The settings drawn for the run, the same for all nodes.
    pub random_settings: RandomSettings,
}

impl Fleet {
    /// Returns a loopback address that only this node uses, so that it is free whenever the node restarts.
    fn address(&self, rank: usize) -> SocketAddr {
        let network = FIRST_NETWORK + (self.seed / SEEDS_PER_NETWORK % NETWORK_COUNT) as u8;
        let host = [127, network, (self.seed % SEEDS_PER_NETWORK) as u8, rank as u8 + 1];
        SocketAddr::from((host, LISTEN_PORT))
    }
}

/// One node through all its incarnations.
pub struct Node {
    /// Number of the node in the fleet, from 0.
    pub rank: usize,
    /// Address to which clients connect.
    pub address: SocketAddr,
    /// Faults of system calls and of the wall clock in the node's process.
    pub faults: Faults,
    agents: [Arc<Agent>; 2],
    /// Index of the agent that the node uses.
    current_agent: AtomicUsize,
    /// Whether the load balancer in front sends clients to the node.
    in_rotation: AtomicBool,
    /// Number of the present process, from 1; 0 before the first start.
    incarnation: AtomicU64,
    /// The last incarnation that was killed, 0 if none was. Its requests in flight need no response.
    last_killed: AtomicU64,
    /// Held while the process is started, ended or reloaded.
    lifecycle_lock: tokio::sync::Mutex<()>,
    /// Held while the node is paused and for `MIN_PAUSE_INTERVAL` after.
    pause_lock: tokio::sync::Mutex<()>,
    process: Mutex<Option<NodeProcess>>,
    fleet: Arc<Fleet>,
    oracle: Arc<Oracle>,
}

impl Node {
    /// Creates a node that has not been started.
    pub fn new(
        rank: usize,
        agents: [Arc<Agent>; 2],
        fleet: Arc<Fleet>,
        oracle: Arc<Oracle>,
    ) -> io::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            rank,
            address: fleet.address(rank),
            faults: Faults::new()?,
            agents,
            current_agent: AtomicUsize::new(0),
            in_rotation: AtomicBool::new(false),
            incarnation: AtomicU64::new(0),
            last_killed: AtomicU64::new(0),
            lifecycle_lock: tokio::sync::Mutex::default(),
            pause_lock: tokio::sync::Mutex::default(),
            process: Mutex::default(),
            fleet,
            oracle,
        }))
    }

    /// Whether the load balancer in front sends clients to the node.
    pub fn in_rotation(&self) -> bool {
        self.in_rotation.load(Ordering::SeqCst)
    }

    /// Returns the number of the present process, from 1; 0 before the first start.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::SeqCst)
    }

    /// Whether this incarnation or a later one was killed.
    pub fn was_killed(&self, incarnation: u64) -> bool {
        self.last_killed.load(Ordering::SeqCst) >= incarnation
    }

    /// Returns the discovery agent that the node uses.
    pub fn agent(&self) -> &Arc<Agent> {
        &self.agents[self.current_agent.load(Ordering::SeqCst)]
    }

    /// Starts the node's process and waits until it is ready.
    pub async fn start(&self) -> io::Result<()> {
        let _lifecycle = self.lifecycle_lock.lock().await;
        self.start_process().await
    }

    /// Shuts the node down and starts it again, unless it is already being started or ended. `with_signals`
    /// sends SIGHUP and a second SIGTERM during the shutdown.
    pub async fn restart(&self, with_signals: bool) -> io::Result<()> {
        let Ok(_lifecycle) = self.lifecycle_lock.try_lock() else { return Ok(()) };
        self.signal(Signal::SIGTERM);
        sleep(DEREGISTRATION_DELAY).await;
        if with_signals {
            self.signal(Signal::SIGHUP);
            self.signal(Signal::SIGTERM);
        }
        self.set_in_rotation(false);
        self.wait_for_exit(SHUTDOWN_TIMEOUT.saturating_sub(DEREGISTRATION_DELAY)).await;
        self.check_exit("after SIGTERM");
        self.start_process().await
    }

    /// Kills the node and starts it again after a delay, unless it is already being started or ended. The
    /// load balancer in front notices the failure only after the delay.
    pub async fn kill_and_restart(&self, delay: Duration) -> io::Result<()> {
        let Ok(_lifecycle) = self.lifecycle_lock.try_lock() else { return Ok(()) };
        self.mark_killed();
        if let Some(mut process) = self.take_process() {
            let _ = process.kill_and_wait();
        }
        sleep(delay).await;
        self.set_in_rotation(false);
        self.start_process().await
    }

    /// Switches the node to its other agent: writes the new configuration, and sends SIGHUP once and this
    /// many more times.
    pub async fn reload(&self, extra_signals: u32) -> io::Result<()> {
        let Ok(_lifecycle) = self.lifecycle_lock.try_lock() else { return Ok(()) };
        self.current_agent.fetch_xor(1, Ordering::SeqCst);
        self.agent().reset_reachable_since();
        self.write_configuration()?;
        for _ in 0..=extra_signals {
            self.signal(Signal::SIGHUP);
            sleep(RELOAD_INTERVAL).await;
        }
        Ok(())
    }

    /// Stops the node's execution for a while, unless it was paused shortly before: two pauses in a row would
    /// be one longer pause.
    pub async fn pause(&self, duration: Duration) {
        let Ok(_pause) = self.pause_lock.try_lock() else { return };
        self.signal(Signal::SIGSTOP);
        sleep(duration).await;
        self.signal(Signal::SIGCONT);
        sleep(MIN_PAUSE_INTERVAL).await;
    }

    /// Restarts the node if its process has exited on its own, which is a violation.
    pub async fn supervise(&self) -> io::Result<()> {
        let Ok(_lifecycle) = self.lifecycle_lock.try_lock() else { return Ok(()) };
        if self.incarnation() > 0 && !self.is_running() {
            self.set_in_rotation(false);
            self.check_exit("without a request to shut down");
            self.start_process().await?;
        }
        Ok(())
    }

    /// Shuts the node down at the end of the run.
    pub async fn shut_down(&self) {
        let _lifecycle = self.lifecycle_lock.lock().await;
        self.set_in_rotation(false);
        self.signal(Signal::SIGTERM);
        self.wait_for_exit(SHUTDOWN_TIMEOUT).await;
        self.check_exit("at the end of the run");
    }

    /// Searches the node's log for violated invariants and panics, and reports each as a violation.
    pub fn check_log(&self) -> io::Result<()> {
        let log = std::fs::read(self.log_path())?;
        for line in String::from_utf8_lossy(&log).lines() {
            if FATAL_LOG_TEXTS.iter().any(|text| line.contains(text)) {
                self.oracle.report_violation(Rule::Invariant, format!("node {}: {line}", self.rank));
            }
        }
        Ok(())
    }

    async fn start_process(&self) -> io::Result<()> {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        self.oracle.node_started(self.rank);
        self.agent().reset_reachable_since();
        self.write_configuration()?;
        *self.process() = Some(self.spawn()?);
        self.wait_until_ready().await;
        self.set_in_rotation(true);
        self.oracle.count(Occurrence::NodeStarted);
        Ok(())
    }

    fn spawn(&self) -> io::Result<NodeProcess> {
        let log: File = OpenOptions::new().create(true).append(true).open(self.log_path())?;
        let mut command = Command::new(&self.fleet.program);
        command
            .env("RELAY_CONFIG", self.configuration_path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        self.faults.apply(&mut command);
        NodeProcess::spawn(&mut command)
    }

    async fn wait_until_ready(&self) {
        let started_at = Instant::now();
        while !self.is_ready().await {
            if started_at.elapsed() > READY_TIMEOUT {
                let detail = format!("{} was not ready within {READY_TIMEOUT:?}", self.description());
                return self.oracle.report_violation(Rule::Ready, detail);
            }
            if !self.is_running() {
                let detail = format!("{} exited during its start", self.description());
                return self.oracle.report_violation(Rule::Lifecycle, detail);
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    async fn is_ready(&self) -> bool {
        let check = async {
            let mut stream = BufReader::new(TcpStream::connect(self.address).await?);
            stream.write_all(b"GET /up HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").await?;
            read_message(&mut stream).await
        };
        let response = timeout(READINESS_TIMEOUT, check).await;
        matches!(response, Ok(Ok(Some(response))) if response.status() == 200)
    }

    async fn wait_for_exit(&self, limit: Duration) {
        let started_at = Instant::now();
        while self.is_running() && started_at.elapsed() < limit {
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Takes the process, which should have exited. One that has not exited with success is killed and
    /// reported as a violation; `when` completes its detail.
    fn check_exit(&self, when: &str) {
        let Some(mut process) = self.take_process() else { return };
        let exited_successfully = process.exited_successfully();
        let status = process.kill_and_wait();
        if !exited_successfully {
            self.mark_killed();
            let detail = format!("{}: {status:?} {when}", self.description());
            self.oracle.report_violation(Rule::Lifecycle, detail);
        }
    }

    /// Takes the process, which the caller then ends, and checks how much processor time it has used.
    fn take_process(&self) -> Option<NodeProcess> {
        let process = self.process().take()?;
        if let Some(fraction) = process.cpu_fraction().filter(|fraction| *fraction > MAX_CPU_FRACTION) {
            let detail = format!("node {} used {fraction:.2} of a core on average", self.rank);
            self.oracle.report_violation(Rule::ProcessorTime, detail);
        }
        Some(process)
    }

    /// Records that the requests in flight at the present process are lost with it, and so need no response.
    fn mark_killed(&self) {
        self.last_killed.store(self.incarnation(), Ordering::SeqCst);
    }

    fn process(&self) -> MutexGuard<'_, Option<NodeProcess>> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_running(&self) -> bool {
        self.process().as_mut().is_some_and(NodeProcess::is_running)
    }

    fn signal(&self, signal: Signal) {
        if let Some(process) = &*self.process() {
            process.signal(signal);
        }
    }

    fn set_in_rotation(&self, in_rotation: bool) {
        self.in_rotation.store(in_rotation, Ordering::SeqCst);
    }

    fn description(&self) -> String {
        format!("node {}, incarnation {}", self.rank, self.incarnation())
    }

    fn write_configuration(&self) -> io::Result<()> {
        let Fleet { nodes, seed, random_settings, .. } = *self.fleet;
        let configuration = NodeConfiguration {
            listen: self.address,
            discovery: self.agent().address,
            rank: self.rank,
            nodes,
            seed: seed ^ (self.incarnation() << 16) ^ self.rank as u64,
            random_settings,
        };
        std::fs::write(self.configuration_path(), configuration.to_json().to_string())
    }

    fn configuration_path(&self) -> PathBuf {
        self.fleet.directory.join(format!("node-{}.json", self.rank))
    }

    fn log_path(&self) -> PathBuf {
        self.fleet.directory.join(format!("node-{}.log", self.rank))
    }
}
