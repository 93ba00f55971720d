//! The table of pending requests.
//!
//! Owns each request from its arrival until it is answered and none of its attempts is in flight, and is the
//! one place from which a final answer goes out. Attempts are started and finished elsewhere; here they are
//! looked up.

use super::attempts::{Attempt, AttemptId};
use super::message::UpstreamRequest;
use super::timers::{Timer, TimerKey, TimerQueue};
use crate::answer::Answer;
use crate::telemetry::metrics::METRICS;
use edge_gateway::{Millis, RequestClass, RequestId};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A request that is not answered, or that has an attempt in flight.
pub struct PendingRequest {
    /// The request as it is forwarded in each attempt.
    pub upstream_request: Rc<UpstreamRequest>,
    /// Its class, by the settings.
    pub class: Rc<RequestClass>,
    /// The client's deadline, less the margin for the answer to reach it.
    pub deadline: Millis,
    /// Where the answer goes; `None` once it is given, or the client has disconnected.
    pub answer_sender: Option<oneshot::Sender<Answer>>,
    /// Its attempts, by their number.
    pub attempts: Vec<Attempt>,
    /// The timer that answers it if nothing else does.
    pub deadline_guard: TimerKey,
}

impl PendingRequest {
    /// Whether the client waits for an answer.
    pub fn awaits_answer(&self) -> bool {
        self.answer_sender.is_some()
    }

    /// Whether nothing more is expected of it.
    fn is_finished(&self) -> bool {
        !self.awaits_answer() && self.attempts.iter().all(Attempt::has_finished)
    }
}

/// The pending requests by their ids.
#[derive(Default)]
pub struct RequestTable {
    pending: HashMap<RequestId, PendingRequest>,
}

impl RequestTable {
    /// Whether a request of this id is pending.
    pub fn contains(&self, id: &RequestId) -> bool {
        self.pending.contains_key(id)
    }

    /// Adds a request.
    pub fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.pending.insert(id, request);
    }

    /// A pending request.
    pub fn get(&self, id: &RequestId) -> Option<&PendingRequest> {
        self.pending.get(id)
    }

    /// A pending request, to be changed.
    pub fn get_mut(&mut self, id: &RequestId) -> Option<&mut PendingRequest> {
        self.pending.get_mut(id)
    }

    /// An attempt that has not finished.
    pub fn attempt_in_flight(&mut self, id: &AttemptId) -> Option<&mut Attempt> {
        let attempt = self.get_mut(&id.request)?.attempts.get_mut(id.index as usize)?;
        Some(attempt).filter(|attempt| !attempt.has_finished())
    }

    /// Number of requests whose clients wait for an answer.
    pub fn count_unanswered(&self) -> usize {
        self.pending.values().filter(|request| request.awaits_answer()).count()
    }

    /// Gives the final answer to a request. Returns whether it was still awaited: a request gets one answer.
    pub fn send_answer(&mut self, id: &RequestId, answer: Answer, timers: &mut TimerQueue) -> bool {
        let Some(request) = self.get_mut(id) else { return false };
        let Some(sender) = request.answer_sender.take() else { return false };
        timers.cancel(request.deadline_guard);
        METRICS.answered(&answer);
        tracing::debug!(request = %id, answer = answer.name(), attempts = request.attempts.len(), "answered");
        // Fails if the client has just disconnected, of which the gateway is notified by whoever noticed it.
        let _ = sender.send(answer);
        true
    }

    /// Lets no deadline guard of an unanswered request expire later than at a time.
    pub fn advance_deadline_guards(&mut self, latest: Millis, timers: &mut TimerQueue) {
        for (id, request) in &mut self.pending {
            if request.awaits_answer() && request.deadline_guard.expires_after(latest) {
                timers.cancel(request.deadline_guard);
                request.deadline_guard = timers.set(latest, Timer::DeadlineGuard(id.clone()));
            }
        }
    }

    /// Removes a request that is answered and has no attempt in flight.
    pub fn remove_if_finished(&mut self, id: &RequestId, timers: &mut TimerQueue) {
        if self.get(id).is_some_and(PendingRequest::is_finished) {
            if let Some(request) = self.pending.remove(id) {
                timers.cancel(request.deadline_guard);
            }
        }
    }
}
