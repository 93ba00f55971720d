//! The record of a request while it is open, and of its attempts.

use crate::attempt_policy::AttemptState;
use crate::interface::{EndpointId, IncomingRequest, Millis};

/// A request that has been admitted and forwarded at least once.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Index of its class.
    pub(crate) class: usize,
    /// Index of its customer's plan.
    pub(crate) plan: usize,
    /// The request as it was received.
    pub(crate) incoming: IncomingRequest,
    /// When a response stops earning the full priority weight.
    pub(crate) latency_objective_at: Millis,
    /// All attempts, in the order in which they were forwarded.
    pub(crate) attempts: Vec<Attempt>,
    /// Whether it has its final answer.
    pub(crate) closed: bool,
    /// Whether its response is being streamed to the client.
    pub(crate) streaming: bool,
}

impl Request {
    /// Number of attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.state == AttemptState::InFlight).count()
    }

    /// Whether no attempt can have been executed.
    pub(crate) fn not_executed(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.state == AttemptState::NotExecuted)
    }

    /// The first attempt that may have been executed, or may yet be.
    pub(crate) fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.state != AttemptState::NotExecuted)
    }

    /// Whether an attempt was sent to an endpoint.
    pub(crate) fn was_sent_to(&self, endpoint: EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == endpoint)
    }
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Where it was sent.
    pub(crate) endpoint: EndpointId,
    /// When it was sent.
    pub(crate) sent_at: Millis,
    /// Whether it is in flight, and whether it may have been executed.
    pub(crate) state: AttemptState,
    /// Requests that were expected in flight at the endpoint when it was sent.
    pub(crate) expected_concurrency: f64,
}
