//! Completion of an attempt or disconnection of a client: the request is retried, answered or closed.

use super::{Gateway, RESPONSE_DELIVERY_MARGIN};
use crate::attempt_policy::{self, AttemptState};
use crate::interface::{Action, AttemptResult, RejectReason, RequestId};
use crate::load_balancing::{Candidate, FinishedAttempt};
use crate::request::Request;

impl Gateway {
    /// Records the result of an attempt, and retries, answers or closes its request.
    pub(super) fn finish_attempt(&mut self, result: &AttemptResult, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&result.request) else { return };
        let Some(attempt) = request.attempts.get_mut(result.attempt as usize) else { return };
        if attempt.state != AttemptState::InFlight {
            return;
        }
        let not_executed = result.outcome.not_executed();
        attempt.state = if not_executed { AttemptState::NotExecuted } else { AttemptState::MayHaveExecuted };
        let (class_index, units) = (request.class_index, request.incoming.units);
        self.load_balancer.record_result(&FinishedAttempt { class_index, units, attempt, result }, self.now);
        request.closed |= result.request_closed;
        self.admission.record_result(&request.incoming, request.plan_index, result, self.now, &mut self.rng);
        self.retry_or_answer(&result.request, actions);
    }

    /// Closes a request that has its final answer or whose client has disconnected, and cancels its attempts
    /// in flight if the settings allow it and no response is being streamed.
    pub(super) fn close(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.closed = true;
        if self.settings.cancellation && !request.streaming {
            for (index, attempt) in request.attempts.iter().enumerate() {
                if attempt.state == AttemptState::InFlight {
                    actions.push(Action::CancelAttempt { request: id.clone(), attempt: index as u32 });
                }
            }
        }
        if request.attempts_in_flight() == 0 {
            self.remove_request(id);
        }
    }

    /// Removes a request that has ended, with all that is scheduled for it.
    fn remove_request(&mut self, id: &RequestId) {
        let Some(request) = self.requests.remove(id) else { return };
        for hedge_at in request.attempts.iter().filter_map(|attempt| attempt.hedge_at) {
            self.hedge_schedule.remove(hedge_at, id);
        }
    }

    /// Retries a request that has no attempt in flight, or answers it if it cannot be retried.
    fn retry_or_answer(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if request.closed {
            return self.close(id, actions);
        }
        if request.attempts_in_flight() > 0 {
            return;
        }
        let request = request.clone();
        if let Some(candidate) = self.select_for_retry(&request) {
            // If no attempt can have been executed, a retry adds no load and is not charged to the budget.
            if !request.not_executed() {
                self.retry_budget.withdraw();
            }
            return self.forward(id, candidate, actions);
        }
        self.answer_failed(id, &request, actions);
        self.remove_request(id);
    }

    /// Selects the endpoint for a retry; `None` if no retry is allowed, or none is expected to be in time.
    fn select_for_retry(&mut self, request: &Request) -> Option<Candidate> {
        let useful_until = self.useful_until(request);
        let has_attempts_left = (request.attempts.len() as u32) < self.settings.max_attempts;
        let in_budget = request.not_executed() || self.retry_budget.allows_retry();
        let in_time = self.now + RESPONSE_DELIVERY_MARGIN < useful_until;
        if !has_attempts_left || request.streaming || !in_time || !in_budget {
            return None;
        }
        self.select_endpoint(request).filter(|candidate| self.now + candidate.latency.total < useful_until)
    }

    /// Answers a request whose attempts all failed: with a rejection if the client may safely retry the
    /// request, otherwise with a failure.
    fn answer_failed(&mut self, id: &RequestId, request: &Request, actions: &mut Vec<Action>) {
        let idempotency = self.settings.classes[request.class_index].idempotency;
        if attempt_policy::may_reject(idempotency, request.not_executed()) {
            self.reject(id, request, RejectReason::AttemptsFailed, actions);
        } else {
            actions.push(Action::Fail { request: id.clone() });
        }
    }
}
