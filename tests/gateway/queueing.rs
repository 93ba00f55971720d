//! Load shedding by the estimated queues of endpoints.

use crate::harness::*;
use edge_gateway::*;

#[test]
fn stale_load_report_expires() {
    let mut harness = Harness::new(settings_with_quota(1_000.0, 1_000.0), endpoints(1));
    let mut rejected = 0;
    for i in 0..20 {
        let now = f64::from(i) * 60.0;
        let (request, actions) = harness.receive(now, "read", "a");
        rejected += u32::from(is_rejected(&actions));
        if is_forwarded(&actions) {
            let load = LoadReport { in_flight: Some(60.0), ..LoadReport::default() };
            harness.finish_attempt(now + 50.0, AttemptResult { elapsed: 50.0, load, ..success(&request) });
        }
    }
    assert!(rejected > 0, "requests must be rejected while load reports show a long queue");
    let actions = harness.receive(6_000.0, "read", "a").1;
    assert!(is_forwarded(&actions), "an old report must not lead to a rejection");
}

#[test]
fn busy_processors_do_not_count_as_queue() {
    let settings = Settings { gateways: 4, ..settings_with_quota(1_000.0, 1_000.0) };
    let objective = settings.classes[0].latency_objective;
    let mut harness = Harness::new(settings, endpoints(1));
    for i in 0..40 {
        let now = f64::from(i) * objective / 7.0;
        let (request, actions) = harness.receive(now, "read", "a");
        assert!(is_forwarded(&actions), "request {i} is rejected because of the reported utilization");
        let result = AttemptResult {
            elapsed: objective / 8.0,
            // The service time is known before the endpoint reports its utilization.
            load: LoadReport { utilization: (i >= 20).then_some(1.0), ..LoadReport::default() },
            ..success(&request)
        };
        harness.finish_attempt(now + objective / 8.0, result);
    }
}

#[test]
fn slow_responses_reduce_load() {
    // Only the response times show the queue; there are no load reports or attempts in flight.
    let mut harness = Harness::new(settings_with_quota(1_000.0, 1_000.0), endpoints(1));
    let mut is_served = |now: f64, elapsed: f64| {
        let (request, actions) = harness.receive(now, "read", "a");
        let is_forwarded = is_forwarded(&actions);
        if is_forwarded {
            harness.finish_attempt(now + 1.0, AttemptResult { elapsed, ..success(&request) });
        }
        is_forwarded
    };
    for i in 0..50 {
        assert!(is_served(f64::from(i) * 10.0, 50.0));
    }
    let served = (0..50).filter(|i| is_served(500.0 + f64::from(*i) * 10.0, 900.0)).count();
    assert!(served < 40, "{served} of 50 forwarded although responses take 900 of the 1000 ms allowed");
}

#[test]
fn one_slow_first_response_does_not_shed_load() {
    let settings = Settings { gateways: 100, ..settings() };
    let mut harness = Harness::new(settings, endpoints(30));
    let (request, _) = harness.receive(0.0, "read", "a");
    harness.finish_attempt(900.0, AttemptResult { elapsed: 900.0, ..success(&request) });
    assert!(is_forwarded(&harness.receive(1_000.0, "read", "b").1));
}

#[test]
fn few_attempts_in_flight_do_not_shed_load() {
    let settings = Settings { gateways: 300, ..settings() };
    let mut harness = Harness::new(settings, endpoints(20));
    for i in 0..8 {
        let (_, actions) = harness.receive(f64::from(i), "read", &format!("c{i}"));
        // The requests arrive within a few milliseconds, so that far more attempts than the mean are in
        // flight at once. The first four must be forwarded nevertheless.
        assert!(i > 3 || is_forwarded(&actions), "request {i}");
    }
}
