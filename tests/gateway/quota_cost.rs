//! What passes beyond quotas on a quiet day of a whole fleet, played by the module alone: many gateways, each
//! of which sees little of any customer, clients that come again elsewhere, and a meter that tells late.

use edge_gateway::*;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

/// Length of a day, in milliseconds.
const LENGTH: f64 = 18_000.0;
/// Units a second inside quotas for each gateway.
const LOAD: f64 = 6.0;
const GATEWAYS: u32 = 200;
/// Parts of the customers: always beyond their quota, now and then, and about to use it all.
const HEAVY: f64 = 0.11;
const SPIKY: f64 = 0.16;
const FULL: f64 = 0.3;
/// Part of a client's further tries that goes to another gateway, and how many there are.
const ELSEWHERE: f64 = 0.35;
const RETRIES: u32 = 2;
/// Deviation of the logarithm of a gateway's part in a customer's requests.
const SKEW: f64 = 1.2;
/// Reading of the meter after the end of its period.
const METER_LATE: f64 = 1_000.0;

/// What tells a deployment from others.
struct Deployment {
    plans: Vec<Plan>,
    meter_period: Option<f64>,
    /// Clients mark their further tries.
    marked: bool,
}

fn plan(name: &str, rate: f64, burst: f64, price: f64, excess_cost: f64) -> Plan {
    Plan {
        name: name.into(),
        rate,
        burst,
        weight_factor: price,
        over_quota_cost: excess_cost,
        ..Plan::default()
    }
}

fn settings(deployment: &Deployment, rank: u32) -> Settings {
    let class = RequestClass {
        name: "read".into(),
        latency_objective: 1_500.0,
        deadline: 4_000.0,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        idempotency_window: 0.0,
    };
    Settings {
        gateways: GATEWAYS,
        rank,
        zone: "east".into(),
        classes: vec![class],
        plans: deployment.plans.clone(),
        max_attempts: 3,
        cancellation: true,
        retries_marked: deployment.marked,
        max_retry_after: Some(500.0),
        usage_report_period: deployment.meter_period,
        connect_timeout: 250.0,
        slow_start_initial_capacity: 0.2,
        slow_start_duration: 15_000.0,
        overload_threshold: 2.5,
        overload_window: 1_000.0,
        ..Settings::default()
    }
}

/// A store of units that fills at a rate.
struct Store {
    units: f64,
    filled_at: f64,
}

impl Store {
    /// Whether it holds these units, which it then gives.
    fn takes(&mut self, now: f64, limits: &Plan, units: f64) -> bool {
        self.units = (self.units + (now - self.filled_at) / 1_000.0 * limits.rate).min(limits.burst);
        self.filled_at = now;
        let holds = self.units >= units;
        if holds {
            self.units -= units;
        }
        holds
    }
}

struct Customer {
    plan: usize,
    first: u32,
    /// Sums of the weights of the gateways of its set.
    weights: Vec<f64>,
    /// Its quota, and what one gateway that saw all first tries would let in.
    quota: Store,
    ideal: Store,
    /// What it asks for, in its rate, usually and in a spike from one time to another.
    usual: f64,
    spike: Option<(f64, f64, f64)>,
    /// Units sent on in each metered period.
    used: BTreeMap<u64, f64>,
}

