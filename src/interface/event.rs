//! The events that a gateway is fed.

use super::{EndpointId, LoadReport, Millis, Outcome, RequestId};
use std::sync::Arc;

/// Something that happened outside the gateway.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or a change of it, arrived.
    EndpointList {
        /// What the entries are.
        kind: EndpointListKind,
        /// The entries.
        endpoints: Arc<[EndpointUpdate]>,
    },
    /// A client's request was received.
    RequestReceived(IncomingRequest),
    /// An attempt finished.
    AttemptFinished(AttemptResult),
    /// A streamed response has begun: the attempt belongs to the client from now on.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Index of the attempt.
        attempt: u32,
    },
    /// The client disconnected; no response is owed any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer expired.
    TimerFired {
        /// The token it was set with.
        token: u64,
    },
}

/// What the entries of an [`Event::EndpointList`] are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// The complete list; an endpoint that it lacks has been removed.
    Snapshot,
    /// Changed entries only.
    Delta,
    /// The subscription failed; nothing new is known.
    SubscriptionFailed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its zone; entries of one zone best share the text.
    pub zone: Arc<str>,
    /// Its cell: endpoints that share idempotency keys.
    pub cell: u32,
    /// Its status.
    pub status: EndpointStatus,
    /// When its process last started; `None` for long ago.
    pub started_at: Option<Millis>,
}

/// Status of an endpoint on the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Takes requests.
    Ready,
    /// Finishes its work and must not be sent anything new.
    Draining,
    /// Removed from the list.
    #[default]
    Removed,
}

/// A request that a client sent to this gateway.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Its id.
    pub id: RequestId,
    /// Name of its class.
    pub class: Arc<str>,
    /// Name of the customer's plan.
    pub plan: Arc<str>,
    /// The customer.
    pub customer: Arc<str>,
    /// When the client gives up.
    pub deadline: Millis,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Number of gateways through which the customer's requests may come.
    pub gateway_spread: u32,
    /// Whether the client marks it as a retry of a request that was rejected or failed.
    pub is_retry: bool,
}

/// How an attempt finished.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// Index of the attempt, in the order in which they were forwarded, from 0.
    pub attempt: u32,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its outcome.
    pub outcome: Outcome,
    /// Time since it was forwarded.
    pub elapsed: Millis,
    /// Whether the request has its final answer.
    pub request_closed: bool,
    /// The customer's usage over all gateways in the last metered period, in percent of its rate.
    pub usage_percent: Option<f64>,
    /// Whether the response carried a usage report, usable or not.
    pub has_usage_report: bool,
    /// The endpoint's load report, as far as one was attached.
    pub load: LoadReport,
}
