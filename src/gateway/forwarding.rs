//! Forwards a request in a new attempt, and decides how long to wait for it.

use super::{Gateway, RESPONSE_DELIVERY_MARGIN, WAKE_UP_TOKEN};
use crate::attempt_policy::AttemptState;
use crate::interface::{Action, Idempotency, Millis, RequestId};
use crate::load_balancing::Candidate;
use crate::request::{Attempt, Request};

/// An attempt is overdue after this many times its expected latency ...
const OVERDUE_LATENCY_FACTOR: f64 = 5.0;
/// ... but not before this fraction of what is left of the latency objective.
const MIN_OVERDUE_OBJECTIVE_FRACTION: f64 = 0.6;

/// How long to wait for an attempt.
struct AttemptSchedule {
    /// When it is given up.
    timeout_at: Millis,
    /// When it gets a hedged request beside it.
    hedge_at: Option<Millis>,
}

impl Gateway {
    /// Forwards a request to an endpoint.
    pub(super) fn forward(&mut self, id: &RequestId, candidate: Candidate, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let schedule = self.schedule_attempt(request, &candidate);
        let attempt = request.attempts.len() as u32;
        self.load_balancer.record_attempt(&candidate, id, attempt, self.now);
        self.admission.record_attempt(&request.incoming, request.plan);
        if let Some(request) = self.requests.get_mut(id) {
            request.attempts.push(Attempt {
                endpoint: candidate.endpoint,
                sent_at: self.now,
                state: AttemptState::InFlight,
                expected_concurrency: candidate.concurrency,
            });
        }
        if let Some(at) = schedule.hedge_at {
            self.hedge_schedule.insert(at, id);
            actions.push(Action::SetTimer { token: WAKE_UP_TOKEN, at });
        }
        let (request, endpoint) = (id.clone(), candidate.endpoint);
        actions.push(Action::Forward { request, endpoint, timeout_at: schedule.timeout_at });
    }

    /// When a response stops earning anything.
    pub(super) fn useful_until(&self, request: &Request) -> Millis {
        if self.settings.classes[request.class].late_weight > 0.0 {
            request.incoming.deadline
        } else {
            request.incoming.deadline.min(request.latency_objective_at - RESPONSE_DELIVERY_MARGIN)
        }
    }

    /// An overdue attempt gets a hedged request beside it or, where hedging is not allowed, is replaced by a
    /// retry.
    fn schedule_attempt(&self, request: &Request, candidate: &Candidate) -> AttemptSchedule {
        let useful_until = self.useful_until(request);
        let remaining = request.latency_objective_at - self.now;
        let expected = candidate.latency.total;
        let overdue_after =
            (OVERDUE_LATENCY_FACTOR * expected).max(MIN_OVERDUE_OBJECTIVE_FRACTION * remaining);
        let overdue_at = self.now + overdue_after;
        let may_retry = self.settings.classes[request.class].idempotency != Idempotency::NotIdempotent
            && (request.attempts.len() as u32 + 1) < self.settings.max_attempts
            && overdue_after + expected < remaining;
        if !may_retry {
            AttemptSchedule { timeout_at: useful_until, hedge_at: None }
        } else if self.settings.hedging {
            AttemptSchedule { timeout_at: useful_until, hedge_at: Some(overdue_at) }
        } else {
            AttemptSchedule { timeout_at: useful_until.min(overdue_at), hedge_at: None }
        }
    }
}
