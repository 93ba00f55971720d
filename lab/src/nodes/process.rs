//! An edge node as a process, which is killed when its value is dropped.

use super::configuration_json;
use super::standins::is_ready;
use crate::cpu_time;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Time between two checks whether a process is ready.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Why a process could not be used.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The program could not be started.
    #[error("cannot start {}: {source}", program.display())]
    Start {
        /// The program.
        program: PathBuf,
        /// The reason.
        source: io::Error,
    },
    /// Its first line of output did not name the address where it listens.
    #[error("an edge node said '{0}' instead of where it listens")]
    NoAddress(String),
    /// It was not ready in time.
    #[error("the edge node at {0} was not ready in time")]
    NotReady(SocketAddr),
    /// Another call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A running process.
pub struct NodeProcess {
    /// Where it accepts requests.
    pub address: SocketAddr,
    child: Child,
    configuration_path: PathBuf,
}

impl NodeProcess {
    /// Starts one and waits until it listens.
    pub fn start(
        program: &Path,
        discovery: SocketAddr,
        rank: u32,
        processes: u32,
        seed: u64,
    ) -> Result<Self, ProcessError> {
        let name = format!("fleet-lab-{}-{rank}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, configuration_json(discovery, rank, processes, seed))?;
        let child = Command::new(program)
            .env("RELAY_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|source| ProcessError::Start { program: program.to_owned(), source })?;
        let mut process = Self { address: ([127, 0, 0, 1], 0).into(), child, configuration_path: path };
        let stderr = process.child.stderr.take().ok_or_else(|| io::Error::other("no standard error"))?;
        let mut log = BufReader::new(stderr);
        process.address = read_address(&mut log)?;
        // Nobody reads the log further, but it must not fill the pipe.
        std::thread::spawn(move || io::copy(&mut log, &mut io::sink()));
        Ok(process)
    }

    /// Waits until it is ready.
    pub fn wait_until_ready(&self, timeout: Duration) -> Result<(), ProcessError> {
        let deadline = Instant::now() + timeout;
        while !is_ready(self.address) {
            if Instant::now() > deadline {
                return Err(ProcessError::NotReady(self.address));
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
        Ok(())
    }

    /// Its peak memory, in KB.
    pub fn peak_memory_kb(&self) -> io::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
        peak.ok_or_else(|| io::Error::other("no memory is told"))
    }

    /// Processor time that it has used, in seconds.
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

/// Reads the first line of a node's log, which ends with the address where it listens.
fn read_address(log: &mut impl BufRead) -> Result<SocketAddr, ProcessError> {
    let mut line = String::new();
    log.read_line(&mut line)?;
    let address = line.trim().rsplit(' ').next().and_then(|word| word.parse().ok());
    address.ok_or_else(|| ProcessError::NoAddress(line.trim().to_owned()))
}
