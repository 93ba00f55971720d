//! Subsetting: fleets with more endpoints than a gateway considers for each request.

use crate::harness::*;
use edge_gateway::*;
use std::collections::{BTreeMap, BTreeSet};

const ENDPOINTS: u32 = 2_000;
const ZONES: u32 = 4;
const ENDPOINTS_PER_CELL: u32 = 10;
const IDLE_TIMEOUT: Millis = 5_000.0;
/// Duration of a rotation through the subset: 0.4 of the idle timeout.
const ROTATION_DURATION: Millis = 2_000.0;
/// Reported duration of each attempt.
const RESPONSE_TIME: Millis = 5.0;

fn settings(gateways: u32, rank: u32) -> Settings {
    let class_with = |name: &str, idempotency: Idempotency| RequestClass {
        latency_objective: 400.0,
        deadline: 1_000.0,
        idempotency_window: 0.0,
        ..class(name, idempotency)
    };
    Settings {
        gateways,
        rank,
        zone: "z0".into(),
        classes: vec![
            class_with("read", Idempotency::Idempotent),
            class_with("edit", Idempotency::WithKey(KeyScope::Cell)),
        ],
        plans: vec![Plan { name: "any".into(), ..Plan::default() }],
        max_attempts: 3,
        cancellation: true,
        handshake_cost: 0.01,
        connect_timeout: 10.0,
        idle_timeout: Some(IDLE_TIMEOUT),
        slow_start_initial_capacity: 0.2,
        slow_start_duration: 10_000.0,
        overload_threshold: 2.0,
        overload_window: 1_000.0,
        ..Settings::default()
    }
}

/// Settings of the gateway in most of these tests.
fn gateway_3_of_100() -> Settings {
    settings(100, 3)
}

/// Endpoint list entry of an endpoint; zones are assigned round robin.
fn endpoint_in_zone(id: EndpointId) -> EndpointUpdate {
    EndpointUpdate { zone: format!("z{}", id % ZONES).into(), cell: id / ENDPOINTS_PER_CELL, ..endpoint(id) }
}

fn all_endpoints() -> Vec<EndpointUpdate> {
    (0..ENDPOINTS).map(endpoint_in_zone).collect()
}

fn draining(id: EndpointId) -> EndpointUpdate {
    EndpointUpdate { status: EndpointStatus::Draining, ..endpoint_in_zone(id) }
}

/// A gateway and its clock. Every attempt finishes at once and reports [`RESPONSE_TIME`].
struct GatewayRun {
    harness: Harness,
    now: Millis,
    requests: u32,
    served: u32,
    /// Endpoints whose attempts are reset.
    failing: BTreeSet<EndpointId>,
    /// Number of attempts forwarded to each endpoint.
    attempts: BTreeMap<EndpointId, u32>,
}

impl GatewayRun {
    fn new(settings: Settings, endpoints: Vec<EndpointUpdate>) -> Self {
        Self {
            harness: Harness::new(settings, endpoints),
            now: 0.0,
            requests: 0,
            served: 0,
            failing: BTreeSet::new(),
            attempts: BTreeMap::new(),
        }
    }

    fn update_endpoints(&mut self, kind: EndpointListKind, endpoints: Vec<EndpointUpdate>) {
        self.harness.update_endpoints(self.now, kind, endpoints);
    }

    /// Sends a request, finishes all its attempts, and returns the endpoints that they were forwarded to.
    fn send_request(&mut self, class: &str) -> Vec<EndpointId> {
        self.requests += 1;
        let id = format!("r{}", self.requests);
        let request = IncomingRequest {
            class: class.into(),
            plan: "any".into(),
            deadline: self.now + 1_000.0,
            gateway_spread: 1,
            ..incoming(&id, "c", self.now)
        };
        let mut actions = self.harness.receive_request(self.now, request);
        let mut endpoints = Vec::new();
        while let Some(endpoint) = forwarded_to(&actions) {
            *self.attempts.entry(endpoint).or_default() += 1;
            let is_served = !self.failing.contains(&endpoint);
            self.served += u32::from(is_served);
            let result = AttemptResult {
                attempt: endpoints.len() as u32,
                endpoint,
                outcome: if is_served { Outcome::Success } else { Outcome::Reset },
                elapsed: RESPONSE_TIME,
                request_closed: is_served,
                ..success(&id)
            };
            endpoints.push(endpoint);
            actions = self.harness.finish_attempt(self.now, result);
        }
        endpoints
    }

    /// Sends requests at a constant rate, in requests per second, for `duration`.
    fn send_requests(&mut self, rate: f64, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.send_request("read");
            self.harness.tick(self.now);
            self.now += 1_000.0 / rate;
        }
    }

    fn used_endpoints(&self) -> BTreeSet<EndpointId> {
        self.attempts.keys().copied().collect()
    }
}

