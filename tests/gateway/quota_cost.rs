//! Requests forwarded over quota by a fleet in normal operation, and their cost: each of many gateways
//! receives few requests of any customer, clients retry at other gateways, and usage reports are late.

use crate::harness::*;
use edge_gateway::*;
use fastrand::Rng;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::f64::consts::TAU;

/// Simulated time in which customers send requests.
const DURATION: Millis = 18_000.0;
const RUNS: u64 = 3;
const GATEWAYS: u32 = 200;
const ENDPOINTS: u32 = 12;
/// Mean demand within quotas for each gateway, in units per second.
const LOAD_WITHIN_QUOTA: f64 = 6.0;
/// Mean time between requests of a customer that sends one unit per second. A request has 1 or 2 units, so
/// 1.5 on average.
const UNIT_INTERVAL: Millis = 1_500.0;
/// Fractions of the customers by demand: always over quota, over quota during a spike, and just below quota.
const ALWAYS_OVER_QUOTA: f64 = 0.11;
const SOMETIMES_OVER_QUOTA: f64 = 0.16;
const CLOSE_TO_QUOTA: f64 = 0.3;
/// Maximum number of retries of a client.
const RETRIES: u32 = 2;
/// Fraction of the retries that go to another gateway.
const RETRIES_ELSEWHERE: f64 = 0.35;
/// Fraction of the retries that honour Retry-After.
const HONOURS_RETRY_AFTER: f64 = 0.6;
/// Delay of the other retries.
const IMPATIENT_RETRY_DELAY: Millis = 100.0;
/// Standard deviation of the log-normal weights by which a customer's requests are spread over gateways.
const SPREAD_SKEW: f64 = 1.2;
/// Delay of a usage report after the end of its period.
const REPORT_DELAY: Millis = 1_000.0;

/// The settings in which the simulated deployments differ.
struct Deployment {
    plans: Vec<Plan>,
    usage_report_period: Option<Millis>,
    clients_mark_retries: bool,
}

fn plan(name: &str, rate: f64, burst: f64, weight_factor: f64, over_quota_cost: f64) -> Plan {
    Plan { name: name.into(), rate, burst, weight_factor, over_quota_cost, ..Plan::default() }
}

fn settings(deployment: &Deployment, rank: u32) -> Settings {
    let read = RequestClass {
        latency_objective: 1_500.0,
        deadline: 4_000.0,
        idempotency_window: 0.0,
        ..class("read", Idempotency::Idempotent)
    };
    Settings {
        gateways: GATEWAYS,
        rank,
        zone: "east".into(),
        classes: vec![read],
        plans: deployment.plans.clone(),
        max_attempts: 3,
        cancellation: true,
        clients_mark_retries: deployment.clients_mark_retries,
        max_retry_after: Some(500.0),
        usage_report_period: deployment.usage_report_period,
        connect_timeout: 250.0,
        slow_start_initial_capacity: 0.2,
        slow_start_duration: 15_000.0,
        overload_threshold: 2.5,
        overload_window: 1_000.0,
        ..Settings::default()
    }
}

/// The exact bucket of a customer's quota, with which the gateways' decisions are compared.
struct TokenBucket {
    units: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    fn full(plan: &Plan) -> Self {
        Self { units: plan.burst, refilled_at: 0.0 }
    }

    /// Takes `units` if the bucket holds as many. Returns whether it took them.
    fn try_take(&mut self, now: Millis, plan: &Plan, units: f64) -> bool {
        let refilled = (now - self.refilled_at) / 1_000.0 * plan.rate;
        self.units = (self.units + refilled).min(plan.burst);
        self.refilled_at = now;
        let has_units = self.units >= units;
        if has_units {
            self.units -= units;
        }
        has_units
    }
}

/// A period in which a customer sends more than usual; the demand is a multiple of its rate.
struct Spike {
    start: Millis,
    end: Millis,
    demand: f64,
}

/// What a customer sends, as a multiple of the rate of its plan.
struct Demand {
    normal: f64,
    spike: Option<Spike>,
}

