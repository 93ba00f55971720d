//! The table of pending requests.
//!
//! It keeps a request until the request is closed (answered, or its client has disconnected) and has no
//! attempt in flight. All final answers are sent from here. [`super::attempts`] starts and finishes attempts.

use super::attempts::{Attempt, AttemptId};
use super::executed_requests::ExecutedRequests;
use super::message::UpstreamRequest;
use super::timers::{Timer, TimerKey, TimerQueue};
use crate::answer::Answer;
use crate::telemetry::metrics::METRICS;
use edge_gateway::{Idempotency, Millis, RequestClass, RequestId};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A request that is not closed yet or has an attempt in flight.
pub struct PendingRequest {
    /// The parts of the request that are forwarded in each attempt.
    pub upstream_request: Rc<UpstreamRequest>,
    /// The settings of the request's class, which decide whether further attempts may start.
    pub class: Rc<RequestClass>,
    /// The deadline of the gateway and of all attempts: before the client's, so that the answer arrives.
    pub deadline: Millis,
    /// Sends the answer to the client's connection; `None` once it is sent or the client has disconnected.
    pub answer_sender: Option<oneshot::Sender<Answer>>,
    /// All attempts so far, by [`AttemptId::index`].
    pub attempts: Vec<Attempt>,
    /// The timer that answers the request shortly before the client's deadline if nothing else has.
    pub deadline_guard: TimerKey,
}

impl PendingRequest {
    /// Whether the request is open: no answer was sent, and the client has not disconnected.
    pub fn awaits_answer(&self) -> bool {
        self.answer_sender.is_some()
    }

    /// Whether the request is closed and has no attempt in flight.
    fn is_finished(&self) -> bool {
        !self.awaits_answer() && self.attempts.iter().all(Attempt::has_finished)
    }

    /// Whether a request with the same id must not be executed, since this one may have been.
    fn forbids_repetition(&self) -> bool {
        self.class.idempotency == Idempotency::NotIdempotent
            && self.attempts.iter().any(Attempt::may_have_been_executed)
    }
}

/// The reason why a request is not accepted: another one with the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DuplicateRequest {
    /// The other one is pending. It would be wrong to answer both from one execution, and to execute both.
    #[error("a request of this id is open")]
    Pending,
    /// The other one may have been executed, and must not be executed again.
    #[error("a request of this id may have been executed")]
    MayHaveBeenExecuted,
}

/// The pending requests by id.
#[derive(Default)]
pub struct RequestTable {
    pending: HashMap<RequestId, PendingRequest>,
    executed: ExecutedRequests,
}

impl RequestTable {
    /// Checks that a request with this id can be accepted.
    ///
    /// # Errors
    /// If another one with this id is pending, or may have been executed and must not be executed again.
    pub fn check_id(&mut self, id: &RequestId, now: Millis) -> Result<(), DuplicateRequest> {
        if self.pending.contains_key(id) {
            Err(DuplicateRequest::Pending)
        } else if self.executed.contains(id, now) {
            Err(DuplicateRequest::MayHaveBeenExecuted)
        } else {
            Ok(())
        }
    }

    /// Adds a request. Its id must have been [checked](Self::check_id).
    pub fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.pending.insert(id, request);
    }

    /// Returns a pending request; `None` if there is none with this id.
    pub fn get(&self, id: &RequestId) -> Option<&PendingRequest> {
        self.pending.get(id)
    }

    /// Returns a pending request to modify; `None` if there is none with this id.
    pub fn get_mut(&mut self, id: &RequestId) -> Option<&mut PendingRequest> {
        self.pending.get_mut(id)
    }

    /// Returns an attempt that is in flight; `None` if it has finished or its request is not pending.
    pub fn attempt_in_flight(&mut self, id: &AttemptId) -> Option<&mut Attempt> {
        let attempt = self.get_mut(&id.request)?.attempts.get_mut(id.index as usize)?;
        Some(attempt).filter(|attempt| !attempt.has_finished())
    }

    /// Number of requests whose clients are waiting for an answer.
    pub fn count_unanswered(&self) -> usize {
        self.pending.values().filter(|request| request.awaits_answer()).count()
    }

    /// Sends the final answer to a request. Does nothing and returns `false` if the request is already
    /// closed, so that each request gets only one answer.
    pub fn send_answer(&mut self, id: &RequestId, answer: Answer, timers: &mut TimerQueue) -> bool {
        let Some(request) = self.get_mut(id) else { return false };
        let Some(sender) = request.answer_sender.take() else { return false };
        timers.cancel(request.deadline_guard);
        METRICS.record_answer(&answer);
        tracing::debug!(request = %id, answer = answer.name(), attempts = request.attempts.len(), "answered");
        // Fails if the client has just disconnected. The gateway treats the request as closed in any case.
        let _ = sender.send(answer);
        true
    }

    /// Lets the deadline guards of all unanswered requests expire at `latest`, unless they expire earlier.
    pub fn advance_deadline_guards(&mut self, latest: Millis, timers: &mut TimerQueue) {
        for (id, request) in &mut self.pending {
            if request.awaits_answer() && request.deadline_guard.expires_after(latest) {
                timers.cancel(request.deadline_guard);
                request.deadline_guard = timers.set(latest, Timer::DeadlineGuard(id.clone()));
            }
        }
    }

    /// Removes a request if it is closed and has no attempt in flight. Its id is kept for as long as clients
    /// of its class may try again, if it must not be executed again.
    pub fn remove_if_finished(&mut self, id: &RequestId, timers: &mut TimerQueue, now: Millis) {
        if !self.get(id).is_some_and(PendingRequest::is_finished) {
            return;
        }
        let Some(request) = self.pending.remove(id) else { return };
        timers.cancel(request.deadline_guard);
        if request.forbids_repetition() {
            self.executed.insert(id.clone(), now + request.class.deadline, now);
        }
    }
}