#[test]
fn spreads_requests_of_rotation_over_as_many_endpoints() {
    for rate in [20.0, 100.0] {
        let mut run = GatewayRun::new(gateway_3_of_100(), all_endpoints());
        run.send_requests(rate, 10.0 * ROTATION_DURATION);
        let per_rotation = rate * ROTATION_DURATION / 1_000.0;
        let used = run.attempts.len() as f64;
        assert!(
            (0.9 * per_rotation..=1.2 * per_rotation).contains(&used),
            "{used} endpoints used, {per_rotation} requests in a rotation"
        );
        assert!(run.attempts.values().all(|attempts| *attempts <= 11), "{:?}", run.attempts);
    }
}

#[test]
fn subset_is_bounded_by_max_connections() {
    let settings = Settings { max_connections: Some(30), ..gateway_3_of_100() };
    let mut run = GatewayRun::new(settings, all_endpoints());
    run.send_requests(100.0, 5.0 * ROTATION_DURATION);
    assert!(run.attempts.len() <= 31, "{} endpoints used", run.attempts.len());
}

#[test]
fn gateways_with_uneven_traffic_load_endpoints_evenly() {
    const GATEWAYS: u32 = 400;
    let list = all_endpoints();
    let mut load = vec![0.0; ENDPOINTS as usize];
    for rank in 0..GATEWAYS {
        let mut run = GatewayRun::new(settings(GATEWAYS, rank), Vec::new());
        run.update_endpoints(EndpointListKind::Snapshot, list.clone());
        // From a quarter of the mean rate to about three times the mean.
        let rate = [25.0, 50.0, 75.0, 100.0, 300.0][rank as usize % 5];
        run.send_requests(rate, 2.0 * ROTATION_DURATION);
        run.attempts.iter().for_each(|(endpoint, attempts)| load[*endpoint as usize] += f64::from(*attempts));
    }
    let mean = load.iter().sum::<f64>() / f64::from(ENDPOINTS);
    let busiest = load.iter().copied().fold(0.0, f64::max);
    // Uniformly random selection for each request would exceed this bound.
    assert!(busiest <= 1.5 * mean, "busiest {busiest}, mean {mean}");
    assert!(
        load.iter().all(|load| *load >= 0.5 * mean),
        "an endpoint has less than half of the mean load {mean}"
    );
}

#[test]
fn replacing_a_tenth_of_endpoints_retains_subset() {
    const REPLACED: u32 = ENDPOINTS / 10;
    let mut run = GatewayRun::new(gateway_3_of_100(), all_endpoints());
    run.send_requests(100.0, 2.0 * ROTATION_DURATION);
    let before = run.used_endpoints();
    let removed =
        (0..REPLACED).map(|n| EndpointUpdate { status: EndpointStatus::Removed, ..endpoint_in_zone(n * 10) });
    let added = (0..REPLACED).map(|n| endpoint_in_zone(ENDPOINTS + n));
    run.update_endpoints(EndpointListKind::Delta, removed.chain(added).collect());
    run.attempts.clear();
    run.send_requests(100.0, ROTATION_DURATION);
    let retained = before.intersection(&run.used_endpoints()).count() as f64 / before.len() as f64;
    assert!(retained >= 0.8, "fraction {retained} of the subset retained");
}

/// How a gateway copes when half of the endpoints that it uses fail at once.
struct PartialFailure {
    /// Requests served in the first two rotations after the failure.
    served: u32,
    /// Number of working endpoints that are used 50 rotations after the failure.
    working_endpoints: usize,
    /// Number of endpoints that were used before the failure.
    endpoints_before: usize,
}

fn fail_half_of_used_endpoints(endpoints: u32) -> PartialFailure {
    let mut run = GatewayRun::new(gateway_3_of_100(), (0..endpoints).map(endpoint_in_zone).collect());
    run.send_requests(100.0, 2.0 * ROTATION_DURATION);
    let before = run.used_endpoints();
    run.failing = before.iter().copied().step_by(2).collect();
    run.served = 0;
    run.send_requests(100.0, 2.0 * ROTATION_DURATION);
    let served = run.served;
    run.send_requests(100.0, 48.0 * ROTATION_DURATION);
    run.attempts.clear();
    run.send_requests(100.0, ROTATION_DURATION);
    let working_endpoints = run.used_endpoints().difference(&run.failing).count();
    PartialFailure { served, working_endpoints, endpoints_before: before.len() }
}

#[test]
fn replaces_failed_endpoints_without_more_loss_than_without_subset() {
    // 200 endpoints are as many as a subset has, and all of them are considered for each request.
    let without_subset = fail_half_of_used_endpoints(200).served;
    let PartialFailure { served, working_endpoints, endpoints_before } =
        fail_half_of_used_endpoints(ENDPOINTS);
    assert!(served + 10 >= without_subset, "{served} served, {without_subset} without a subset");
    assert!(
        working_endpoints as f64 >= 0.8 * endpoints_before as f64,
        "{working_endpoints} working endpoints, {endpoints_before} before"
    );
}

