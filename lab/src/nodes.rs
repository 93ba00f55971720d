//! Real processes on loopback before stand-ins of discovery and of booking servers: what a hollow node cannot show.

mod process;
mod standins;

use crate::deployment::{endpoint_entry_json, endpoint_list_json, zone_name};
use crate::experiment::NodesSizes;
use crate::report::Report;
use hdrhistogram::Histogram;
use process::{Process, ProcessError};
use standins::{ask, Discovery, Server};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Zones of the list.
const ZONES: u32 = 16;
/// Real servers, at which all entries of the list listen in turn.
const REAL_SERVERS: usize = 28;
/// How long a process may take to be ready.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// Most memory of this machine that all processes together may hold: under half of it, in KB.
const MEMORY_MOST_KB: u64 = 11 << 20;

/// Measures processes with a long list, and one with a short list for the time added.
pub fn run(sizes: &NodesSizes, seed: u64, report: &mut Report) -> io::Result<()> {
    let servers: Vec<Server> = (0..REAL_SERVERS).map(|_| Server::start()).collect::<io::Result<_>>()?;
    let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
    for (name, count) in [("few servers", sizes.few_endpoints), ("many servers", sizes.endpoints)] {
        let discovery = Discovery::start(endpoint_list_json(1, count, ZONES, &addresses))?;
        let process = Process::start(&sizes.program, discovery.address, 0, sizes.processes, seed)?;
        process.wait_until_ready(READY_WITHIN)?;
        time_added(name, sizes, process.address, addresses[0], report)?;
    }
    let discovery = Discovery::start(endpoint_list_json(1, sizes.endpoints, ZONES, &addresses))?;
    let processes = start_all(sizes, seed, &discovery, report)?;
    at_rest(sizes, &processes, &discovery, report)?;
    under_changes(sizes, &processes, &discovery, &addresses, report)?;
    Ok(())
}

/// Starts all processes one behind another, and reports times and memory.
fn start_all(
    sizes: &NodesSizes,
    seed: u64,
    discovery: &Discovery,
    report: &mut Report,
) -> Result<Vec<Process>, ProcessError> {
    let mut processes = Vec::new();
    let (mut slowest, mut greatest, mut all) = (Duration::ZERO, 0, 0);
    for rank in 0..sizes.processes {
        if rank % 20 == 0 {
            tracing::info!("process {rank}");
        }
        let begun = Instant::now();
        let process = Process::start(&sizes.program, discovery.address, rank, sizes.processes, seed)?;
        process.wait_until_ready(READY_WITHIN)?;
        slowest = slowest.max(begun.elapsed());
        let peak = process.peak_memory_kb()?;
        greatest = greatest.max(peak);
        all += peak;
        processes.push(process);
        if all > MEMORY_MOST_KB {
            tracing::warn!("no more than {} processes fit in half of the memory", processes.len());
            break;
        }
    }
    report.value("processes, count", processes.len() as f64);
    report.value("time to ready of the slowest, ms", slowest.as_secs_f64() * 1_000.0);
    report.value("peak memory of the greatest, KB", greatest as f64);
    Ok(processes)
}

/// The time that a node adds to a request: a steady client through the node against one at a server.
fn time_added(
    name: &str,
    sizes: &NodesSizes,
    node: SocketAddr,
    server: SocketAddr,
    report: &mut Report,
) -> io::Result<()> {
    let through = times(sizes, node)?;
    let direct = times(sizes, server)?;
    for (label, part) in [("median", 0.5), ("99 in 100", 0.99)] {
        let micros = |times: &Histogram<u64>| times.value_at_quantile(part) as f64;
        report.value(format!("{name}: time through the node, {label}, us"), micros(&through));
        report.value(format!("{name}: time added, {label}, us"), micros(&through) - micros(&direct));
    }
    Ok(())
}

