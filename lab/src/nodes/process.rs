//! An edge node as a process of its own; it ends with the value that stands for it.

use super::configuration;
use super::standins::is_up;
use crate::cpu_time;
use std::fmt;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Time between two looks at whether a process is ready.
const LOOK: Duration = Duration::from_millis(2);

/// Why a process could not be used.
#[derive(Debug)]
pub enum ProcessError {
    /// The program could not be started.
    Start(PathBuf, io::Error),
    /// It ended or said nothing of where it listens.
    NoAddress(String),
    /// It was not ready in time.
    NotReady(SocketAddr),
    /// Something else failed.
    Io(io::Error),
}

impl fmt::Display for ProcessError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start(program, error) => write!(f, "cannot start {}: {error}", program.display()),
            Self::NoAddress(line) => write!(f, "an edge node said '{line}' instead of where it listens"),
            Self::NotReady(address) => write!(f, "the edge node at {address} was not ready in time"),
            Self::Io(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for ProcessError {}

impl From<io::Error> for ProcessError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<ProcessError> for io::Error {
    fn from(error: ProcessError) -> Self {
        io::Error::other(error)
    }
}

/// A process that runs.
pub struct Process {
    /// Where it takes requests.
    pub address: SocketAddr,
    child: Child,
    config: PathBuf,
}

impl Process {
    /// Starts one and waits until it listens.
    pub fn start(
        program: &Path,
        discovery: SocketAddr,
        rank: u32,
        processes: u32,
        seed: u64,
    ) -> Result<Self, ProcessError> {
        let name = format!("fleet-lab-{}-{rank}.json", std::process::id());
        let config = std::env::temp_dir().join(name);
        std::fs::write(&config, configuration(discovery, rank, processes, seed))?;
        let child = Command::new(program)
            .env("RELAY_CONFIG", &config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|error| ProcessError::Start(program.to_owned(), error))?;
        let mut process = Self { address: ([127, 0, 0, 1], 0).into(), child, config };
        let stderr = process.child.stderr.take().ok_or_else(|| io::Error::other("no standard error"))?;
        let mut lines = BufReader::new(stderr);
        let mut line = String::new();
        lines.read_line(&mut line)?;
        let address = line.trim().rsplit(' ').next().and_then(|word| word.parse().ok());
        process.address = address.ok_or(ProcessError::NoAddress(line.trim().to_owned()))?;
        // What it logs goes nowhere, but must not fill the pipe.
        std::thread::spawn(move || io::copy(&mut lines, &mut io::sink()));
        Ok(process)
    }

    /// Waits until it answers that it is ready.
    pub fn wait_until_ready(&self, within: Duration) -> Result<(), ProcessError> {
        let end = Instant::now() + within;
        while !is_up(self.address) {
            if Instant::now() > end {
                return Err(ProcessError::NotReady(self.address));
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    /// The most memory that it has held, in KB.
    pub fn peak_memory_kb(&self) -> io::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let figure = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
        figure.ok_or_else(|| io::Error::other("no memory is told"))
    }

    /// Processor time that it has used, in seconds.
    pub fn processor_seconds(&self) -> io::Result<f64> {
        cpu_time::of_process(self.child.id())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}
