//! The settings that a gateway is built with: the fleet, request classes, customer plans, and the rules on
//! connections and slow start.
//!
//! They are read from a configuration by [`SettingsDocument`](crate::SettingsDocument) and checked by
//! [`Gateway::new`](crate::Gateway::new).

pub(super) mod validation;

use super::Millis;

/// The settings of one gateway. The default describes a single gateway without classes or plans, to which
/// nothing is allowed and which has no costs and no rules.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of gateways in front of the endpoints.
    pub gateways: u32,
    /// Rank of this gateway among them, from 0.
    pub rank: u32,
    /// Zone of this gateway.
    pub zone: String,
    /// Classes of requests.
    pub classes: Vec<RequestClass>,
    /// Plans of customers.
    pub plans: Vec<Plan>,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// Whether an attempt may be cancelled.
    pub cancellation: bool,
    /// Whether changes of the endpoint list arrive only after a subscription.
    pub requires_subscription: bool,
    /// Whether clients mark their retries.
    pub clients_mark_retries: bool,
    /// Longest Retry-After that clients honour; `None` where none may be sent.
    pub max_retry_after: Option<Millis>,
    /// Period over which the meter adds up a customer's usage; `None` without a meter.
    pub usage_report_period: Option<Millis>,
    /// Cost of each attempt that crosses zones, as a fraction of a request's priority weight.
    pub cross_zone_cost: f64,
    /// Cost of each new connection, as a fraction of a request's priority weight.
    pub handshake_cost: f64,
    /// Longest time in which a connection is established: an attempt may start this much later than it is
    /// forwarded.
    pub connect_timeout: Millis,
    /// Endpoints close a connection that has been idle for this long; `None` where that is not known.
    pub idle_timeout: Option<Millis>,
    /// Time after a response in which a connection takes no other request; 0 where it takes one at once.
    pub connection_quarantine: Millis,
    /// Most connections to endpoints that are kept at once; `None` for no such limit.
    pub max_connections: Option<u32>,
    /// Largest error, either way, of the start times that endpoints report: they are read from wall clocks,
    /// which may step.
    pub max_clock_error: Millis,
    /// Fraction of its capacity that an endpoint has when it has just started.
    pub slow_start_initial_capacity: f64,
    /// Time after its start by which an endpoint has its full capacity.
    pub slow_start_duration: Millis,
    /// An endpoint in slow start fails when it is sent this many times its present capacity ...
    pub overload_threshold: f64,
    /// ... for this long.
    pub overload_window: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            gateways: 1,
            rank: 0,
            zone: String::new(),
            classes: Vec::new(),
            plans: Vec::new(),
            max_attempts: 1,
            hedging: false,
            cancellation: false,
            requires_subscription: false,
            clients_mark_retries: false,
            max_retry_after: None,
            usage_report_period: None,
            cross_zone_cost: 0.0,
            handshake_cost: 0.0,
            connect_timeout: 0.0,
            idle_timeout: None,
            connection_quarantine: 0.0,
            max_connections: None,
            max_clock_error: 0.0,
            slow_start_initial_capacity: 0.0,
            slow_start_duration: 0.0,
            overload_threshold: 0.0,
            overload_window: 0.0,
        }
    }
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May be executed any number of times.
    Idempotent,
    /// Carries an idempotency key: endpoints of one scope drop repeated executions, for a time.
    WithKey(KeyScope),
    /// Must never be executed twice.
    NotIdempotent,
}

/// The endpoints that share idempotency keys, and so drop each other's repeated executions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// A response within this time earns the full priority weight.
    pub latency_objective: Millis,
    /// Time after which a client gives up, over all its tries.
    pub deadline: Millis,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a response after the latency objective still earns.
    pub late_weight: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// How long endpoints remember an idempotency key, from the first attempt that may have been executed.
    pub idempotency_window: Millis,
}

/// A plan, whose quotas hold for each of its customers over all gateways together. The default has none.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Quota in units a second; 0 for no quota.
    pub rate: f64,
    /// Capacity of the quota's token bucket, in units.
    pub burst: f64,
    /// Most attempts in flight at once; 0 for no limit.
    pub max_concurrency: u32,
    /// Factor on the priority weight of its requests.
    pub weight_factor: f64,
    /// Fraction of its priority weight that a request over quota earns.
    pub over_quota_weight: f64,
    /// Fraction of its priority weight that forwarding a request over quota costs.
    pub over_quota_cost: f64,
    /// Hard ceiling in units a second; 0 for none.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's token bucket, in units.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's token bucket may be overdrawn.
    pub ceiling_tolerance: f64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            name: String::new(),
            rate: 0.0,
            burst: 0.0,
            max_concurrency: 0,
            weight_factor: 1.0,
            over_quota_weight: 0.0,
            over_quota_cost: 0.0,
            ceiling_rate: 0.0,
            ceiling_burst: 0.0,
            ceiling_tolerance: 0.0,
        }
    }
}
