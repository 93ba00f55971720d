//! Slow start of an endpoint, at one gateway and at fleets of equal gateways.

use crate::harness::*;
use edge_gateway::*;

#[test]
fn gateway_stays_within_its_part_of_capacity() {
    let mut harness = Harness::new(settings_with_quota(1_000.0, 1_000.0), vec![endpoint_in_slow_start(1)]);
    let mut work = 0.0;
    for i in 0..100 {
        let now = f64::from(i) * 10.0;
        let (request, actions) = harness.receive(now, "read", "a");
        if is_forwarded(&actions) {
            work += 50.0;
            harness.finish(now + 5.0, &request, 0, Outcome::Success);
        }
    }
    // One of two gateways may use half of the capacity, times the overload threshold of 2. The capacity
    // grows from 0.2 to less than 0.26 of a request at a time within the second.
    assert!(work <= 2.0 * 0.26 * 1_000.0 / 2.0, "{work} ms of work forwarded in 1 s");
    assert!(work > 0.0, "the endpoint must not be starved");
}

/// Settings of a fleet of this size, with a quota too high to have an effect.
fn fleet_settings(gateways: u32) -> Settings {
    Settings { gateways, ..settings_with_quota(1_000_000.0, 1_000_000.0) }
}

/// What a fleet did with its requests.
struct FleetRun {
    /// Times at which requests were forwarded to endpoint 1, sorted.
    forwards_to_first: Vec<Millis>,
    rejected: usize,
}

/// Simulates a fleet. Each gateway receives a request every `interval` from `first_request_at(rank)` until
/// `end`. Responses arrive at once and report 100 ms.
fn run_fleet(
    gateways: u32,
    endpoints: &[EndpointUpdate],
    interval: Millis,
    first_request_at: impl Fn(u32) -> Millis,
    end: Millis,
) -> FleetRun {
    let mut run = FleetRun { forwards_to_first: Vec::new(), rejected: 0 };
    for rank in 0..gateways {
        let settings = Settings { rank, ..fleet_settings(gateways) };
        let mut harness =
            Harness::builder(settings).seed(u64::from(rank)).endpoints(endpoints.to_vec()).build();
        let mut now = first_request_at(rank);
        while now < end {
            let id = format!("g{now}");
            let request = IncomingRequest { gateway_spread: 1, ..incoming(&id, "a", now) };
            match forwarded_to(&harness.receive_request(now, request)) {
                Some(endpoint) => {
                    if endpoint == 1 {
                        run.forwards_to_first.push(now);
                    }
                    harness.finish_attempt(now, AttemptResult { endpoint, elapsed: 100.0, ..success(&id) });
                }
                None => run.rejected += 1,
            }
            now += interval;
        }
    }
    run.forwards_to_first.sort_by(f64::total_cmp);
    run
}

/// Returns the work forwarded to an endpoint in slow start in the busiest window of 1 s. The gateways know
/// the endpoint from 0 on and receive their first requests after `idle_time`.
fn work_in_worst_window(gateways: u32, idle_time: Millis) -> Millis {
    let run = run_fleet(gateways, &[endpoint_in_slow_start(1)], 50.0, |_| idle_time, idle_time + 4_000.0);
    let forwards = run.forwards_to_first;
    let in_window =
        |from: &Millis| forwards.iter().filter(|at| (0.0..=1_000.0).contains(&(*at - from))).count();
    forwards.iter().map(in_window).max().unwrap_or(0) as f64 * 100.0
}

#[test]
fn fleet_does_not_overload_endpoint() {
    for gateways in [1, 3, 20, 200] {
        for idle_time in [0.0, 3_000.0, 9_000.0] {
            // The overload threshold of 2, and a quarter more for random variation. At a capacity of 1 the
            // endpoint processes one request at a time.
            let capacity = 0.2 + 0.8 * f64::min((idle_time + 4_000.0) / 15_000.0, 1.0);
            let work = work_in_worst_window(gateways, idle_time);
            assert!(
                work <= 2.5 * capacity * 1_000.0,
                "{gateways} gateways, idle for {idle_time} ms: {work} ms of work"
            );
            assert!(work >= 200.0, "{gateways} gateways, idle for {idle_time} ms: only {work} ms of work");
        }
    }
}

#[test]
fn large_fleet_uses_capacity() {
    // One endpoint in slow start, and five others that have capacity.
    let mut endpoints = endpoints(6);
    endpoints[0] = endpoint_in_slow_start(1);
    for gateways in [10, 30, 100] {
        let start = |rank: u32| f64::from(rank * 7 % 200);
        let run = run_fleet(gateways, &endpoints, 200.0, start, 4_000.0);
        assert_eq!(run.rejected, 0, "the other endpoints have capacity");
        let forwards = run.forwards_to_first;
        // Requests of 100 ms, one at a time, in 4 s. The gateways use at most 0.75 of the overload threshold
        // of 2, and the mean capacity is 0.3.
        let expected = 4_000.0 / 100.0 * 0.75 * 2.0 * 0.3;
        assert!(
            forwards.len() as f64 >= 0.7 * expected,
            "{gateways} gateways: {} requests, about {expected} expected",
            forwards.len()
        );
        // The same in 1 s at the final capacity of 0.42. The gateways divide slow start into intervals of
        // half a window, and a window may overlap three of them, hence the factor 1.5.
        let limit = 1_000.0 / 100.0 * 2.0 * 0.42 * 0.75 * 1.5 + 1.0;
        let in_window =
            |from: &Millis| forwards.iter().filter(|at| (*from..from + 1_000.0).contains(at)).count();
        let worst = forwards.iter().map(in_window).max().unwrap_or(0);
        assert!(worst as f64 <= limit, "{gateways} gateways: {worst} requests in a window");
    }
}

#[test]
fn skips_endpoint_that_would_miss_latency_objective() {
    let settings =
        Settings { gateways: 1, slow_start_initial_capacity: 0.02, overload_threshold: 20.0, ..settings() };
    let mut harness = Harness::new(settings, vec![endpoint_in_slow_start(1), endpoint(2)]);
    for i in 0..60 {
        let now = f64::from(i) * 10.0;
        let (request, actions) = harness.receive(now, "read", &format!("c{i}"));
        // At a fiftieth of its capacity endpoint 1 would miss the latency objective; endpoint 2 has capacity.
        assert!(is_forwarded(&actions));
        harness.finish(now + 0.5, &request, 0, Outcome::Success);
    }
}
