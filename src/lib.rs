//! The decision logic of an edge gateway that enforces customer quotas in front of a shared fleet of
//! endpoints.
//!
//! The library does no I/O and reads no clock: the caller passes [`Event`]s to a [`Gateway`] and executes the
//! [`Action`]s that it returns. Both the node (`edge-gateway`) and the adapter to the simulator
//! (`simulator-adapter`) are built on it.

mod admission;
pub mod attempt_policy;
mod configuration;
mod count_min_sketch;
mod endpoint_list;
mod gateway;
mod interface;
mod load_balancing;
mod request;
mod time;

pub use configuration::{
    ConfigurationError, ConnectionSettings, PollSettings, RequestLimits, SettingsDocument,
};
pub use count_min_sketch::CountMinSketch;
pub use endpoint_list::{
    EndpointList, EndpointListError, EndpointListParser, ListedEndpoint, ListedStatus, PollBackoff,
    DISCOVERY_RESPONSE_TIMEOUT, MAX_POLL_DELAY, MAX_SHORT_JITTER, NOTIFICATION_DEADLINE,
};
pub use gateway::Gateway;
pub use interface::{
    Action, AttemptResult, EndpointId, EndpointListKind, EndpointStatus, EndpointUpdate, Event, Idempotency,
    IncomingRequest, KeyScope, LoadReport, Millis, Outcome, Plan, RejectReason, RequestClass, RequestId,
    Settings, SettingsError, StatusSummary,
};
pub use time::duration_from_millis;
