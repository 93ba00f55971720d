//! Selection among healthy endpoints.

use crate::harness::*;
use edge_gateway::*;
use std::collections::BTreeSet;

#[test]
fn does_not_forward_to_draining_endpoint() {
    let mut harness = Harness::new(settings(), endpoints(1));
    assert_eq!(forwarded_to(&harness.receive(1.0, "read", "a").1), Some(1));
    let draining = EndpointUpdate { status: EndpointStatus::Draining, ..endpoint(1) };
    harness.update_endpoints(2.0, EndpointListKind::Delta, vec![draining]);
    assert!(is_rejected(&harness.receive(3.0, "read", "a").1));
}

#[test]
fn spreads_load_evenly_over_equal_endpoints() {
    const ENDPOINTS: u32 = 28;
    const REQUESTS: u32 = 1200;
    for seed in 0..5 {
        let endpoints = (0..ENDPOINTS).map(endpoint).collect();
        let mut harness = Harness::builder(settings()).seed(seed).endpoints(endpoints).build();
        let mut requests_per_endpoint = [0; ENDPOINTS as usize];
        for n in 0..REQUESTS {
            let now = f64::from(n) * 20.0;
            let (request, actions) = harness.receive(now, "read", &format!("c{n}"));
            let endpoint = forwarded_to(&actions).expect("there is capacity");
            requests_per_endpoint[endpoint as usize] += 1;
            let result = AttemptResult { endpoint, elapsed: 1.0, ..success(&request) };
            harness.finish_attempt(now + 1.0, result);
        }
        let busiest = requests_per_endpoint.into_iter().max().unwrap_or(0);
        assert!(busiest <= 2 * REQUESTS / ENDPOINTS, "{requests_per_endpoint:?}");
    }
}

/// Returns how many of five equal endpoints are used by requests that arrive `interval` apart, one at a time.
fn endpoints_used(handshake_cost: f64, interval: Millis) -> usize {
    let settings = Settings { gateways: 1, handshake_cost, idle_timeout: Some(10_000.0), ..settings() };
    let mut harness = Harness::new(settings, endpoints(5));
    let mut used = BTreeSet::new();
    for i in 0..40 {
        let now = interval * f64::from(i + 1);
        let (request, actions) = harness.receive(now, "read", &format!("c{i}"));
        used.insert(forwarded_to(&actions).expect("there is capacity"));
        harness.finish_attempt(now + 100.0, AttemptResult { elapsed: 100.0, ..success(&request) });
    }
    used.len()
}

#[test]
fn prefers_endpoint_with_open_connection_if_handshakes_cost() {
    assert_eq!(endpoints_used(0.08, 500.0), 1);
    assert_eq!(endpoints_used(0.0, 500.0), 5);
    // The connection is closed as idle before the next request.
    assert_eq!(endpoints_used(0.08, 15_000.0), 5);
}

#[test]
fn does_not_prefer_endpoint_with_busy_or_broken_connection() {
    let settings = Settings { handshake_cost: 0.08, idle_timeout: Some(10_000.0), ..settings() };
    let mut harness = Harness::new(settings, endpoints(2));
    let (first_request, actions) = harness.receive(1.0, "read", "a");
    let first = forwarded_to(&actions).expect("there is capacity");
    // The connection to the first endpoint is in use. A second one there would cost as much as one to the
    // other endpoint.
    assert_ne!(forwarded_to(&harness.receive(2.0, "read", "b").1), Some(first));
    // After a reset the retry goes to the other endpoint.
    assert_ne!(forwarded_to(&harness.finish(50.0, &first_request, 0, Outcome::Reset)), Some(first));
}

#[test]
fn prefers_endpoint_with_connection_out_of_quarantine() {
    let settings = Settings {
        gateways: 1,
        handshake_cost: 0.1,
        idle_timeout: Some(10_000.0),
        connection_quarantine: 15.0,
        ..settings()
    };
    for seed in 0..20 {
        let mut harness = Harness::builder(settings.clone()).seed(seed).endpoints(endpoints(2)).build();
        // Two requests in flight at once open a connection to each endpoint.
        let opened: Vec<_> = (0..2).map(|n| harness.receive(0.0, "read", &format!("c{n}"))).collect();
        assert_ne!(forwarded_to(&opened[0].1), forwarded_to(&opened[1].1));
        for (request, _) in &opened {
            harness.finish(1.0, request, 0, Outcome::Success);
        }
        let mut endpoint_used_at = |now: Millis| {
            let (request, actions) = harness.receive(now, "read", &format!("c{now}"));
            let endpoint = forwarded_to(&actions).expect("there is capacity");
            harness.finish(now + 1.0, &request, 0, Outcome::Success);
            endpoint
        };
        // The first request of each pair comes long after the quarantine of both connections. The second one
        // comes while the connection of the first one is in quarantine. No connection is closed as idle.
        for n in 0..20 {
            let now = 1_000.0 + 100.0 * f64::from(n);
            let used = endpoint_used_at(now);
            assert_ne!(endpoint_used_at(now + 5.0), used, "seed {seed}");
        }
    }
}
