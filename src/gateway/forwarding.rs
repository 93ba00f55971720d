//! Forwarding of an attempt, and the decision how long to wait for its response.

use super::{Gateway, RESPONSE_DELIVERY_MARGIN};
use crate::attempt_policy::AttemptState;
use crate::interface::{Action, Idempotency, Millis, RequestId};
use crate::load_balancing::Candidate;
use crate::request::{Attempt, Request};

/// An attempt is overdue after this multiple of its expected latency, but never earlier than
/// [`MIN_OVERDUE_OBJECTIVE_FRACTION`] allows. If a retry is possible, it is hedged, or timed out and retried.
const OVERDUE_LATENCY_FACTOR: f64 = 5.0;
/// An attempt is not overdue until this fraction of the time from its start to its latency objective is over.
const MIN_OVERDUE_OBJECTIVE_FRACTION: f64 = 0.6;

/// When an attempt times out, and when it is hedged.
struct AttemptSchedule {
    timeout_at: Millis,
    /// When a hedged request may be sent, if the attempt is still in flight; `None` if it is never hedged.
    hedge_at: Option<Millis>,
}

impl Gateway {
    /// Starts an attempt of a request at the selected endpoint.
    pub(super) fn forward(&mut self, id: &RequestId, candidate: Candidate, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let schedule = self.schedule_attempt(request, &candidate);
        let attempt = request.attempts.len() as u32;
        let location = self.load_balancer.record_attempt(&candidate, id, attempt, self.now);
        self.admission.record_attempt(&request.incoming, request.plan_index);
        if let Some(request) = self.requests.get_mut(id) {
            request.attempts.push(Attempt {
                endpoint: candidate.endpoint,
                location,
                forwarded_at: self.now,
                state: AttemptState::InFlight,
                expected_concurrency: candidate.expected_concurrency,
                hedge_at: schedule.hedge_at,
            });
        }
        if let Some(at) = schedule.hedge_at {
            self.hedge_schedule.insert(at, id);
            self.set_hedge_timer(actions);
        }
        let (request, endpoint) = (id.clone(), candidate.endpoint);
        actions.push(Action::Forward { request, endpoint, timeout_at: schedule.timeout_at });
    }

    /// Returns the time from which a response earns nothing: the deadline. If late responses of the class
    /// have no weight, it is not later than the latency objective less a margin.
    pub(super) fn useful_until(&self, request: &Request) -> Millis {
        if self.settings.classes[request.class_index].late_weight > 0.0 {
            request.incoming.deadline
        } else {
            request.incoming.deadline.min(request.latency_objective_at - RESPONSE_DELIVERY_MARGIN)
        }
    }

    /// Decides when a new attempt times out and when it is hedged. If the request may be retried, an overdue
    /// attempt is hedged. Where hedging is disabled, it times out instead, and a retry replaces it.
    fn schedule_attempt(&self, request: &Request, candidate: &Candidate) -> AttemptSchedule {
        let useful_until = self.useful_until(request);
        let time_to_objective = request.latency_objective_at - self.now;
        let expected_latency = candidate.latency.total;
        let overdue_after = (OVERDUE_LATENCY_FACTOR * expected_latency)
            .max(MIN_OVERDUE_OBJECTIVE_FRACTION * time_to_objective);
        let overdue_at = self.now + overdue_after;
        let may_retry = self.settings.classes[request.class_index].idempotency != Idempotency::NotIdempotent
            && (request.attempts.len() as u32 + 1) < self.settings.max_attempts
            && overdue_after + expected_latency < time_to_objective;
        if !may_retry {
            AttemptSchedule { timeout_at: useful_until, hedge_at: None }
        } else if self.settings.hedging {
            AttemptSchedule { timeout_at: useful_until, hedge_at: Some(overdue_at) }
        } else {
            AttemptSchedule { timeout_at: useful_until.min(overdue_at), hedge_at: None }
        }
    }
}
