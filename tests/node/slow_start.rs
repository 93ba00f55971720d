//! Slow start of an endpoint, also at a node whose wall clock is wrong.

use crate::support::*;
use fault_injection::Faults;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns the Unix time in milliseconds.
fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("system clock is before 1970").as_millis()
}

/// Returns the list entry of an endpoint that started at this time.
fn entry_started_at(endpoint: &StubEndpoint, boot_ms: u128) -> String {
    endpoint.entry("a").replace("\"boot_ms\":0", &format!("\"boot_ms\":{boot_ms}"))
}

#[test]
fn limits_requests_in_slow_start() {
    let count_forwarded = |boot_ms: u128| {
        let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
        let node = Node::with_endpoints(&[entry_started_at(&endpoint, boot_ms)]);
        for number in 0..60 {
            node.send(&request_of_customer(number));
        }
        endpoint.request_count()
    };
    // Slow start begins with a fifth of the capacity. Until the first response, the service time of a request
    // is estimated at 0.8 s, a tenth of the latency objective.
    assert_eq!(count_forwarded(0), 60);
    assert!(count_forwarded(unix_ms()) <= 10);
}

/// Offsets of the node's wall clock from the true time, in milliseconds.
const CLOCK_OFFSETS_MS: [i64; 6] = [3_600_000, -3_600_000, 20_000, -20_000, 3_000, -3_000];

/// What a node forwards to an endpoint in slow start.
struct SlowStartResult {
    /// How many of the first 60 requests were forwarded.
    forwarded_initially: usize,
    /// Whether any request was forwarded before slow start must be over, 9 s after the first 60 requests.
    is_used_by_end: bool,
}

/// Runs a node whose wall clock is off by `offset_ms` when it learns of an endpoint that has just started.
/// With `before_start` the clock is off from the start of the node on, otherwise from its first watch on.
fn run_with_clock_offset(offset_ms: i64, before_start: bool) -> SlowStartResult {
    let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
    let faults = Faults::new().expect("failed to create the fault control file");
    if before_start {
        faults.set_wall_clock_offset(offset_ms).expect("failed to set the wall clock");
    }
    let discovery = StubDiscovery::with_endpoints(&[]);
    let node = Node::spawn_with(&NodeConfig::new(discovery.address), |command| faults.apply(command));
    discovery.wait_for_watch();
    // Changes nothing if the same offset is set already.
    faults.set_wall_clock_offset(offset_ms).expect("failed to set the wall clock");
    discovery.push(&delta(2, &[entry_started_at(&endpoint, unix_ms())]));
    node.wait_until_ready();
    for number in 0..60 {
        node.send(&request_of_customer(number));
    }
    let forwarded_initially = endpoint.request_count();
    let started = Instant::now();
    while endpoint.request_count() == 0 && started.elapsed() < Duration::from_secs(9) {
        node.send(&request_of_customer(100));
    }
    SlowStartResult { forwarded_initially, is_used_by_end: endpoint.request_count() > 0 }
}

#[test]
fn limits_requests_in_slow_start_despite_clock_steps() {
    for before_start in [true, false] {
        for offset_ms in CLOCK_OFFSETS_MS {
            let SlowStartResult { forwarded_initially, is_used_by_end } =
                run_with_clock_offset(offset_ms, before_start);
            let clock = format!("clock off by {offset_ms} ms, before the start of the node: {before_start}");
            assert!(forwarded_initially <= 10, "{forwarded_initially} forwarded at first, {clock}");
            assert!(is_used_by_end, "endpoint never used, {clock}");
        }
    }
}