impl Customer {
    fn new(plan: usize, limits: &Plan, rng: &mut fastrand::Rng) -> Self {
        let (draw, calm) = (rng.f64(), 0.18 + 0.25 * rng.f64());
        let (usual, spike) = if draw < HEAVY {
            (2.1 + 2.8 * rng.f64(), None)
        } else if draw < HEAVY + SPIKY {
            let from = LENGTH * rng.f64();
            (calm, Some((from, from + 1_800.0 + 2_400.0 * rng.f64(), 3.9 + 3.7 * rng.f64())))
        } else if draw < HEAVY + SPIKY + FULL {
            (0.9 + 0.1 * rng.f64(), None)
        } else {
            (calm, None)
        };
        let mut sum = 0.0;
        let width = (f64::from(GATEWAYS) * (0.5 + 0.5 * rng.f64())) as usize;
        let weights = (0..width).map(|_| {
            // A normal draw, by Box and Muller.
            let normal = (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos();
            sum += (SKEW * normal).exp();
            sum
        });
        Self {
            plan,
            weights: weights.collect(),
            first: rng.u32(..GATEWAYS),
            quota: Store { units: limits.burst, filled_at: 0.0 },
            ideal: Store { units: limits.burst, filled_at: 0.0 },
            usual,
            spike,
            used: BTreeMap::new(),
        }
    }

    fn gateway(&self, rng: &mut fastrand::Rng) -> u32 {
        let at = rng.f64() * self.weights.last().expect("a set");
        (self.first + self.weights.partition_point(|sum| *sum < at) as u32) % GATEWAYS
    }

    /// What it asks for now, in its rate, and until when.
    fn asks(&self, now: f64) -> (f64, f64) {
        match self.spike {
            Some((from, _, _)) if now < from => (self.usual, from),
            Some((_, to, rate)) if now < to => (rate, to),
            _ => (self.usual, f64::INFINITY),
        }
    }

    /// What an answer tells of its use, in percent of its rate.
    fn reading(&self, now: f64, limits: &Plan, period: f64) -> Option<f64> {
        let last = ((now - METER_LATE) / period).floor() - 1.0;
        let used = self.used.get(&(last as u64)).copied().unwrap_or(0.0);
        (last >= 0.0).then(|| (100_000.0 * used / (limits.rate * period)).round())
    }
}

enum What {
    /// A customer asks anew.
    Ask(usize),
    /// A try of a customer's client: its units, how many came before, and the gateway.
    Try(usize, f64, u32, u32),
    /// An answer comes to a gateway: the customer, the request, the server, and when it was sent.
    Answer(u32, usize, RequestId, EndpointId, f64),
}

/// What happens next; the earliest is the greatest.
struct Next(f64, What);

impl PartialEq for Next {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Next {}
impl PartialOrd for Next {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Next {
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0)
    }
}

/// Plays a day; gives what was served inside quotas and the price of what passed beyond them, both as parts of
/// all worth asked for inside.
fn play(deployment: &Deployment, seed: u64) -> (f64, f64) {
    let plans = &deployment.plans;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut actions = Vec::new();
    let server = |server| EndpointUpdate {
        endpoint: server,
        zone: "east".into(),
        cell: 0,
        status: EndpointStatus::Ready,
        started_at: None,
    };
    let members: Arc<[EndpointUpdate]> = (1..=12).map(server).collect();
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|rank| Gateway::new(settings(deployment, rank), rng.u64(..)).expect("settings are sound"))
        .collect();
    for gateway in &mut gateways {
        gateway.handle(
            0.0,
            Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: members.clone() },
            &mut actions,
        );
    }
    let mut customers = Vec::new();
    for (plan, limits) in plans.iter().enumerate() {
        let mut left = LOAD * f64::from(GATEWAYS) / plans.len() as f64;
        while left > 0.0 {
            let customer = Customer::new(plan, limits, &mut rng);
            left -= limits.rate * customer.usual.min(1.0);
            customers.push(customer);
        }
    }
    let mut queue: BinaryHeap<Next> =
        (0..customers.len()).map(|customer| Next(0.0, What::Ask(customer))).collect();
    let (mut tries, mut offered, mut served, mut price) = (0_u64, 0.0, 0.0, 0.0);
    while let Some(Next(now, what)) = queue.pop() {
        actions.clear();
        match what {
            What::Ask(number) => {
                let customer = &mut customers[number];
                let limits = &plans[customer.plan];
                let (rate, until) = customer.asks(now);
                // One or two units, as often each.
                let at = now - (1.0 - rng.f64()).ln() * 1_500.0 / (rate * limits.rate);
                if at > until.min(LENGTH) {
                    if until < LENGTH {
                        queue.push(Next(until, What::Ask(number)));
                    }
                    continue;
                }
                queue.push(Next(at, What::Ask(number)));
                let units = f64::from(rng.u32(1..=2));
                if customer.ideal.takes(at, limits, units) {
                    offered += units * limits.weight_factor;
                }
                queue.push(Next(at, What::Try(number, units, 0, customer.gateway(&mut rng))));
            }
            What::Try(number, units, before, gateway) => {
                let customer = &mut customers[number];
                let limits = &plans[customer.plan];
                tries += 1;
                let id: RequestId = format!("r{tries}").into();
                let arrival = IncomingRequest {
                    request: id.clone(),
                    class: "read".into(),
                    plan: limits.name.as_str().into(),
                    customer: format!("{number:016x}").into(),
                    deadline: now + 3_000.0,
                    units,
                    gateway_spread: customer.weights.len() as u32,
                    is_retry: deployment.marked && before > 0,
                };
                gateways[gateway as usize].handle(now, Event::RequestReceived(arrival), &mut actions);
                for action in &actions {
                    match action {
                        Action::Forward { endpoint: server, .. } => {
                            let worth = units * limits.weight_factor;
                            if customer.quota.takes(now, limits, units) {
                                served += worth;
                            } else {
                                price += worth * limits.over_quota_cost;
                            }
                            if let Some(period) = deployment.meter_period {
                                *customer.used.entry((now / period) as u64).or_default() += units;
                            }
                            let answer = What::Answer(gateway, number, id.clone(), *server, now);
                            queue.push(Next(now + 80.0 + 150.0 * rng.f64(), answer));
                        }
                        Action::Reject { retry_after, .. } if before < RETRIES => {
                            let heeds = rng.f64() < 0.6;
                            let elsewhere = rng.f64() < ELSEWHERE;
                            let to = if elsewhere { customer.gateway(&mut rng) } else { gateway };
                            let at = now + if heeds { *retry_after } else { 100.0 };
                            queue.push(Next(at, What::Try(number, units, before + 1, to)));
                        }
                        _ => {}
                    }
                }
            }
            What::Answer(gateway, number, request, server, sent_at) => {
                let customer = &customers[number];
                let limits = &plans[customer.plan];
                let done = AttemptResult {
                    request,
                    attempt: 0,
                    endpoint: server,
                    outcome: Outcome::Success,
                    elapsed: now - sent_at,
                    request_closed: true,
                    usage_percent: deployment
                        .meter_period
                        .and_then(|period| customer.reading(now, limits, period)),
                    has_usage_report: false,
                    load: LoadReport::default(),
                };
                gateways[gateway as usize].handle(now, Event::AttemptFinished(done), &mut actions);
            }
        }
    }
    (served / offered, price / offered)
}

