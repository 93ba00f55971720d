//! An edge node as a process that is started, told to end, killed, held up and started again.

use super::discovery::Agent;
use super::http::read_message;
use super::oracle::{Oracle, Rule};
use super::settings::{configuration, Allowed};
use fault_injection::Faults;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::{File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Where nodes listen, each at an address of its own; no port that the system gives.
const PORT: u16 = 9_000;
/// A node that starts is to be ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// A node that was told to end may be killed after this time: the longest deadline, taken for 3 s, and 0.7 s.
const KILLED_AFTER: Duration = Duration::from_millis(3_700);
/// The front sends to a node for so long after it was told to end.
const FRONT_LATE: Duration = Duration::from_millis(300);
/// Least time between two times for which a node is held up.
const BETWEEN_HOLDS: Duration = Duration::from_millis(400);
/// Time between two looks at a process.
const LOOK: Duration = Duration::from_millis(20);
/// Most of one core that a node may use in the mean.
const CORE_PART: f64 = 0.5;
/// Steps of the system's count of processor time in a second (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// What all nodes of a run have in common.
pub struct Fleet {
    /// The program.
    pub program: PathBuf,
    /// Where configurations and logs are written.
    pub folder: PathBuf,
    /// Number of nodes.
    pub nodes: usize,
    /// Seed of the run.
    pub seed: u64,
    /// What the settings allow.
    pub allowed: Allowed,
}

/// One node over all its lives.
pub struct Node {
    /// Its number.
    pub rank: usize,
    /// Where clients connect.
    pub address: SocketAddr,
    /// The faults of its process.
    pub faults: Faults,
    /// Its agents: it follows one, and may be moved to the other.
    pub agents: [Arc<Agent>; 2],
    /// The front sends clients there.
    admitted: AtomicBool,
    following: AtomicUsize,
    /// Lives so far.
    life: AtomicU64,
    /// The last life that was killed: what it held is excused.
    killed: AtomicU64,
    /// It is being told to end or started again; nobody else may.
    busy: tokio::sync::Mutex<()>,
    /// It is being held up, or was a moment ago.
    held: tokio::sync::Mutex<()>,
    process: Mutex<Option<(Child, Instant)>>,
    fleet: Arc<Fleet>,
    oracle: Arc<Oracle>,
}

impl Node {
    /// One that has not been started.
    pub fn new(
        rank: usize,
        agents: [Arc<Agent>; 2],
        fleet: Arc<Fleet>,
        oracle: Arc<Oracle>,
    ) -> io::Result<Arc<Self>> {
        // Of its own on the loopback network, so that it is free again whenever the node starts anew.
        let host = [127, 64 + (fleet.seed / 250 % 64) as u8, (fleet.seed % 250) as u8, rank as u8 + 1];
        let address = SocketAddr::from((host, PORT));
        Ok(Arc::new(Self {
            rank,
            address,
            faults: Faults::new()?,
            agents,
            admitted: AtomicBool::new(false),
            following: AtomicUsize::new(0),
            life: AtomicU64::new(0),
            killed: AtomicU64::new(0),
            busy: tokio::sync::Mutex::default(),
            held: tokio::sync::Mutex::default(),
            process: Mutex::default(),
            fleet,
            oracle,
        }))
    }

    fn process(&self) -> MutexGuard<'_, Option<(Child, Instant)>> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the front sends clients there.
    pub fn admitted(&self) -> bool {
        self.admitted.load(Ordering::SeqCst)
    }

    /// The number of its present life.
    pub fn life(&self) -> u64 {
        self.life.load(Ordering::SeqCst)
    }

    /// Whether a life was killed.
    pub fn was_killed(&self, life: u64) -> bool {
        self.killed.load(Ordering::SeqCst) >= life
    }

    /// The agent that it follows.
    pub fn agent(&self) -> &Arc<Agent> {
        &self.agents[self.following.load(Ordering::SeqCst)]
    }

    fn config_path(&self) -> PathBuf {
        self.fleet.folder.join(format!("node-{}.json", self.rank))
    }

    fn log_path(&self) -> PathBuf {
        self.fleet.folder.join(format!("node-{}.log", self.rank))
    }

    /// Looks through its log for promises that it has seen itself break, and for panics.
    pub fn read_log(&self) -> io::Result<()> {
        let log = std::fs::read(self.log_path())?;
        for line in String::from_utf8_lossy(&log).lines() {
            if line.contains("promise broken") || line.contains("panicked at") {
                self.oracle.violation(Rule::Promise, format!("node {}: {line}", self.rank));
            }
        }
        Ok(())
    }

    fn write_configuration(&self) -> io::Result<()> {
        let Fleet { nodes, seed, allowed, .. } = *self.fleet;
        let seed = seed ^ (self.life() << 16) ^ self.rank as u64;
        let config = configuration(self.address, self.agent().address, self.rank, nodes, seed, allowed);
        std::fs::write(self.config_path(), config.to_string())
    }

    /// Starts a process and waits until it is ready.
    pub async fn start(&self) -> io::Result<()> {
        let _busy = self.busy.lock().await;
        self.start_now().await
    }

    async fn start_now(&self) -> io::Result<()> {
        let life = self.life.fetch_add(1, Ordering::SeqCst) + 1;
        self.oracle.forget_told(self.rank);
        self.agent().named();
        self.write_configuration()?;
        let log: File = OpenOptions::new().create(true).append(true).open(self.log_path())?;
        let mut command = Command::new(&self.fleet.program);
        command
            .env("RELAY_CONFIG", self.config_path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        self.faults.apply(&mut command);
        let begun = Instant::now();
        *self.process() = Some((command.spawn()?, begun));
        while !self.is_up().await {
            if begun.elapsed() > READY_WITHIN {
                self.oracle.violation(Rule::Ready, format!("life {life} of node {} is not ready", self.rank));
                break;
            }
            if !self.runs() {
                let what = format!("life {life} of node {} ended at its start", self.rank);
                self.oracle.violation(Rule::Lifecycle, what);
                break;
            }
            sleep(LOOK).await;
        }
        self.admitted.store(true, Ordering::SeqCst);
        self.oracle.tally("nodes started");
        Ok(())
    }

    async fn is_up(&self) -> bool {
        let ask = async {
            let mut stream = BufReader::new(TcpStream::connect(self.address).await?);
            stream.write_all(b"GET /up HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").await?;
            read_message(&mut stream).await
        };
        matches!(timeout(Duration::from_secs(1), ask).await, Ok(Ok(Some(answer))) if answer.status() == 200)
    }

    fn runs(&self) -> bool {
        self.process().as_mut().is_some_and(|(child, _)| matches!(child.try_wait(), Ok(None)))
    }

    fn signal(&self, signal: Signal) {
        if let Some((child, _)) = &*self.process() {
            // One that has ended already needs none.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Tells it to end, waits for that, and starts it again; `again` tells it to read its configuration and to end
    /// once more meanwhile.
    pub async fn restart(&self, again: bool) -> io::Result<()> {
        let Ok(_busy) = self.busy.try_lock() else { return Ok(()) };
        self.signal(Signal::SIGTERM);
        sleep(FRONT_LATE).await;
        if again {
            self.signal(Signal::SIGHUP);
            self.signal(Signal::SIGTERM);
        }
        self.admitted.store(false, Ordering::SeqCst);
        let told = Instant::now();
        while self.runs() && told.elapsed() + FRONT_LATE < KILLED_AFTER {
            sleep(LOOK).await;
        }
        self.end("after SIGTERM", true);
        self.start_now().await
    }

    /// Kills it and starts it again after a while.
    pub async fn kill_and_start(&self, after: Duration) -> io::Result<()> {
        let Ok(_busy) = self.busy.try_lock() else { return Ok(()) };
        self.killed.store(self.life(), Ordering::SeqCst);
        self.end("", false);
        // The front notices late.
        sleep(after).await;
        self.admitted.store(false, Ordering::SeqCst);
        self.start_now().await
    }

    /// Takes in how its process has ended, or ends it.
    fn end(&self, when: &str, in_order: bool) {
        let Some((mut child, begun)) = self.process().take() else { return };
        let ended = matches!(child.try_wait(), Ok(Some(status)) if status.success());
        self.check_processor(&child, begun);
        let _ = child.kill();
        let status = child.wait();
        if in_order && !ended {
            self.killed.store(self.life(), Ordering::SeqCst);
            let what = format!("node {}, life {}: {status:?} {when}", self.rank, self.life());
            self.oracle.violation(Rule::Lifecycle, what);
        }
    }

    /// A node that uses a whole core goes round in circles.
    fn check_processor(&self, child: &Child, begun: Instant) {
        let Ok(stat) = std::fs::read_to_string(format!("/proc/{}/stat", child.id())) else { return };
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        let ticks: f64 = fields.skip(11).take(2).filter_map(|field| field.parse::<f64>().ok()).sum();
        let part = ticks / TICKS_PER_SECOND / begun.elapsed().as_secs_f64().max(1.0);
        if part > CORE_PART {
            self.oracle.violation(Rule::Processor, format!("node {} used {part:.2} of a core", self.rank));
        }
    }

    /// Moves it to its other agent by a new configuration; `again` signals that many times more.
    pub async fn reload(&self, again: u32) -> io::Result<()> {
        let Ok(_busy) = self.busy.try_lock() else { return Ok(()) };
        self.following.fetch_xor(1, Ordering::SeqCst);
        self.agent().named();
        self.write_configuration()?;
        for _ in 0..=again {
            self.signal(Signal::SIGHUP);
            sleep(Duration::from_millis(60)).await;
        }
        Ok(())
    }

    /// Keeps it from running for a while; never twice in a row, which would be one longer time.
    pub async fn hold_up(&self, time: Duration) {
        let Ok(_held) = self.held.try_lock() else { return };
        self.signal(Signal::SIGSTOP);
        sleep(time).await;
        self.signal(Signal::SIGCONT);
        sleep(BETWEEN_HOLDS).await;
    }

    /// Looks whether its process has ended unasked, and starts it again if so.
    pub async fn watch(&self) -> io::Result<()> {
        let Ok(_busy) = self.busy.try_lock() else { return Ok(()) };
        if self.life() > 0 && !self.runs() {
            self.admitted.store(false, Ordering::SeqCst);
            self.end("unasked", true);
            self.start_now().await?;
        }
        Ok(())
    }

    /// Tells it to end at the run's end.
    pub async fn finish(&self) {
        let _busy = self.busy.lock().await;
        self.admitted.store(false, Ordering::SeqCst);
        self.signal(Signal::SIGTERM);
        let told = Instant::now();
        while self.runs() && told.elapsed() < KILLED_AFTER {
            sleep(LOOK).await;
        }
        self.end("at the run's end", true);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some((child, _)) = &mut *self.process() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
