//! The state of a request and its attempts.

use crate::attempt_policy::AttemptState;
use crate::interface::{EndpointId, IncomingRequest, Millis};
use std::sync::Arc;

/// A request that has been admitted and forwarded at least once.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Index of the request's class in the settings.
    pub(crate) class_index: usize,
    /// Index of the customer's plan in the settings.
    pub(crate) plan_index: usize,
    /// The request as it was received.
    pub(crate) incoming: IncomingRequest,
    /// End of the latency objective: a later response does not earn the full priority weight.
    pub(crate) latency_objective_at: Millis,
    /// All attempts, in the order in which they were forwarded.
    pub(crate) attempts: Vec<Attempt>,
    /// Whether the request has been answered or its client has disconnected, so that no attempt may start.
    pub(crate) closed: bool,
    /// Whether a response is being streamed to the client, so that no further attempt is made.
    pub(crate) streaming: bool,
}

impl Request {
    /// Number of attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.state == AttemptState::InFlight).count()
    }

    /// Whether certainly none of the attempts was executed; also true if there is none.
    pub(crate) fn not_executed(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.state == AttemptState::NotExecuted)
    }

    /// The first attempt that may have been executed, or may still be.
    pub(crate) fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.state != AttemptState::NotExecuted)
    }

    /// Whether any attempt was forwarded to this endpoint.
    pub(crate) fn was_sent_to(&self, endpoint: EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == endpoint)
    }
}

/// Where an endpoint is, which decides whether it shares idempotency keys with others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EndpointLocation {
    /// Zone of the endpoint.
    pub(crate) zone: Arc<str>,
    /// Cell of the endpoint.
    pub(crate) cell: u32,
}

/// An attempt of a request: the request as forwarded to one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// The endpoint that was selected for the attempt.
    pub(crate) endpoint: EndpointId,
    /// Where the endpoint's process was then; another process may have replaced it since. `None` if the
    /// endpoint was not known.
    pub(crate) location: Option<EndpointLocation>,
    /// When the attempt was forwarded.
    pub(crate) forwarded_at: Millis,
    /// Whether it is in flight, and whether it may have been executed.
    pub(crate) state: AttemptState,
    /// Expected number of other requests in flight at the endpoint when the attempt was forwarded.
    pub(crate) expected_concurrency: f64,
    /// When the request may be hedged if the attempt is still in flight then; `None` if it may not.
    pub(crate) hedge_at: Option<Millis>,
}
