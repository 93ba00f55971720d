//! The soak's deployment: the configuration of the nodes, and the parameters that the oracle checks against.

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// Zones to which nodes and endpoints are assigned in turn.
pub const ZONES: [&str; 2] = ["east", "west"];
/// Gateway spread: number of nodes to which each customer sends its requests, if there are as many.
pub const GATEWAY_SPREAD: usize = 3;

/// Whether a request may be executed again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// It may be executed any number of times.
    Idempotent,
    /// It has an idempotency key: within a window, it may be executed again in the same zone.
    WithKey {
        /// Length of the window, from the first attempt that may have been executed.
        window: Duration,
    },
    /// It must not be executed again.
    NotIdempotent,
}

/// A request class, as the nodes are configured with it and the oracle checks it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestClass {
    /// Name in the configuration and in the `Req-Kind` header.
    pub name: &'static str,
    /// Whether requests of the class may be executed again.
    pub idempotency: Idempotency,
    /// Response time up to which a response has its full priority weight.
    pub latency_objective: Duration,
    /// Time that clients of the class wait for a response.
    pub deadline: Duration,
}

/// All request classes. Clients draw one of them for each request.
pub const CLASSES: [RequestClass; 3] = [
    RequestClass {
        name: "view",
        idempotency: Idempotency::Idempotent,
        latency_objective: Duration::from_millis(1_000),
        deadline: Duration::from_millis(1_800),
    },
    RequestClass {
        name: "pay",
        idempotency: Idempotency::WithKey { window: Duration::from_millis(1_500) },
        latency_objective: Duration::from_millis(1_500),
        deadline: Duration::from_millis(2_600),
    },
    RequestClass {
        name: "order",
        idempotency: Idempotency::NotIdempotent,
        latency_objective: Duration::from_millis(1_200),
        deadline: Duration::from_millis(2_200),
    },
];

/// Parameters of the endpoints and quotas. The nodes are configured with them, and the oracle checks against
/// them.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    /// Fraction of its full capacity that an endpoint has when it starts.
    pub slow_start_initial_capacity: f64,
    /// Time from an endpoint's start until it has its full capacity.
    pub slow_start_duration: Duration,
    /// Multiple of its present capacity at which an endpoint fails from overload.
    pub overload_threshold: f64,
    /// Time over which the load of an endpoint is counted for the threshold.
    pub overload_window: Duration,
    /// Mean service time of a request at an endpoint.
    pub service_time: Duration,
    /// Refill rate of a ceiling's token bucket, in units per second.
    pub ceiling_rate: f64,
    /// Capacity of a ceiling's token bucket, in units.
    pub ceiling_burst: f64,
    /// Units by which all nodes together may overdraw a ceiling's token bucket.
    pub ceiling_tolerance: f64,
}

impl Parameters {
    /// Returns the parameters, which are the same in all runs.
    pub fn new() -> Self {
        Self {
            slow_start_initial_capacity: 0.2,
            slow_start_duration: Duration::from_secs(8),
            overload_threshold: 2.5,
            overload_window: Duration::from_secs(1),
            service_time: Duration::from_millis(25),
            ceiling_rate: 6.0,
            ceiling_burst: 18.0,
            ceiling_tolerance: 2.0,
        }
    }

    /// Maximum number of attempts that an endpoint of this age may receive within the overload window: the
    /// mean number at the overload threshold, and a margin for random variation.
    pub fn slow_start_limit(&self, age: Duration) -> f64 {
        /// Below this mean, a Poisson count exceeds its mean by two standard deviations too often.
        const SMALL_MEAN: f64 = 30.0;
        let initial = self.slow_start_initial_capacity;
        let (age, duration) = (age.as_secs_f64(), self.slow_start_duration.as_secs_f64());
        let capacity_factor = (initial + (1.0 - initial) * age / duration).min(1.0);
        let capacity = self.overload_window.as_secs_f64() / self.service_time.as_secs_f64();
        let mean = self.overload_threshold * capacity_factor * capacity;
        let (deviations, margin) = if mean < SMALL_MEAN { (3.0, 3.0) } else { (2.0, 2.0) };
        mean + deviations * mean.sqrt() + margin
    }
}

/// Node settings that are drawn at random for each run.
#[derive(Clone, Copy, Debug)]
pub struct RandomSettings {
    /// Whether nodes may cancel attempts in flight.
    pub cancellation: bool,
    /// Whether changes of the endpoint list are sent only to subscribers (`discovery` is `subscribe`).
    pub subscription: bool,
}

/// The part of a node's configuration that differs between nodes or runs.
pub struct NodeConfiguration {
    /// Address on which the node listens.
    pub listen: SocketAddr,
    /// Address of the node's discovery agent.
    pub discovery: SocketAddr,
    /// Number of the node in the fleet, from 0.
    pub rank: usize,
    /// Number of nodes in the fleet.
    pub nodes: usize,
    /// Seed of the node's random generator.
    pub seed: u64,
    /// The settings drawn for the run, the same for all nodes.
    pub random_settings: RandomSettings,
}

impl NodeConfiguration {
    /// Returns the content of the configuration file.
    pub fn to_json(&self) -> Value {
        let Self { listen, discovery, rank, nodes, seed, random_settings } = self;
        let parameters = Parameters::new();
        json!({
            "name": format!("n{rank}"), "listen": listen, "discovery": discovery, "seed": format!("{seed:x}"),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "known": null,
            "settings": {
                "allowed": {"cancel": random_settings.cancellation, "connectTimeoutMs": 300,
                            "keepaliveMs": 4000, "maxRetryAfterMs": 600, "mostTries": 4,
                            "retryAfter": true, "secondCopies": false},
                "az": ZONES[rank % ZONES.len()], "balancers": nodes, "rank": rank,
                "discovery": if random_settings.subscription { "subscribe" } else { "automatic" },
                "classes": CLASSES.iter().map(class_json).collect::<Vec<_>>(),
                "contracts": [
                    {"name": "open"},
                    {"name": "capped", "refill": 3, "mostAtOnce": 12, "excessCost": 0.5,
                     "capRate": parameters.ceiling_rate, "capDepth": parameters.ceiling_burst,
                     "tolerance": parameters.ceiling_tolerance}
                ],
                "domain": {"unitsTop": 2, "usePeriodMs": 1000},
                "prices": {"crossZone": 0.02, "handshake": 0.01},
                "rules": {"coldFrom": parameters.slow_start_initial_capacity,
                          "warmAfterMs": millis(parameters.slow_start_duration),
                          "fallMultiple": parameters.overload_threshold,
                          "overloadForMs": millis(parameters.overload_window),
                          "drainGraceMs": 250}
            }
        })
    }
}

fn class_json(class: &RequestClass) -> Value {
    let (effect, window) = match class.idempotency {
        Idempotency::Idempotent => ("safe", Duration::ZERO),
        Idempotency::WithKey { window } => ("keyed", window),
        Idempotency::NotIdempotent => ("unsafe", Duration::ZERO),
    };
    json!({"name": class.name, "aimMs": millis(class.latency_objective), "deadlineMs": millis(class.deadline),
           "worth": 3, "lateWorth": 0.1, "effect": effect, "keyScope": "zone", "windowMs": millis(window)})
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