/// Times of requests by one steady client, in microseconds.
fn times(sizes: &NodesSizes, address: SocketAddr) -> io::Result<Histogram<u64>> {
    const LONGEST: u64 = 60_000_000;
    const DIGITS: u8 = 3;
    let mut times = Histogram::new_with_bounds(1, LONGEST, DIGITS).map_err(io::Error::other)?;
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let begun = Instant::now();
    for number in 0..sizes.requests {
        // Steady, whatever the one before took.
        let due = begun + Duration::from_millis(sizes.interval_ms) * number;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let sent = Instant::now();
        ask(&mut stream, u64::from(number))?;
        times.saturating_record(sent.elapsed().as_micros() as u64);
    }
    Ok(times)
}

fn at_rest(
    sizes: &NodesSizes,
    processes: &[Process],
    discovery: &Discovery,
    report: &mut Report,
) -> io::Result<()> {
    let (used, bytes) = stretch(sizes, processes, discovery, || {})?;
    report.value("processor time at rest, part of a core", used);
    report.value("bytes from discovery at rest, bytes a second", bytes);
    Ok(())
}

fn under_changes(
    sizes: &NodesSizes,
    processes: &[Process],
    discovery: &Discovery,
    addresses: &[SocketAddr],
    report: &mut Report,
) -> io::Result<()> {
    let changes = (sizes.changes_per_second * sizes.seconds as f64).round().max(1.0) as u32;
    let pause = Duration::from_secs(sizes.seconds) / changes;
    let push = || {
        for number in 0..changes {
            let state = if number % 2 == 0 { "DRAINING" } else { "SERVING" };
            let entry = endpoint_entry_json(number / 2, ZONES, addresses, state);
            discovery.push(&format!("{{\"rev\":{},\"all\":false,\"targets\":[{entry}]}}", number + 2));
            std::thread::sleep(pause);
        }
    };
    let (used, bytes) = stretch(sizes, processes, discovery, push)?;
    report.value("changes pushed, each second", sizes.changes_per_second);
    report.value("processor time under changes, part of a core", used);
    report.value("bytes from discovery under changes, bytes a second", bytes);
    Ok(())
}

/// Processor time and bytes from discovery of one process, a second, while something is done.
fn stretch(
    sizes: &NodesSizes,
    processes: &[Process],
    discovery: &Discovery,
    done: impl FnOnce(),
) -> io::Result<(f64, f64)> {
    let used = || processes.iter().map(Process::processor_seconds).sum::<io::Result<f64>>();
    let (begun, before, bytes) = (Instant::now(), used()?, discovery.bytes());
    done();
    let end = begun + Duration::from_secs(sizes.seconds);
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
    let per_process = begun.elapsed().as_secs_f64() * processes.len() as f64;
    let bytes = discovery.bytes() - bytes;
    Ok(((used()? - before) / per_process, bytes as f64 / per_process))
}

/// The configuration of a process, as JSON.
fn configuration(discovery: SocketAddr, rank: u32, processes: u32, seed: u64) -> String {
    let zone = zone_name(rank, ZONES);
    format!(
        r#"{{"name":"n{rank}","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"{seed:x}",
"limits":{{"cores":1.0,"memory_mb":64,"sockets":1024}},"known":null,"settings":{{
"allowed":{{"cancel":true,"connectTimeoutMs":250,"keepaliveMs":30000,"maxRetryAfterMs":500,"mostTries":3,"retryAfter":true}},
"az":"{zone}","balancers":{processes},"rank":{rank},"discovery":"automatic",
"classes":[{{"name":"book","aimMs":400,"deadlineMs":1500,"worth":1,"effect":"safe"}}],
"contracts":[{{"name":"any"}}],"prices":{{"crossZone":0.01,"handshake":0.01}},
"rules":{{"coldFrom":0.2,"warmAfterMs":10000,"fallMultiple":2,"overloadForMs":1000}}}}}}"#
    )
}
