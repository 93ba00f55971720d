//! The command `nodes`: node processes on loopback, with stand-ins for discovery and endpoints. It measures
//! what a simulated gateway cannot show: added latency, start time, and CPU time and memory of a process.

pub mod process;
pub mod standins;

use crate::deployment::{endpoint_entry_json, endpoint_list_json};
use crate::experiment::NodesSizes;
use crate::report::Report;
use hdrhistogram::Histogram;
use process::{NodeConfiguration, NodeProcess, ProcessError};
use standins::{send_request, Discovery, Endpoint};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Zones of the endpoints.
const ZONES: u32 = 16;
/// Number of stand-in endpoints. The entries of the endpoint list are assigned their addresses in turn.
const STAND_IN_ENDPOINTS: usize = 28;
/// Memory limit of each process, in MB.
const MEMORY_MB: u32 = 64;
/// How long a process may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum memory of all processes together, in KB: less than half of the memory of the test machine.
const MAX_TOTAL_MEMORY_KB: u64 = 11 << 20;
/// Processes started between two log lines that report progress.
const PROCESSES_PER_PROGRESS_LINE: u32 = 20;
/// Reported quantiles of the latency, with their names in results.
const QUANTILES: [(&str, f64); 2] = [("median", 0.5), ("99 in 100", 0.99)];

/// Measures the added latency of a node with a short and with a long endpoint list, then the resource usage
/// of all processes with the long one.
pub fn run(sizes: &NodesSizes, seed: u64, report: &mut Report) -> Result<(), ProcessError> {
    let endpoints: Vec<Endpoint> =
        (0..STAND_IN_ENDPOINTS).map(|_| Endpoint::start()).collect::<io::Result<_>>()?;
    let addresses: Vec<SocketAddr> = endpoints.iter().map(|endpoint| endpoint.address).collect();
    for (name, count) in [("few servers", sizes.few_endpoints), ("many servers", sizes.endpoints)] {
        let discovery = Discovery::start(endpoint_list_json(1, count, ZONES, &addresses))?;
        let process = NodeProcess::start(&sizes.program, &configuration(sizes, discovery.address, 0, seed))?;
        process.wait_until_ready(READY_TIMEOUT)?;
        report_added_latency(name, sizes, process.address, addresses[0], report)?;
    }
    let discovery = Discovery::start(endpoint_list_json(1, sizes.endpoints, ZONES, &addresses))?;
    let processes = start_all(sizes, seed, &discovery, report)?;
    let fleet = NodeFleet { sizes, processes, discovery };
    fleet.report_idle(report)?;
    fleet.report_under_changes(&addresses, report)?;
    Ok(())
}

/// Starts the processes in turn until they exceed `MAX_TOTAL_MEMORY_KB`, and reports the maxima of their
/// start times and memory.
fn start_all(
    sizes: &NodesSizes,
    seed: u64,
    discovery: &Discovery,
    report: &mut Report,
) -> Result<Vec<NodeProcess>, ProcessError> {
    let mut processes = Vec::new();
    let (mut max_start_time, mut max_memory_kb, mut total_memory_kb) = (Duration::ZERO, 0, 0);
    for rank in 0..sizes.processes {
        if rank % PROCESSES_PER_PROGRESS_LINE == 0 {
            tracing::info!("starting process {rank} of {}", sizes.processes);
        }
        let started_at = Instant::now();
        let process =
            NodeProcess::start(&sizes.program, &configuration(sizes, discovery.address, rank, seed))?;
        process.wait_until_ready(READY_TIMEOUT)?;
        max_start_time = max_start_time.max(started_at.elapsed());
        let memory_kb = process.peak_memory_kb()?;
        max_memory_kb = max_memory_kb.max(memory_kb);
        total_memory_kb += memory_kb;
        processes.push(process);
        if total_memory_kb > MAX_TOTAL_MEMORY_KB {
            tracing::warn!("started only {} processes, which use {total_memory_kb} KB", processes.len());
            break;
        }
    }
    report.add_value("processes, count", processes.len() as f64);
    report.add_value("time to ready of the slowest, ms", max_start_time.as_secs_f64() * 1_000.0);
    report.add_value("peak memory of the greatest, KB", max_memory_kb as f64);
    Ok(processes)
}

