//! The deployment that the soak plays: settings of the nodes, and the same figures for the oracle.

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// Zones of nodes and servers.
pub const ZONES: [&str; 2] = ["east", "west"];
/// Gateways through which one customer comes.
pub const SPREAD: usize = 3;

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Any number of times.
    Safe,
    /// Within its zone and for this long.
    Keyed {
        /// From the first attempt that may have run.
        window: Duration,
    },
    /// Never.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestClass {
    /// Its name.
    pub name: &'static str,
    /// Whether it may run again.
    pub effect: Effect,
    /// An answer within this time earns the full worth.
    pub aim: Duration,
    /// How long its clients wait.
    pub wait: Duration,
}

/// All classes.
pub const CLASSES: [RequestClass; 3] = [
    RequestClass {
        name: "view",
        effect: Effect::Safe,
        aim: Duration::from_millis(1_000),
        wait: Duration::from_millis(1_800),
    },
    RequestClass {
        name: "pay",
        effect: Effect::Keyed { window: Duration::from_millis(1_500) },
        aim: Duration::from_millis(1_500),
        wait: Duration::from_millis(2_600),
    },
    RequestClass {
        name: "order",
        effect: Effect::Unsafe,
        aim: Duration::from_millis(1_200),
        wait: Duration::from_millis(2_200),
    },
];

/// Figures of the rules.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Least share of its capacity that a server starts with.
    pub cold_from: f64,
    /// It is warm after this time.
    pub warm_after: Duration,
    /// It falls when sent so many times what it can do ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall_window: Duration,
    /// Work of a mean request.
    pub work: Duration,
    /// Units a second of a ceiling.
    pub ceiling_rate: f64,
    /// Most units of its store.
    pub ceiling_depth: f64,
    /// By how much the store may fall below nothing.
    pub ceiling_slack: f64,
}

impl Rules {
    /// Those that are played.
    pub fn new() -> Self {
        Self {
            cold_from: 0.2,
            warm_after: Duration::from_secs(8),
            fall_multiple: 2.5,
            fall_window: Duration::from_secs(1),
            work: Duration::from_millis(25),
            ceiling_rate: 6.0,
            ceiling_depth: 18.0,
            ceiling_slack: 2.0,
        }
    }

    /// Most requests that a server of this age may be sent within the window.
    pub fn most_while_cold(&self, age: Duration) -> f64 {
        let warmth =
            self.cold_from + (1.0 - self.cold_from) * age.as_secs_f64() / self.warm_after.as_secs_f64();
        let capacity = self.fall_window.as_secs_f64() / self.work.as_secs_f64();
        let n = self.fall_multiple * warmth.min(1.0) * capacity;
        let (roots, more) = if n < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
        n + roots * n.sqrt() + more
    }
}

/// What the settings say beside the rules; drawn anew for each seed.
#[derive(Clone, Copy, Debug)]
pub struct Allowed {
    /// Attempts may be cancelled.
    pub cancelling: bool,
    /// Changes of the list must be asked for, and calls are not free.
    pub list_on_request: bool,
}

/// The configuration of one node.
pub fn configuration(
    listen: SocketAddr,
    discovery: SocketAddr,
    rank: usize,
    nodes: usize,
    seed: u64,
    allowed: Allowed,
) -> Value {
    let rules = Rules::new();
    let millis = |time: Duration| time.as_millis() as u64;
    let classes: Vec<Value> = CLASSES
        .iter()
        .map(|class| {
            let (effect, window) = match class.effect {
                Effect::Safe => ("safe", 0),
                Effect::Keyed { window } => ("keyed", millis(window)),
                Effect::Unsafe => ("unsafe", 0),
            };
            json!({"name": class.name, "aimMs": millis(class.aim), "deadlineMs": millis(class.wait), "worth": 3,
                   "lateWorth": 0.1, "effect": effect, "keyScope": "zone", "windowMs": window})
        })
        .collect();
    json!({
        "name": format!("n{rank}"), "listen": listen, "discovery": discovery, "seed": format!("{seed:x}"),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "known": null,
        "settings": {
            "allowed": {"cancel": allowed.cancelling, "connectTimeoutMs": 300, "keepaliveMs": 4000,
                        "maxRetryAfterMs": 600, "mostTries": 4, "retryAfter": true, "secondCopies": false},
            "az": ZONES[rank % ZONES.len()], "balancers": nodes, "rank": rank,
            "discovery": if allowed.list_on_request { "subscribe" } else { "automatic" },
            "classes": classes,
            "contracts": [
                {"name": "open"},
                {"name": "capped", "refill": 3, "mostAtOnce": 12, "excessCost": 0.5,
                 "capRate": rules.ceiling_rate, "capDepth": rules.ceiling_depth, "tolerance": rules.ceiling_slack}
            ],
            "domain": {"unitsTop": 2, "usePeriodMs": 1000},
            "prices": {"crossZone": 0.02, "handshake": 0.01},
            "rules": {"coldFrom": rules.cold_from, "warmAfterMs": millis(rules.warm_after),
                      "fallMultiple": rules.fall_multiple, "overloadForMs": millis(rules.fall_window),
                      "drainGraceMs": 250}
        }
    })
}