impl Demand {
    fn random(rng: &mut Rng) -> Self {
        let (draw, low_demand) = (rng.f64(), 0.18 + 0.25 * rng.f64());
        if draw < ALWAYS_OVER_QUOTA {
            Self { normal: 2.1 + 2.8 * rng.f64(), spike: None }
        } else if draw < ALWAYS_OVER_QUOTA + SOMETIMES_OVER_QUOTA {
            let start = DURATION * rng.f64();
            let end = start + 1_800.0 + 2_400.0 * rng.f64();
            Self { normal: low_demand, spike: Some(Spike { start, end, demand: 3.9 + 3.7 * rng.f64() }) }
        } else if draw < ALWAYS_OVER_QUOTA + SOMETIMES_OVER_QUOTA + CLOSE_TO_QUOTA {
            Self { normal: 0.9 + 0.1 * rng.f64(), spike: None }
        } else {
            Self { normal: low_demand, spike: None }
        }
    }

    /// Returns the demand at a time, and until when it stays the same.
    fn at(&self, now: Millis) -> (f64, Millis) {
        match &self.spike {
            Some(spike) if now < spike.start => (self.normal, spike.start),
            Some(spike) if now < spike.end => (spike.demand, spike.end),
            _ => (self.normal, f64::INFINITY),
        }
    }
}

struct Customer {
    plan: usize,
    demand: Demand,
    /// The first of the gateways that the customer uses.
    first_gateway: u32,
    /// Running sums of the weights by which the customer chooses a gateway, from the first one on.
    cumulative_weights: Vec<f64>,
    /// The customer's quota, from which the requests that any gateway forwards are taken.
    quota: TokenBucket,
    /// What the quota would be if one gateway received all requests and forwarded those within quota.
    single_gateway_quota: TokenBucket,
    /// Units forwarded in each metered period, by the index of the period.
    metered: BTreeMap<u64, f64>,
}

impl Customer {
    fn random(plan: usize, limits: &Plan, rng: &mut Rng) -> Self {
        let demand = Demand::random(rng);
        let spread = (f64::from(GATEWAYS) * (0.5 + 0.5 * rng.f64())) as usize;
        let mut sum = 0.0;
        let cumulative_weights = (0..spread).map(|_| {
            // A normal variate, by the Box-Muller transform.
            let normal = (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (TAU * rng.f64()).cos();
            sum += (SPREAD_SKEW * normal).exp();
            sum
        });
        Self {
            plan,
            demand,
            cumulative_weights: cumulative_weights.collect(),
            first_gateway: rng.u32(..GATEWAYS),
            quota: TokenBucket::full(limits),
            single_gateway_quota: TokenBucket::full(limits),
            metered: BTreeMap::new(),
        }
    }

    fn random_gateway(&self, rng: &mut Rng) -> u32 {
        let at = rng.f64() * self.cumulative_weights.last().expect("a customer has a gateway");
        let offset = self.cumulative_weights.partition_point(|sum| *sum < at) as u32;
        (self.first_gateway + offset) % GATEWAYS
    }

    /// Returns the customer's usage in the last reported period, in percent of the plan's rate; `None` before
    /// the first report.
    fn usage_percent(&self, now: Millis, limits: &Plan, period: Millis) -> Option<f64> {
        let last = ((now - REPORT_DELAY) / period).floor() - 1.0;
        let used = self.metered.get(&(last as u64)).copied().unwrap_or(0.0);
        // 100 for percent, times 1000 because the period is in milliseconds and the rate in units per second.
        (last >= 0.0).then(|| (100_000.0 * used / (limits.rate * period)).round())
    }
}

/// A request that a client sent to a gateway.
struct SentRequest {
    customer: usize,
    units: f64,
    /// Attempts of the client before this one.
    earlier_attempts: u32,
    gateway: u32,
}

/// A response that an endpoint sent to a gateway.
struct Response {
    customer: usize,
    gateway: u32,
    request: RequestId,
    endpoint: EndpointId,
    forwarded_at: Millis,
}

enum SimulationEvent {
    /// A customer schedules its next request.
    NextRequest { customer: usize },
    /// A gateway receives a request.
    Request(SentRequest),
    /// A gateway receives a response.
    Response(Response),
}

/// An event and its time. The earliest event compares as the greatest, so that a `BinaryHeap` pops it first.
struct Scheduled {
    at: Millis,
    event: SimulationEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at)
    }
}

/// Results of a run, as fractions of the weight of all requests within quota.
#[derive(Clone, Copy, Default)]
struct SimulationResult {
    /// Weight of the requests served within quota.
    served: f64,
    /// Cost of the requests forwarded over quota.
    cost: f64,
}

