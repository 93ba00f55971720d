//! The command `memory`: one node process for each case, whose clients or endpoints write long messages in
//! pieces and complete them all at the same time. It compares the memory of the node with the bytes that it
//! holds and with its limit, and measures the latency of background requests beside them.

mod client;
mod endpoint;

use crate::deployment::endpoint_list_json;
use crate::experiment::MemorySizes;
use crate::nodes::process::{NodeConfiguration, NodeProcess, ProcessError};
use crate::nodes::standins::Discovery;
use crate::report::Report;
use client::{send_background_requests, ConcurrentClients, Outcomes};
use endpoint::PausingEndpoint;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use thiserror::Error;

/// Entries of the endpoint list. All have the address of one stand-in.
const ENDPOINTS: u32 = 400;
/// Zones of the endpoints.
const ZONES: u32 = 16;
/// How long a process may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Memory that a connection may take besides the bytes of its messages, in KB.
const MAX_OVERHEAD_KB: u64 = 64;

/// Which messages are long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// The bodies of requests.
    Requests,
    /// The bodies of responses.
    Responses,
}

/// One measurement.
#[derive(Clone, Copy, Debug)]
struct Case {
    memory_mb: u32,
    direction: Direction,
    clients: usize,
    piece_length: usize,
    body_length: usize,
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { memory_mb, direction, clients, piece_length, body_length } = self;
        let direction = match direction {
            Direction::Requests => "requests",
            Direction::Responses => "responses",
        };
        write!(f, "{memory_mb} MB, {clients} {direction} of {body_length} bytes by {piece_length}")
    }
}

/// What was measured in one case.
struct Measurement {
    /// Peak resident memory above that of the idle node, in KB.
    memory_above_idle_kb: u64,
    /// Peak resident memory, in KB.
    peak_memory_kb: u64,
    /// Bytes of all long messages that were sent to the node, and [`MAX_OVERHEAD_KB`] for each connection, in
    /// KB.
    max_memory_kb: u64,
    long: Outcomes,
    background: Outcomes,
}

/// Why the command failed.
#[derive(Debug, Error)]
pub enum MemoryError {
    /// A node or a stand-in could not be started or used.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// Nodes took more memory than the bytes that they held, or than their limit.
    #[error("{over_bound} cases took more memory than their bytes, {over_limit} more than their limit")]
    TooMuchMemory {
        /// Cases beyond the bytes sent and the overhead of the connections.
        over_bound: u32,
        /// Cases beyond the memory limit of the node.
        over_limit: u32,
    },
    /// Requests got no response.
    #[error("{0} requests got no response")]
    Unanswered(u32),
}

impl From<std::io::Error> for MemoryError {
    fn from(error: std::io::Error) -> Self {
        Self::Process(error.into())
    }
}

/// Measures all combinations of the sizes.
///
/// # Errors
/// If a process fails, takes too much memory in any case, or leaves a request unanswered.
pub fn run(sizes: &MemorySizes, seed: u64, report: &mut Report) -> Result<(), MemoryError> {
    let (mut over_bound, mut over_limit, mut unanswered) = (0, 0, 0);
    for case in cases(sizes) {
        let measurement = measure(&case, sizes, seed)?;
        report_case(&case, &measurement, report);
        over_bound += u32::from(measurement.memory_above_idle_kb > measurement.max_memory_kb);
        over_limit += u32::from(measurement.peak_memory_kb > u64::from(case.memory_mb) << 10);
        unanswered += measurement.long.unanswered + measurement.background.unanswered;
    }
    report.add_value("cases beyond the bytes sent, count", f64::from(over_bound));
    report.add_value("cases beyond the memory limit, count", f64::from(over_limit));
    report.add_value("unanswered requests, count", f64::from(unanswered));
    match (over_bound, over_limit, unanswered) {
        (0, 0, 0) => Ok(()),
        (0, 0, unanswered) => Err(MemoryError::Unanswered(unanswered)),
        _ => Err(MemoryError::TooMuchMemory { over_bound, over_limit }),
    }
}