#[test]
fn does_not_use_draining_or_removed_endpoints() {
    let mut run = GatewayRun::new(gateway_3_of_100(), all_endpoints());
    run.send_requests(50.0, ROTATION_DURATION);
    let used: Vec<_> = run.used_endpoints().into_iter().collect();
    let draining_ids: BTreeSet<_> = used.iter().copied().step_by(2).collect();
    let removed = used[1];
    let drain = draining_ids.iter().copied().map(draining);
    run.update_endpoints(EndpointListKind::Delta, drain.collect());
    let remaining = (0..ENDPOINTS).filter(|id| *id != removed).map(|id| {
        if draining_ids.contains(&id) {
            draining(id)
        } else {
            endpoint_in_zone(id)
        }
    });
    run.update_endpoints(EndpointListKind::Snapshot, remaining.collect());
    run.attempts.clear();
    run.send_requests(50.0, 2.0 * ROTATION_DURATION);
    assert!(draining_ids.iter().chain([&removed]).all(|id| !run.attempts.contains_key(id)));
}

#[test]
fn stays_in_its_zone_until_the_zone_fails() {
    let settings = Settings { cross_zone_cost: 0.02, ..gateway_3_of_100() };
    let mut run = GatewayRun::new(settings, all_endpoints());
    run.send_requests(50.0, 2.0 * ROTATION_DURATION);
    assert!(run.attempts.keys().all(|endpoint| endpoint % ZONES == 0), "{:?}", run.used_endpoints());
    run.failing = (0..ENDPOINTS).filter(|endpoint| endpoint % ZONES == 0).collect();
    (run.requests, run.served) = (0, 0);
    run.send_requests(50.0, 2.0 * ROTATION_DURATION);
    assert!(
        f64::from(run.served) >= 0.95 * f64::from(run.requests),
        "{} of {} served",
        run.served,
        run.requests
    );
}

#[test]
fn retries_request_with_key_within_its_cell() {
    let cell = |endpoint: EndpointId| endpoint / ENDPOINTS_PER_CELL;
    let mut run = GatewayRun::new(gateway_3_of_100(), all_endpoints());
    // Only one endpoint in each cell works.
    run.failing = (0..ENDPOINTS).filter(|endpoint| endpoint % ENDPOINTS_PER_CELL < 9).collect();
    for _ in 0..200 {
        let endpoints = run.send_request("edit");
        assert!(endpoints.iter().all(|endpoint| cell(*endpoint) == cell(endpoints[0])), "{endpoints:?}");
        run.now += 10.0;
    }
    assert!(run.served >= 20, "{} of {} served", run.served, run.requests);
}

#[test]
fn endpoint_that_changes_zone_is_in_one_rotation() {
    let settings = Settings { cross_zone_cost: 0.02, ..gateway_3_of_100() };
    let mut run = GatewayRun::new(settings, all_endpoints());
    let moved = (0..ENDPOINTS).filter(|endpoint| endpoint % ZONES == 0).map(|endpoint| EndpointUpdate {
        zone: "z1".into(),
        started_at: Some(-1e6),
        ..endpoint_in_zone(endpoint)
    });
    run.update_endpoints(EndpointListKind::Delta, moved.collect());
    run.send_requests(50.0, ROTATION_DURATION);
    // No endpoint remains in the gateway's zone: all others are used, and each is listed once.
    assert_eq!(run.served, run.requests);
    assert!(run.attempts.len() >= 80, "{} endpoints used", run.attempts.len());
}

#[test]
fn fleet_stays_within_slow_start_budget() {
    const GATEWAYS: u32 = 300;
    const RATE: f64 = 50.0;
    // All endpoints have just started, so every subset consists of endpoints in slow start.
    let starting: Vec<_> =
        all_endpoints().into_iter().map(|entry| EndpointUpdate { started_at: Some(0.0), ..entry }).collect();
    let mut forwards: BTreeMap<EndpointId, Vec<Millis>> = BTreeMap::new();
    for rank in 0..GATEWAYS {
        let mut run = GatewayRun::new(settings(GATEWAYS, rank), Vec::new());
        run.update_endpoints(EndpointListKind::Snapshot, starting.clone());
        while run.now < 3_000.0 {
            for endpoint in run.send_request("read") {
                forwards.entry(endpoint).or_default().push(run.now);
            }
            run.now += 1_000.0 / RATE;
        }
    }
    // The budget of a second is 2 (the overload threshold) times the capacity. Without responses, the service
    // time is estimated at a tenth of the latency objective, 40 ms.
    let budget = |age: Millis| 2.0 * (0.2 + 0.8 * age / 10_000.0) * 1_000.0 / 40.0;
    for times in forwards.values_mut() {
        times.sort_by(f64::total_cmp);
        for (n, from) in times.iter().enumerate() {
            let budget = budget(*from);
            let count = times[n..].iter().take_while(|at| **at < from + 1_000.0).count() as f64;
            assert!(
                count <= budget + 2.0 * budget.sqrt() + 2.0,
                "{count} requests in the second from {from} ms, budget {budget}"
            );
        }
    }
}