/// A simulated fleet. Its sums are in units times the weight factor of the plan.
struct Simulation<'a> {
    deployment: &'a Deployment,
    rng: Rng,
    gateways: Vec<Harness>,
    customers: Vec<Customer>,
    queue: BinaryHeap<Scheduled>,
    requests: u64,
    /// Weight of the requests within quota that clients sent, retries excluded.
    offered: f64,
    /// Weight of the requests forwarded within quota.
    served: f64,
    /// Weight of the requests forwarded over quota, times the over-quota cost.
    cost: f64,
}

impl<'a> Simulation<'a> {
    fn run(deployment: &'a Deployment, seed: u64) -> SimulationResult {
        let mut simulation = Self::start(deployment, seed);
        while let Some(Scheduled { at, event }) = simulation.queue.pop() {
            match event {
                SimulationEvent::NextRequest { customer } => simulation.schedule_next_request(at, customer),
                SimulationEvent::Request(sent) => simulation.receive_request(at, sent),
                SimulationEvent::Response(response) => simulation.receive_response(at, response),
            }
        }
        SimulationResult {
            served: simulation.served / simulation.offered,
            cost: simulation.cost / simulation.offered,
        }
    }

    fn start(deployment: &'a Deployment, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let mut start_gateway = |rank| {
            let seed = rng.u64(..);
            Harness::builder(settings(deployment, rank)).seed(seed).endpoints(endpoints(ENDPOINTS)).build()
        };
        let gateways = (0..GATEWAYS).map(&mut start_gateway).collect();
        let customers = random_customers(&deployment.plans, &mut rng);
        let next_request = |customer| SimulationEvent::NextRequest { customer };
        let queue = (0..customers.len())
            .map(|customer| Scheduled { at: 0.0, event: next_request(customer) })
            .collect();
        Self {
            deployment,
            rng,
            gateways,
            customers,
            queue,
            requests: 0,
            offered: 0.0,
            served: 0.0,
            cost: 0.0,
        }
    }

    fn schedule(&mut self, at: Millis, event: SimulationEvent) {
        self.queue.push(Scheduled { at, event });
    }

    /// Schedules the next request of a customer, or a new decision at the time when its demand changes.
    fn schedule_next_request(&mut self, now: Millis, index: usize) {
        let customer = &mut self.customers[index];
        let limits = &self.deployment.plans[customer.plan];
        let (demand, until) = customer.demand.at(now);
        let at = now - (1.0 - self.rng.f64()).ln() * UNIT_INTERVAL / (demand * limits.rate);
        let next_request = SimulationEvent::NextRequest { customer: index };
        if at > until.min(DURATION) {
            if until < DURATION {
                self.schedule(until, next_request);
            }
            return;
        }
        let units = f64::from(self.rng.u32(1..=2));
        if customer.single_gateway_quota.try_take(at, limits, units) {
            self.offered += units * limits.weight_factor;
        }
        let gateway = customer.random_gateway(&mut self.rng);
        self.schedule(at, next_request);
        self.schedule(
            at,
            SimulationEvent::Request(SentRequest { customer: index, units, earlier_attempts: 0, gateway }),
        );
    }

    fn receive_request(&mut self, now: Millis, sent: SentRequest) {
        self.requests += 1;
        let id = format!("r{}", self.requests);
        let customer = &self.customers[sent.customer];
        let request = IncomingRequest {
            plan: self.deployment.plans[customer.plan].name.as_str().into(),
            units: sent.units,
            gateway_spread: customer.cumulative_weights.len() as u32,
            is_retry: self.deployment.clients_mark_retries && sent.earlier_attempts > 0,
            ..incoming(&id, &format!("{:016x}", sent.customer), now)
        };
        for action in self.gateways[sent.gateway as usize].receive_request(now, request) {
            match action {
                Action::Forward { request, endpoint, .. } => self.forward(now, &sent, request, endpoint),
                Action::Reject { retry_after, .. } if sent.earlier_attempts < RETRIES => {
                    self.schedule_retry(now, &sent, retry_after);
                }
                _ => {}
            }
        }
    }

    /// Counts a forwarded request as within or over quota, and schedules its response.
    fn forward(&mut self, now: Millis, sent: &SentRequest, request: RequestId, endpoint: EndpointId) {
        let customer = &mut self.customers[sent.customer];
        let limits = &self.deployment.plans[customer.plan];
        let weight = sent.units * limits.weight_factor;
        if customer.quota.try_take(now, limits, sent.units) {
            self.served += weight;
        } else {
            self.cost += weight * limits.over_quota_cost;
        }
        if let Some(period) = self.deployment.usage_report_period {
            *customer.metered.entry((now / period) as u64).or_default() += sent.units;
        }
        let response =
            Response { customer: sent.customer, gateway: sent.gateway, request, endpoint, forwarded_at: now };
        let at = now + 80.0 + 150.0 * self.rng.f64();
        self.schedule(at, SimulationEvent::Response(response));
    }

    fn schedule_retry(&mut self, now: Millis, sent: &SentRequest, retry_after: Millis) {
        let honours_retry_after = self.rng.f64() < HONOURS_RETRY_AFTER;
        let is_elsewhere = self.rng.f64() < RETRIES_ELSEWHERE;
        let gateway = if is_elsewhere {
            self.customers[sent.customer].random_gateway(&mut self.rng)
        } else {
            sent.gateway
        };
        let at = now + if honours_retry_after { retry_after } else { IMPATIENT_RETRY_DELAY };
        let earlier_attempts = sent.earlier_attempts + 1;
        self.schedule(at, SimulationEvent::Request(SentRequest { earlier_attempts, gateway, ..*sent }));
    }

    fn receive_response(&mut self, now: Millis, response: Response) {
        let customer = &self.customers[response.customer];
        let limits = &self.deployment.plans[customer.plan];
        let period = self.deployment.usage_report_period;
        let result = AttemptResult {
            endpoint: response.endpoint,
            elapsed: now - response.forwarded_at,
            usage_percent: period.and_then(|period| customer.usage_percent(now, limits, period)),
            ..success(&response.request)
        };
        self.gateways[response.gateway as usize].finish_attempt(now, result);
    }
}

