//! The settings of a gateway: the fleet, request classes, customer plans, connections and slow start.
//!
//! [`SettingsDocument`](crate::SettingsDocument) reads them from a configuration, and
//! [`Gateway::new`](crate::Gateway::new) validates them.

pub(super) mod validation;

use super::Millis;

/// The settings of one gateway.
///
/// The default is a single gateway without classes and plans, with every optional feature disabled and all
/// costs and limits zero or absent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of gateways in front of the endpoints.
    pub gateways: u32,
    /// Index of this gateway in the fleet, from 0.
    pub rank: u32,
    /// Zone of this gateway, with which the zones of endpoints are compared.
    pub zone: String,
    /// The request classes; at least one.
    pub classes: Vec<RequestClass>,
    /// The customer plans; at least one.
    pub plans: Vec<Plan>,
    /// Maximum number of attempts of a request; at least 1.
    pub max_attempts: u32,
    /// Whether requests may be hedged: two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// Whether attempts in flight may be cancelled.
    pub cancellation: bool,
    /// Whether updates of the endpoint list are sent only to subscribers.
    pub requires_subscription: bool,
    /// Whether clients mark the requests that are retries.
    pub clients_mark_retries: bool,
    /// Longest Retry-After that clients honour; `None` if none may be sent.
    pub max_retry_after: Option<Millis>,
    /// Period over which usage reports sum up a customer's usage; `None` if there are no usage reports.
    pub usage_report_period: Option<Millis>,
    /// Cost of an attempt at an endpoint of another zone, as a fraction of the request's priority weight.
    pub cross_zone_cost: f64,
    /// Cost of a new connection, as a fraction of the request's priority weight.
    pub handshake_cost: f64,
    /// Timeout for establishing a connection. The request may be written to the endpoint this long after
    /// [`Action::Forward`](crate::Action::Forward).
    pub connect_timeout: Millis,
    /// Idle time after which endpoints close a connection; `None` if unknown.
    pub idle_timeout: Option<Millis>,
    /// Length of a connection's quarantine: the time after a response before it can be reused. 0 for none.
    pub connection_quarantine: Millis,
    /// Maximum number of connections to endpoints that are kept open; `None` for no limit.
    pub max_connections: Option<u32>,
    /// Maximum number of customers of which exact records are kept; `None` for no limit. If it is reached,
    /// and all records are needed to keep ceilings, requests of further customers that need one are rejected.
    pub max_tracked_customers: Option<usize>,
    /// Largest error, in either direction, of the start times of endpoints, which come from wall clocks that
    /// may step.
    pub max_clock_error: Millis,
    /// Fraction of its full capacity that an endpoint has immediately after its start.
    pub slow_start_initial_capacity: f64,
    /// Time from the start of an endpoint until it has its full capacity.
    pub slow_start_duration: Millis,
    /// Load that makes an endpoint in slow start fail if it lasts for `overload_window`, as a multiple of the
    /// endpoint's current capacity.
    pub overload_threshold: f64,
    /// How long a load of `overload_threshold` must last to make an endpoint in slow start fail.
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
            max_tracked_customers: None,
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
    /// The request may be executed any number of times.
    Idempotent,
    /// The request carries an idempotency key: within the idempotency window, endpoints of one key scope drop
    /// repeated executions.
    WithKey(KeyScope),
    /// The request must never be executed twice.
    NotIdempotent,
}

/// Which endpoints share idempotency keys, and so recognize each other's executions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints share the keys.
    All,
    /// Endpoints of the same zone share the keys.
    Zone,
    /// Endpoints of the same cell share the keys. A cell is a group of endpoints; the endpoint list says
    /// which cell an endpoint is in.
    Cell,
}

/// A kind of requests with the same deadline, priority weight and idempotency.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The name by which requests refer to the class.
    pub name: String,
    /// Time from the arrival of a request within which a response earns the full priority weight.
    pub latency_objective: Millis,
    /// Time after which a client gives up, including its own retries.
    pub deadline: Millis,
    /// Value of a response in time, relative to other classes. Requests of low value are rejected first.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a response after the latency objective earns.
    pub late_weight: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// How long endpoints remember an idempotency key, counted from the first attempt that may have been
    /// executed.
    pub idempotency_window: Millis,
}

/// A customer plan: quota and ceiling of each of its customers, at all gateways together. The default has
/// neither.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The name by which requests refer to the plan.
    pub name: String,
    /// Refill rate of the quota's token bucket, in units per second; 0 for no quota.
    pub rate: f64,
    /// Capacity of the quota's token bucket, in units.
    pub burst: f64,
    /// Maximum number of attempts in flight of one customer; 0 for no limit.
    pub max_concurrency: u32,
    /// Factor on the priority weights of the customer's requests; no decision uses it.
    pub weight_factor: f64,
    /// Fraction of its priority weight that a request over quota earns when it is served.
    pub over_quota_weight: f64,
    /// Cost of forwarding a request over quota, as a fraction of its priority weight.
    pub over_quota_cost: f64,
    /// Refill rate of the ceiling's token bucket, in units per second; 0 for no ceiling. Unlike the quota,
    /// the ceiling must not be exceeded.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's token bucket, in units.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's token bucket may be overdrawn; no decision uses it.
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
