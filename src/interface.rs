//! The interface of a [`Gateway`](crate::Gateway): the settings it is built with, the events it is fed, the
//! actions it returns and the outcomes of attempts.
//!
//! Times are milliseconds on the caller's clock, which may start anywhere. Nothing here reads a clock or a
//! socket.

mod action;
mod event;
mod outcome;
mod settings;

pub use action::{Action, RejectReason, StatusSummary};
pub use event::{AttemptResult, EndpointListKind, EndpointStatus, EndpointUpdate, Event, IncomingRequest};
pub use outcome::{LoadReport, Outcome};
pub(crate) use settings::validation::validate;
pub use settings::validation::SettingsError;
pub use settings::{Idempotency, KeyScope, Plan, RequestClass, Settings};

use std::sync::Arc;

/// A point on the caller's clock, or a length of time, in milliseconds.
pub type Millis = f64;
/// Identifies an endpoint (a booking server); stays the same when its process restarts.
pub type EndpointId = u32;
/// Identifies one request of a client at this gateway. Never reused.
pub type RequestId = Arc<str>;
