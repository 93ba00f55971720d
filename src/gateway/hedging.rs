//! Hedging: when an attempt is overdue, a second one is sent to another endpoint.

use super::housekeeping::TIMER_TOLERANCE;
use super::{Gateway, WAKE_UP_TOKEN};
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

/// Requests to be hedged, in order of time. One timer at a time serves all of them, and a request that has
/// ended is removed, so that the schedule holds no more than the open requests.
#[derive(Debug, Default)]
pub(super) struct HedgeSchedule {
    hedges: BTreeSet<ScheduledHedge>,
    /// When the timer for the first hedge fires, in whole microseconds; `None` if none is set.
    timer_at_micros: Option<u64>,
}

impl HedgeSchedule {
    /// Schedules a request to be hedged at the given time.
    pub(super) fn insert(&mut self, at: Millis, request: &RequestId) {
        self.hedges.insert(ScheduledHedge { at_micros: to_micros(at), request: request.clone() });
    }

    /// Removes a request that was scheduled to be hedged at the given time.
    pub(super) fn remove(&mut self, at: Millis, request: &RequestId) {
        self.hedges.remove(&ScheduledHedge { at_micros: to_micros(at), request: request.clone() });
    }

    /// Returns the time for which a timer must be set; `None` if there is no hedge, or a timer that fires
    /// early enough is set.
    pub(super) fn next_timer(&mut self) -> Option<Millis> {
        let first = self.hedges.first()?.at_micros;
        if self.timer_at_micros.is_some_and(|timer_at| timer_at <= first) {
            return None;
        }
        self.timer_at_micros = Some(first);
        Some(first as f64 / 1000.0)
    }

    /// Records that timers have fired up to `now`.
    fn record_timers(&mut self, now: Millis) {
        self.timer_at_micros = self.timer_at_micros.filter(|timer_at| *timer_at > to_micros(now));
    }

    /// Removes and returns the request whose hedge has been due for longest; `None` if none is due.
    fn pop_due(&mut self, now: Millis) -> Option<RequestId> {
        self.hedges.first().filter(|hedge| hedge.at_micros <= to_micros(now))?;
        self.hedges.pop_first().map(|hedge| hedge.request)
    }
}

impl Gateway {
    /// Hedges all requests whose attempts are overdue, and sets the timer for the next hedge.
    pub(super) fn send_due_hedges(&mut self, actions: &mut Vec<Action>) {
        let due_until = self.now + TIMER_TOLERANCE;
        self.hedge_schedule.record_timers(due_until);
        while let Some(id) = self.hedge_schedule.pop_due(due_until) {
            self.hedge(&id, actions);
        }
        self.set_hedge_timer(actions);
    }

    /// Sets the timer for the next hedge, if none is set that fires as early.
    pub(super) fn set_hedge_timer(&mut self, actions: &mut Vec<Action>) {
        if let Some(at) = self.hedge_schedule.next_timer() {
            actions.push(Action::SetTimer { token: WAKE_UP_TOKEN, at });
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
