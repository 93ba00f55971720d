//! Hedging: when an attempt is overdue, a second one is sent to another endpoint.

use super::housekeeping::TIMER_TOLERANCE;
use super::Gateway;
use crate::interface::{Action, Millis, RequestId};
use crate::request::Request;
use std::collections::BTreeSet;

/// A request, and the time from which it may be hedged. The order of the fields sorts hedges by time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledHedge {
    /// Time in whole microseconds, which unlike [`Millis`] have a total order.
    at_micros: u64,
    request: RequestId,
}

/// Requests to be hedged, in order of time.
#[derive(Debug, Default)]
pub(super) struct HedgeSchedule {
    hedges: BTreeSet<ScheduledHedge>,
}

impl HedgeSchedule {
    /// Schedules a request to be hedged at the given time.
    pub(super) fn insert(&mut self, at: Millis, request: &RequestId) {
        self.hedges.insert(ScheduledHedge { at_micros: to_micros(at), request: request.clone() });
    }

    /// Removes and returns the request whose hedge has been due for longest; `None` if none is due.
    fn pop_due(&mut self, now: Millis) -> Option<RequestId> {
        self.hedges.first().filter(|hedge| hedge.at_micros <= to_micros(now))?;
        self.hedges.pop_first().map(|hedge| hedge.request)
    }
}

impl Gateway {
    /// Hedges all requests whose attempts are overdue.
    pub(super) fn send_due_hedges(&mut self, actions: &mut Vec<Action>) {
        while let Some(id) = self.hedge_schedule.pop_due(self.now + TIMER_TOLERANCE) {
            self.hedge(&id, actions);
        }
    }

    /// Sends a second attempt if the request may be hedged and another endpoint is likely to be in time.
    fn hedge(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id).filter(|request| self.may_hedge(request)).cloned() else {
            return;
        };
        let time_to_objective = request.latency_objective_at - self.now;
        let Some(candidate) = self.select_endpoint(&request) else { return };
        if candidate.latency.total < time_to_objective && !request.was_sent_to(candidate.endpoint) {
            self.retry_budget.withdraw();
            self.forward(id, candidate, actions);
        }
    }

    fn may_hedge(&self, request: &Request) -> bool {
        self.retry_budget.allows_retry()
            && !request.closed
            && !request.streaming
            && request.attempts_in_flight() == 1
            && request.attempts.len() < self.settings.max_attempts as usize
    }
}

/// Converts a time to whole microseconds; a negative time becomes 0.
fn to_micros(at: Millis) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}
