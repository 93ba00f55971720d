//! The deployment of the soak: configuration of the nodes, and the same parameters for the oracle.

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// Zones of nodes and endpoints.
pub const ZONES: [&str; 2] = ["east", "west"];
/// Gateways through which one customer sends its requests.
pub const GATEWAY_SPREAD: usize = 3;

/// Whether a request may be executed again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// With an idempotency key: within the zone of its first execution and for this long.
    WithKey {
        /// From the first attempt that may have been executed.
        window: Duration,
    },
    /// Never.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestClass {
    /// Its name.
    pub name: &'static str,
    /// Whether its requests may be executed again.
    pub idempotency: Idempotency,
    /// A response within this time is worth the full weight.
    pub latency_objective: Duration,
    /// How long its clients wait.
    pub deadline: Duration,
}

/// All classes.
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

/// Parameters of the endpoints and quotas, as the nodes are configured and the oracle checks them.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    /// Fraction of its capacity that an endpoint has as it starts.
    pub slow_start_initial_capacity: f64,
    /// Time until it has its full capacity.
    pub slow_start_duration: Duration,
    /// It fails when it receives this multiple of its capacity ...
    pub overload_threshold: f64,
    /// ... for this long.
    pub overload_window: Duration,
    /// Mean service time of a request.
    pub service_time: Duration,
    /// Units a second of a ceiling.
    pub ceiling_rate: f64,
    /// Most units in its token bucket.
    pub ceiling_burst: f64,
    /// Units by which all nodes together may overdraw the bucket.
    pub ceiling_tolerance: f64,
}

impl Parameters {
    /// Those of all runs.
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

    /// Most requests that an endpoint of this age may receive within the overload window.
    pub fn slow_start_limit(&self, age: Duration) -> f64 {
        /// Below this mean, a Poisson count exceeds two standard deviations too often.
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

/// Settings that are drawn for each seed.
#[derive(Clone, Copy, Debug)]
pub struct DrawnSettings {
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Changes of the endpoint list must be subscribed to, and polls are not free.
    pub subscription: bool,
}

/// What the configuration of one node holds beside the parameters of all.
pub struct NodeConfiguration {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its discovery agent.
    pub discovery: SocketAddr,
    /// Its rank in the fleet.
    pub rank: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Seed of its random draws.
    pub seed: u64,
    /// Settings of this run.
    pub drawn: DrawnSettings,
}

impl NodeConfiguration {
    /// The configuration file's content.
    pub fn to_json(&self) -> Value {
        let Self { listen, discovery, rank, nodes, seed, drawn } = self;
        let parameters = Parameters::new();
        json!({
            "name": format!("n{rank}"), "listen": listen, "discovery": discovery, "seed": format!("{seed:x}"),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "known": null,
            "settings": {
                "allowed": {"cancel": drawn.cancellation, "connectTimeoutMs": 300, "keepaliveMs": 4000,
                            "maxRetryAfterMs": 600, "mostTries": 4, "retryAfter": true,
                            "secondCopies": false},
                "az": ZONES[rank % ZONES.len()], "balancers": nodes, "rank": rank,
                "discovery": if drawn.subscription { "subscribe" } else { "automatic" },
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