/// Reports the latency that a node adds to a request: the latency through the node minus the latency of an
/// endpoint that is called directly.
fn report_added_latency(
    name: &str,
    sizes: &NodesSizes,
    node: SocketAddr,
    endpoint: SocketAddr,
    report: &mut Report,
) -> io::Result<()> {
    let through_node = measure_latency(sizes, node)?;
    let direct = measure_latency(sizes, endpoint)?;
    for (label, quantile) in QUANTILES {
        let micros = |latency: &Histogram<u64>| latency.value_at_quantile(quantile) as f64;
        report.add_value(format!("{name}: time through the node, {label}, us"), micros(&through_node));
        report.add_value(format!("{name}: time added, {label}, us"), micros(&through_node) - micros(&direct));
    }
    Ok(())
}

/// Sends requests at regular intervals on one connection, and returns their latencies in microseconds.
fn measure_latency(sizes: &NodesSizes, address: SocketAddr) -> io::Result<Histogram<u64>> {
    const MAX_LATENCY_US: u64 = 60_000_000;
    const SIGNIFICANT_DIGITS: u8 = 3;
    let mut latency =
        Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).map_err(io::Error::other)?;
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let started_at = Instant::now();
    for number in 0..sizes.requests {
        // A response that takes longer than the interval delays the next request.
        let due_at = started_at + Duration::from_millis(sizes.interval_ms) * number;
        std::thread::sleep(due_at.saturating_duration_since(Instant::now()));
        let sent_at = Instant::now();
        send_request(&mut stream, u64::from(number))?;
        latency.saturating_record(sent_at.elapsed().as_micros() as u64);
    }
    Ok(latency)
}

/// Mean resource usage of one process.
struct ProcessUsage {
    /// CPU time per second of real time, as a fraction of one core.
    cpu_fraction: f64,
    /// Bytes received from discovery per second.
    discovery_bytes_per_second: f64,
}

/// All node processes, and the stand-in for discovery that they watch.
struct NodeFleet<'a> {
    sizes: &'a NodesSizes,
    processes: Vec<NodeProcess>,
    discovery: Discovery,
}

impl NodeFleet<'_> {
    fn report_idle(&self, report: &mut Report) -> io::Result<()> {
        let usage = self.measure_usage(|| {})?;
        report.add_value("processor time at rest, part of a core", usage.cpu_fraction);
        report.add_value("bytes from discovery at rest, bytes a second", usage.discovery_bytes_per_second);
        Ok(())
    }

    fn report_under_changes(&self, addresses: &[SocketAddr], report: &mut Report) -> io::Result<()> {
        let usage = self.measure_usage(|| self.push_changes(addresses))?;
        report.add_value("changes pushed, each second", self.sizes.changes_per_second);
        report.add_value("processor time under changes, part of a core", usage.cpu_fraction);
        report.add_value(
            "bytes from discovery under changes, bytes a second",
            usage.discovery_bytes_per_second,
        );
        Ok(())
    }

    /// Publishes changes of one list entry at regular intervals for the duration of a measurement.
    fn push_changes(&self, addresses: &[SocketAddr]) {
        let changes = (self.sizes.changes_per_second * self.sizes.seconds as f64).round().max(1.0) as u32;
        let interval = Duration::from_secs(self.sizes.seconds) / changes;
        for number in 0..changes {
            let state = if number % 2 == 0 { "DRAINING" } else { "SERVING" };
            let entry = endpoint_entry_json(number / 2, ZONES, addresses, state);
            let version = number + 2;
            self.discovery.push_line(&format!("{{\"rev\":{version},\"all\":false,\"targets\":[{entry}]}}"));
            std::thread::sleep(interval);
        }
    }

    /// Returns the usage over an activity, or over the duration of a measurement if that is longer.
    fn measure_usage(&self, activity: impl FnOnce()) -> io::Result<ProcessUsage> {
        let (started_at, cpu_before, bytes_before) =
            (Instant::now(), self.cpu_seconds()?, self.discovery.bytes_written());
        activity();
        let end = started_at + Duration::from_secs(self.sizes.seconds);
        std::thread::sleep(end.saturating_duration_since(Instant::now()));
        let process_seconds = started_at.elapsed().as_secs_f64() * self.processes.len() as f64;
        let bytes = self.discovery.bytes_written() - bytes_before;
        Ok(ProcessUsage {
            cpu_fraction: (self.cpu_seconds()? - cpu_before) / process_seconds,
            discovery_bytes_per_second: bytes as f64 / process_seconds,
        })
    }

    fn cpu_seconds(&self) -> io::Result<f64> {
        self.processes.iter().map(NodeProcess::cpu_seconds).sum()
    }
}

/// The configuration of a node that watches `discovery`.
fn configuration(sizes: &NodesSizes, discovery: SocketAddr, rank: u32, seed: u64) -> NodeConfiguration {
    NodeConfiguration { discovery, rank, processes: sizes.processes, seed, memory_mb: MEMORY_MB }
}
