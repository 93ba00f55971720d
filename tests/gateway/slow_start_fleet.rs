//! Slow start at fleets of unequal gateways. All gateways together must not overload an endpoint in slow
//! start, so whole fleets are simulated: with uneven traffic, restarts, retries, and gateways that see
//! different response times.

use crate::harness::*;
use edge_gateway::*;
use fastrand::Rng;

const OVERLOAD_WINDOW: Millis = 1_000.0;
const SLOW_START_DURATION: Millis = 17_000.0;
const INITIAL_CAPACITY: f64 = 0.18;
const OVERLOAD_THRESHOLD: f64 = 2.5;
/// Simulated time.
const RUN_TIME: Millis = 17_000.0;
/// The endpoint that starts at 0 and is in slow start.
const STARTING_ENDPOINT: EndpointId = 1;

/// Settings for a mean request of `work`: long requests take twice as long, short ones half as long. Latency
/// objectives are ten times the work of the class.
fn settings(gateways: u32, rank: u32, work: Millis) -> Settings {
    let class_with = |name: &str, latency_objective: Millis| RequestClass {
        latency_objective,
        deadline: 2.0 * latency_objective,
        idempotency_window: 0.0,
        ..class(name, Idempotency::Idempotent)
    };
    let plan = Plan { name: "basic".into(), rate: 1e6, burst: 1e6, over_quota_cost: 1.0, ..Plan::default() };
    Settings {
        gateways,
        rank,
        zone: "east".into(),
        classes: vec![class_with("short", 5.0 * work), class_with("long", 20.0 * work)],
        plans: vec![plan],
        max_attempts: 4,
        cancellation: true,
        connect_timeout: 100.0,
        slow_start_initial_capacity: INITIAL_CAPACITY,
        slow_start_duration: SLOW_START_DURATION,
        overload_threshold: OVERLOAD_THRESHOLD,
        overload_window: OVERLOAD_WINDOW,
        ..Settings::default()
    }
}

/// A request of this class from a client that gives up after 2 s.
fn incoming_of_class(id: &str, class: &str, now: Millis) -> IncomingRequest {
    IncomingRequest {
        class: class.into(),
        deadline: now + 2_000.0,
        gateway_spread: 1,
        ..incoming(id, "c", now)
    }
}

/// The traffic of one gateway.
struct Traffic {
    rank: u32,
    /// Mean time between requests, retries excluded.
    interval: Millis,
    /// Factor on the response times that this gateway measures.
    response_time_factor: f64,
    restart_at: Millis,
}

impl Traffic {
    /// Draws the traffic of a gateway. Some have ten times the traffic of others. Together they receive more
    /// requests than the endpoint may be sent, so that many have one to forward when an interval of slow
    /// start begins: in each such interval a fleet may send only a limited number.
    fn random(rank: u32, gateways: u32, work: Millis, rng: &mut Rng) -> Self {
        Self {
            rank,
            interval: f64::min(40.0, 0.01 * f64::from(gateways) * work.max(10.0)) * 10_f64.powf(rng.f64()),
            response_time_factor: 0.8 + 0.4 * rng.f64(),
            restart_at: if rng.u8(..4) == 0 { RUN_TIME * rng.f64() } else { f64::INFINITY },
        }
    }
}

/// A fleet of gateways in front of three endpoints, one of them in slow start.
struct Fleet {
    gateways: u32,
    /// Work of a mean request.
    work: Millis,
    rng: Rng,
    /// Times at which requests were forwarded to the endpoint in slow start.
    forwards: Vec<Millis>,
}

impl Fleet {
    /// Simulates a fleet, and returns its [`forwards`](Self::forwards) in order.
    fn run(gateways: u32, work: Millis, seed: u64) -> Vec<Millis> {
        let mut fleet = Self { gateways, work, rng: Rng::with_seed(seed), forwards: Vec::new() };
        for rank in 0..gateways {
            fleet.run_gateway(rank);
        }
        fleet.forwards.sort_by(f64::total_cmp);
        fleet.forwards
    }

    fn start_gateway(&mut self, rank: u32, now: Millis) -> Harness {
        Harness::builder(settings(self.gateways, rank, self.work))
            .seed(self.rng.u64(..))
            .started_at(now)
            .endpoints(vec![endpoint_in_slow_start(STARTING_ENDPOINT), endpoint(2), endpoint(3)])
            .build()
    }