fn cases(sizes: &MemorySizes) -> Vec<Case> {
    let mut cases = Vec::new();
    for &memory_mb in &sizes.memory_limits_mb {
        for direction in [Direction::Requests, Direction::Responses] {
            for &clients in &sizes.clients {
                for &body_length in &sizes.body_lengths {
                    for &piece_length in &sizes.piece_lengths {
                        cases.push(Case { memory_mb, direction, clients, piece_length, body_length });
                    }
                }
            }
        }
    }
    cases
}

/// Starts a node, has its clients or its endpoints hold back the last byte of each message, and releases
/// them.
fn measure(case: &Case, sizes: &MemorySizes, seed: u64) -> Result<Measurement, MemoryError> {
    let endpoint = PausingEndpoint::start(case.direction, case.body_length, case.piece_length)?;
    let list = endpoint_list_json(1, ENDPOINTS, ZONES, &[endpoint.address]);
    let discovery = Discovery::start(list)?;
    let configuration = NodeConfiguration {
        discovery: discovery.address,
        rank: 0,
        processes: 1,
        seed,
        memory_mb: case.memory_mb,
    };
    let process = NodeProcess::start(&sizes.program, &configuration)?;
    process.wait_until_ready(READY_TIMEOUT)?;
    // The code that serves a request is in memory after the first one.
    send_background_requests(process.address, &AtomicBool::new(true))?;
    let ended = AtomicBool::new(false);
    let idle_memory_kb = process.memory_kb()?;
    let (long, background) = std::thread::scope(|scope| {
        let background = scope.spawn(|| send_background_requests(process.address, &ended));
        let long = send_concurrent_requests(case, sizes, &process, &endpoint);
        ended.store(true, Ordering::Relaxed);
        (long, background.join())
    });
    let (long, bytes) = long?;
    let background =
        background.map_err(|_| std::io::Error::other("the thread of the background requests panicked"))??;
    let peak_memory_kb = process.peak_memory_kb()?;
    let connections = (case.clients + 1 + endpoint.accepted_connections()) as u64;
    Ok(Measurement {
        memory_above_idle_kb: peak_memory_kb - idle_memory_kb,
        peak_memory_kb,
        max_memory_kb: bytes / 1024 + connections * MAX_OVERHEAD_KB,
        long,
        background,
    })
}

/// Sends the requests of all clients. Returns their outcomes, and how many bytes of long messages were sent
/// to the node.
fn send_concurrent_requests(
    case: &Case,
    sizes: &MemorySizes,
    process: &NodeProcess,
    endpoint: &PausingEndpoint,
) -> std::io::Result<(Outcomes, u64)> {
    let request_length = match case.direction {
        Direction::Requests => case.body_length,
        Direction::Responses => 1,
    };
    let mut clients = ConcurrentClients::connect(process.address, case.clients, request_length)?;
    clients.write_in_pieces(case.piece_length, sizes.max_pieces)?;
    if case.direction == Direction::Responses {
        clients.write_last_byte()?;
        endpoint.wait_until_paused(case.clients);
    }
    // The node has the time to read what was sent to it.
    std::thread::sleep(Duration::from_millis(sizes.pause_ms));
    endpoint.release();
    if case.direction == Direction::Requests {
        clients.write_last_byte()?;
    }
    let outcomes = clients.read_responses();
    let bytes = match case.direction {
        Direction::Requests => clients.bytes_written(),
        Direction::Responses => endpoint.bytes_written(),
    };
    Ok((outcomes, bytes))
}

fn report_case(case: &Case, measurement: &Measurement, report: &mut Report) {
    let Measurement { memory_above_idle_kb, peak_memory_kb, max_memory_kb, long, background } = measurement;
    let mut add = |name: &str, value: f64| report.add_value(format!("{case}: {name}"), value);
    add("memory above idle, KB", *memory_above_idle_kb as f64);
    add("bytes sent and overhead, KB", *max_memory_kb as f64);
    add("peak memory, KB", *peak_memory_kb as f64);
    add("served, count", f64::from(long.served));
    add("rejected, count", f64::from(long.rejected));
    add("failed, count", f64::from(long.failed));
    add("background requests served, count", f64::from(background.served));
    add(
        "background requests not served, count",
        f64::from(background.rejected + background.failed + background.unanswered),
    );
    add("slowest background request, ms", background.slowest.as_secs_f64() * 1_000.0);
}
