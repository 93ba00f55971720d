//! Slow start of an endpoint, also with steps of the node's wall clock.

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
    // Slow start begins with a fifth of the capacity, and until the first response the expected service time
    // of a request is 0.8 s.
    assert_eq!(count_forwarded(0), 60);
    assert!(count_forwarded(unix_ms()) <= 10);
}

/// Steps of the wall clock in milliseconds.
const CLOCK_STEPS_MS: [i64; 6] = [3_600_000, -3_600_000, 20_000, -20_000, 3_000, -3_000];

/// What a node forwards to an endpoint in slow start.
struct SlowStartResult {
    /// How many of the first 60 requests were forwarded.
    forwarded_initially: usize,
    /// Whether a request was forwarded, at the latest 9 s later, when slow start must be over.
    is_used_by_end: bool,
}

/// Runs a node whose wall clock is ahead by `step_ms` when it learns of an endpoint that has just started.
/// The clock is stepped before or after the start of the node.
fn run_with_clock_step(step_ms: i64, before_start: bool) -> SlowStartResult {
    let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
    let faults = Faults::new().expect("failed to create the fault control file");
    if before_start {
        faults.step_wall_clock(step_ms).expect("failed to step the wall clock");
    }
    let discovery = StubDiscovery::with_endpoints(&[]);
    let node = Node::spawn_with(&NodeConfig::new(discovery.address), |command| faults.apply(command));
    discovery.wait_for_watch();
    faults.step_wall_clock(step_ms).expect("failed to step the wall clock");
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
        for step_ms in CLOCK_STEPS_MS {
            let SlowStartResult { forwarded_initially, is_used_by_end } =
                run_with_clock_step(step_ms, before_start);
            let clock = format!("clock step of {step_ms} ms, before the start of the node: {before_start}");
            assert!(forwarded_initially <= 10, "{forwarded_initially} forwarded at first, {clock}");
            assert!(is_used_by_end, "endpoint never used, {clock}");
        }
    }
}
