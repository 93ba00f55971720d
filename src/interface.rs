//! The types that a [`Gateway`](crate::Gateway) shares with its caller: settings, events, actions and the
//! outcomes of attempts.
//!
//! Instants are on the caller's clock, whose zero may be any instant. Nothing here reads a clock or a socket.

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

/// An instant on the caller's clock, or a duration, in milliseconds.
pub type Millis = f64;
/// Identifies an endpoint; chosen by the caller, and unchanged when the endpoint's process restarts.
pub type EndpointId = u32;
/// Identifies a client's request at this gateway; chosen by the caller, and never reused.
pub type RequestId = Arc<str>;