/// Returns customers of all plans. Their normal demand within quotas adds up to [`LOAD_WITHIN_QUOTA`] for
/// each gateway, in equal parts for the plans.
fn random_customers(plans: &[Plan], rng: &mut Rng) -> Vec<Customer> {
    let mut customers = Vec::new();
    for (plan, limits) in plans.iter().enumerate() {
        let mut remaining = LOAD_WITHIN_QUOTA * f64::from(GATEWAYS) / plans.len() as f64;
        while remaining > 0.0 {
            let customer = Customer::random(plan, limits, rng);
            remaining -= limits.rate * customer.demand.normal.min(1.0);
            customers.push(customer);
        }
    }
    customers
}

/// Returns the mean results of [`RUNS`] runs with different seeds.
fn mean_of_runs(deployment: &Deployment) -> SimulationResult {
    let mut sum = SimulationResult::default();
    for seed in 1..=RUNS {
        let result = Simulation::run(deployment, seed);
        sum = SimulationResult { served: sum.served + result.served, cost: sum.cost + result.cost };
    }
    SimulationResult { served: sum.served / RUNS as f64, cost: sum.cost / RUNS as f64 }
}

#[test]
fn bounds_over_quota_cost_with_meter() {
    let plans = vec![plan("small", 1.8, 8.0, 1.0, 0.8), plan("large", 10.0, 21.0, 1.6, 1.0)];
    for period in [1_500.0, 3_000.0] {
        let deployment = Deployment {
            plans: plans.clone(),
            usage_report_period: Some(period),
            clients_mark_retries: true,
        };
        let SimulationResult { served, cost } = mean_of_runs(&deployment);
        println!("every {period} ms: served {served:.3}, cost {cost:.3}");
        assert!(cost <= 0.08, "every {period} ms: cost {cost:.3}");
        assert!(served >= 0.58, "every {period} ms: served {served:.3}");
    }
}

#[test]
fn bounds_over_quota_cost_without_meter() {
    let plans = vec![plan("small", 1.2, 5.0, 0.9, 1.0), plan("large", 6.0, 14.0, 1.3, 1.0)];
    let SimulationResult { served, cost } =
        mean_of_runs(&Deployment { plans, usage_report_period: None, clients_mark_retries: false });
    println!("served {served:.3}, cost {cost:.3}");
    assert!(cost <= 0.082, "cost {cost:.3}");
    assert!(served >= 0.55, "served {served:.3}");
}
