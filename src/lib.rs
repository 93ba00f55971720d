//! The decisions of an edge gateway that holds customers to their quotas in front of a shared fleet of
//! endpoints.
//!
//! The library opens no connection and reads no clock: the caller feeds [`Event`]s to a [`Gateway`] and
//! carries out the [`Action`]s that it returns. The same decisions run in the node (`edge-gateway`) and on
//! the simulator's wire (`simulator-adapter`).

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