/// The mean of some days.
fn mean(deployment: &Deployment) -> (f64, f64) {
    const DAYS: u64 = 3;
    let days = (1..=DAYS).map(|seed| play(deployment, seed));
    let (served, price) = days.fold((0.0, 0.0), |sum, day| (sum.0 + day.0, sum.1 + day.1));
    (served / DAYS as f64, price / DAYS as f64)
}

#[test]
fn with_a_meter_little_passes_beyond_quotas_and_what_lies_within_is_served() {
    let plans = vec![plan("small", 1.8, 8.0, 1.0, 0.8), plan("large", 10.0, 21.0, 1.6, 1.0)];
    for meter_period in [1_500.0, 3_000.0] {
        let deployment = Deployment { plans: plans.clone(), meter_period: Some(meter_period), marked: true };
        let (served, price) = mean(&deployment);
        println!("every {meter_period} ms: served {served:.3}, price {price:.3}");
        assert!(price <= 0.08, "every {meter_period} ms: {price:.3}");
        assert!(served >= 0.58, "every {meter_period} ms: {served:.3}");
    }
}

#[test]
fn without_a_meter_little_passes_beyond_quotas_and_what_lies_within_is_served() {
    let plans = vec![plan("small", 1.2, 5.0, 0.9, 1.0), plan("large", 6.0, 14.0, 1.3, 1.0)];
    let (served, price) = mean(&Deployment { plans, meter_period: None, marked: false });
    println!("served {served:.3}, price {price:.3}");
    assert!(price <= 0.082, "{price:.3}");
    assert!(served >= 0.55, "{served:.3}");
}