    fn run_gateway(&mut self, rank: u32) {
        let mut harness = self.start_gateway(rank, 0.0);
        let mut traffic = Traffic::random(rank, self.gateways, self.work, &mut self.rng);
        let (mut now, mut number) = (traffic.interval * self.rng.f64(), 0);
        while now < RUN_TIME {
            if now >= traffic.restart_at {
                // The gateway may have forwarded requests in this interval of slow start before its restart.
                harness = self.start_gateway(rank, now);
                traffic.restart_at = f64::INFINITY;
            }
            number += 1;
            self.run_request(&mut harness, &traffic, number, now);
            now += traffic.interval * (0.5 + self.rng.f64());
        }
    }

    /// Sends a request and finishes all its attempts at once.
    fn run_request(&mut self, harness: &mut Harness, traffic: &Traffic, number: u32, now: Millis) {
        let is_long = self.rng.u8(..3) == 0;
        let (class, work) = if is_long { ("long", 2.0) } else { ("short", 0.5) };
        let id = format!("g{}-{number}", traffic.rank);
        let mut actions = harness.receive_request(now, incoming_of_class(&id, class, now));
        let mut attempt = 0;
        while let Some(endpoint) = forwarded_to(&actions) {
            if endpoint == STARTING_ENDPOINT {
                self.forwards.push(now);
            }
            // One in five attempts finds the endpoint overloaded, which leads to a retry.
            let is_overloaded = self.rng.u8(..5) == 0;
            let result = AttemptResult {
                attempt,
                endpoint,
                outcome: if is_overloaded { Outcome::Overloaded } else { Outcome::Success },
                elapsed: traffic.response_time_factor * self.work * work,
                request_closed: !is_overloaded,
                ..success(&id)
            };
            actions = harness.finish_attempt(now, result);
            attempt += 1;
        }
    }
}

/// Returns how many mean requests the endpoint may be sent in an overload window that ends at this age.
fn budget(age: Millis, work: Millis) -> f64 {
    let capacity = (INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age / SLOW_START_DURATION).min(1.0);
    OVERLOAD_THRESHOLD * capacity * OVERLOAD_WINDOW / work
}

/// Asserts that no overload window exceeds its budget by more than random variation explains.
fn check_windows(forwards: &[Millis], work: Millis, case: &str) {
    let mut window_start = 0;
    for (i, at) in forwards.iter().enumerate().filter(|(_, at)| **at < SLOW_START_DURATION) {
        while forwards[window_start] < at - OVERLOAD_WINDOW {
            window_start += 1;
        }
        let (count, budget) = ((i + 1 - window_start) as f64, budget(*at, work));
        let limit = budget + 2.0 * budget.sqrt() + 2.0;
        assert!(count <= limit, "{case}, at {at} ms: {count} requests, budget {budget:.1}");
    }
}

#[test]
fn fleet_stays_within_budget_of_each_window() {
    for gateways in [3, 20, 30, 300, 400] {
        // From a few requests in a window up to hundreds.
        for work in [400.0, 100.0, 4.0] {
            let forwards = Fleet::run(gateways, work, u64::from(gateways));
            let case = format!("{gateways} gateways, {work} ms");
            check_windows(&forwards, work, &case);
            // If enough requests arrive, the endpoint receives at least a third of its budget.
            if gateways >= 20 && work >= 100.0 {
                let available: f64 = (1..=15).map(|second| budget(1_000.0 * f64::from(second), work)).sum();
                let count = forwards.iter().filter(|at| **at < 15_000.0).count() as f64;
                assert!(count >= available / 3.0, "{case}: {count} requests, budget {available:.0}");
            }
        }
    }
}

#[test]
fn restarted_gateway_waits_for_next_interval() {
    // The only gateway is started ten times within one interval of slow start. What may be forwarded in that
    // interval may have been used up before the restart.
    let mut forwarded = 0;
    for restart in 0..10 {
        let now = 1_510.0 + 40.0 * restart as f64;
        let mut harness = Harness::builder(settings(1, 0, 200.0))
            .seed(restart)
            .started_at(now)
            .endpoints(vec![endpoint_in_slow_start(STARTING_ENDPOINT)])
            .build();
        for i in 0..3 {
            let request = incoming_of_class(&format!("l{restart}-{i}"), "short", now);
            let actions = harness.receive_request(now + f64::from(i), request);
            forwarded += actions.iter().filter(|action| matches!(action, Action::Forward { .. })).count();
        }
    }
    assert_eq!(forwarded, 0);
}
