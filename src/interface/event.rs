//! The events that the caller of a gateway reports to it.

use super::{EndpointId, LoadReport, Millis, Outcome, RequestId};
use std::sync::Arc;

/// An event that [`Gateway::handle`](crate::Gateway::handle) processes.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list was received, or the subscription to it failed.
    EndpointList {
        /// Whether the entries are the complete list or a change to it.
        kind: EndpointListKind,
        /// The entries of the list or of the change; ignored if the subscription failed.
        endpoints: Arc<[EndpointUpdate]>,
    },
    /// A client sent a request; reported once for each request, before any other event that names it.
    RequestReceived(IncomingRequest),
    /// An attempt succeeded, failed, timed out or was cancelled; reported once for each attempt.
    AttemptFinished(AttemptResult),
    /// A response is being streamed to the client: its request is no longer retried, hedged or cancelled.
    StreamStarted {
        /// The request that the response answers.
        request: RequestId,
        /// Index of the attempt whose response is streamed, as in [`AttemptResult`].
        attempt: u32,
    },
    /// The client of a request disconnected and needs no response any more.
    ClientDisconnected {
        /// The request that the client was waiting for.
        request: RequestId,
    },
    /// A timer that was set by [`Action::SetTimer`](crate::Action::SetTimer) fired.
    TimerFired {
        /// The gateway's name for the timer, as in the action.
        token: u64,
    },
}

/// How the entries of an [`Event::EndpointList`] relate to the known endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// The entries are the complete list: an endpoint that is not on it has been removed.
    Snapshot,
    /// The entries are those that changed; all other endpoints stay as they are.
    Delta,
    /// No list: the subscription failed, and the known endpoints stay as they are.
    SubscriptionFailed,
}

/// An entry of an [`Event::EndpointList`].
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// The endpoint that the entry describes.
    pub endpoint: EndpointId,
    /// Zone of the endpoint. Entries of one zone should share one `Arc`, which saves memory.
    pub zone: Arc<str>,
    /// Cell of the endpoint; see [`KeyScope::Cell`](crate::KeyScope::Cell).
    pub cell: u32,
    /// Whether the endpoint takes requests.
    pub status: EndpointStatus,
    /// When the endpoint's process last started; `None` if that was long ago.
    pub started_at: Option<Millis>,
}

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The endpoint takes requests.
    Ready,
    /// The endpoint finishes its requests in flight and must not be sent new ones.
    Draining,
    /// The endpoint was removed from the list and must not be used.
    #[default]
    Removed,
}

/// A request as a client sent it to this gateway.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Identifies the request in later events and actions.
    pub id: RequestId,
    /// Name of the request's class, as in [`RequestClass`](crate::RequestClass).
    pub class: Arc<str>,
    /// Name of the customer's plan, as in [`Plan`](crate::Plan).
    pub plan: Arc<str>,
    /// Name of the customer to whose quota the request counts.
    pub customer: Arc<str>,
    /// When the client stops waiting for the response.
    pub deadline: Millis,
    /// Units of quota that the request uses.
    pub units: f64,
    /// Number of gateways among which the customer's requests are spread. Each enforces the customer's limits
    /// divided by this number; usage reports show its actual part of the quota later.
    pub gateway_spread: u32,
    /// Whether the client marked the request as a retry of one that was rejected or failed.
    pub is_retry: bool,
}

/// The result of a finished attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Index of the attempt among those of its request, in the order in which they were forwarded, from 0.
    pub attempt: u32,
    /// The endpoint that the attempt was forwarded to.
    pub endpoint: EndpointId,
    /// Whether the attempt succeeded, or how it failed.
    pub outcome: Outcome,
    /// Time since the attempt was forwarded.
    pub elapsed: Millis,
    /// Whether the request needs no further attempt: its client has the final answer or has disconnected.
    pub request_closed: bool,
    /// The usage report of the response: the customer's usage at all gateways in the last
    /// [period](crate::Settings::usage_report_period), in percent of the rate of its plan; `None` if there is
    /// no usable report.
    pub usage_percent: Option<f64>,
    /// Whether the response carried a usage report, usable or not.
    pub has_usage_report: bool,
    /// The load report that the endpoint attached; empty if it attached none.
    pub load: LoadReport,
}
