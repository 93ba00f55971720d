//! An edge node that runs as a child process.

use super::standins::is_ready;
use super::ZONES;
use crate::cpu_time;
use crate::deployment::zone_name;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Time between two readiness checks of a process.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Why a node process could not be started or used.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The program could not be started.
    #[error("cannot start {}: {source}", program.display())]
    Start {
        /// Path of the program.
        program: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The first line of the node's log, which is given here, did not end with its listen address.
    #[error("the first log line of an edge node, {0:?}, does not end with its listen address")]
    NoAddress(String),
    /// The node was not ready before the timeout.
    #[error("the edge node at {address} was not ready within {timeout:?}")]
    NotReady {
        /// Address at which the node listens.
        address: SocketAddr,
        /// How long its readiness was checked.
        timeout: Duration,
    },
    /// A file, a connection or a stand-in for discovery or an endpoint failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// What differs between the configurations of node processes.
#[derive(Clone, Copy, Debug)]
pub struct NodeConfiguration {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Rank of the node in its fleet.
    pub rank: u32,
    /// Number of nodes in the fleet.
    pub processes: u32,
    /// Seed of the node's random numbers.
    pub seed: u64,
    /// Memory limit in MB.
    pub memory_mb: u32,
}

impl NodeConfiguration {
    /// Returns the text of the configuration file.
    fn to_json(self) -> String {
        let Self { discovery, rank, processes, seed, memory_mb } = self;
        let zone = zone_name(rank, ZONES);
        format!(
            r#"{{"name":"n{rank}","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"{seed:x}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":1024}},"known":null,"settings":{{
"allowed":{{"cancel":true,"connectTimeoutMs":250,"keepaliveMs":30000,"maxRetryAfterMs":500,
"mostTries":3,"retryAfter":true}},
"az":"{zone}","balancers":{processes},"rank":{rank},"discovery":"automatic",
"classes":[{{"name":"book","aimMs":400,"deadlineMs":1500,"worth":1,"effect":"safe"}},
{{"name":"pay","aimMs":8000,"deadlineMs":20000,"worth":1,"effect":"unsafe"}}],
"contracts":[{{"name":"any"}}],"prices":{{"crossZone":0.01,"handshake":0.01}},
"rules":{{"coldFrom":0.2,"warmAfterMs":10000,"fallMultiple":2,"overloadForMs":1000}}}}}}"#
        )
    }
}

/// A running edge node. Dropping it kills the process and removes its configuration file.
pub struct NodeProcess {
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    child: Child,
    configuration_path: PathBuf,
}

impl NodeProcess {
    /// Starts a node and waits until it listens.
    ///
    /// # Errors
    /// If the program cannot be started, or does not report its address.
    pub fn start(program: &Path, configuration: &NodeConfiguration) -> Result<Self, ProcessError> {
        let name = format!("fleet-lab-{}-{}.json", std::process::id(), configuration.rank);
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, configuration.to_json())?;
        let child = Command::new(program)
            .env("RELAY_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|source| ProcessError::Start { program: program.to_owned(), source })?;
        let mut process = Self { address: ([127, 0, 0, 1], 0).into(), child, configuration_path: path };
        let stderr = process
            .child
            .stderr
            .take()
            .ok_or_else(|| io::Error::other("standard error of the node is not piped"))?;
        let mut log = BufReader::new(stderr);
        process.address = read_address(&mut log)?;
        // The rest of the log is discarded, so that the pipe does not fill up.
        std::thread::spawn(move || io::copy(&mut log, &mut io::sink()));
        Ok(process)
    }

    /// Waits until the node is ready. After the timeout, fails with [`ProcessError::NotReady`].
    pub fn wait_until_ready(&self, timeout: Duration) -> Result<(), ProcessError> {
        let deadline = Instant::now() + timeout;
        while !is_ready(self.address) {
            if Instant::now() > deadline {
                return Err(ProcessError::NotReady { address: self.address, timeout });
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
        Ok(())
    }

    /// Peak resident memory of the process, in KB.
    pub fn peak_memory_kb(&self) -> io::Result<u64> {
        self.memory_field_kb("VmHWM:")
    }

    /// Resident memory of the process, in KB.
    pub fn memory_kb(&self) -> io::Result<u64> {
        self.memory_field_kb("VmRSS:")
    }

    fn memory_field_kb(&self, field: &str) -> io::Result<u64> {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(&path)?;
        let value = status.lines().find_map(|line| line.strip_prefix(field));
        let value = value.and_then(|value| value.trim().trim_end_matches(" kB").parse().ok());
        value.ok_or_else(|| io::Error::other(format!("no {field} in {path}")))
    }

    /// CPU time that the process has used, in seconds.
    pub fn cpu_seconds(&self) -> io::Result<f64> {
        cpu_time::of_process(self.child.id())
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.configuration_path);
    }
}

/// Reads the first line of a node's log, which ends with its listen address.
fn read_address(log: &mut impl BufRead) -> Result<SocketAddr, ProcessError> {
    let mut line = String::new();
    log.read_line(&mut line)?;
    let address = line.trim().rsplit(' ').next().and_then(|word| word.parse().ok());
    address.ok_or_else(|| ProcessError::NoAddress(line.trim().to_owned()))
}
