//! Housekeeping: periodically drops expired state and logs a status summary.

use super::{Gateway, WAKE_UP_TOKEN};
use crate::interface::{Action, Millis, RejectReason, StatusSummary};

/// Interval between two runs of housekeeping, in milliseconds.
const HOUSEKEEPING_INTERVAL: Millis = 1_000.0;
/// Minimum interval between two status summaries in the log, in milliseconds.
const LOG_INTERVAL: Millis = 5_000.0;
/// How early a timer may fire for its work to be due, in milliseconds: callers of the gateway round times.
pub(super) const TIMER_TOLERANCE: Millis = 2.0;

/// When housekeeping is due, and the rejections for the next status summary.
#[derive(Debug)]
pub(super) struct Housekeeping {
    next_run_at: Millis,
    next_log_at: Millis,
    rejections: RejectionCounters,
}

/// Number of requests rejected since the last status summary, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RejectionCounters {
    over_quota: u32,
    ceiling_reached: u32,
    no_capacity: u32,
}

impl Default for Housekeeping {
    fn default() -> Self {
        Self {
            next_run_at: f64::NEG_INFINITY,
            next_log_at: f64::NEG_INFINITY,
            rejections: RejectionCounters::default(),
        }
    }
}

impl Housekeeping {
    /// Counts a rejection for lack of quota, ceiling or capacity for the next status summary.
    pub(super) fn record_rejection(&mut self, reason: RejectReason) {
        let counters = &mut self.rejections;
        match reason {
            RejectReason::OverQuota => counters.over_quota += 1,
            RejectReason::CeilingReached => counters.ceiling_reached += 1,
            RejectReason::NoCapacity => counters.no_capacity += 1,
            RejectReason::UnknownClassOrPlan | RejectReason::AttemptsFailed => {}
        }
    }
}

impl Gateway {
    /// Sets the timer for the next run of housekeeping.
    pub(super) fn schedule_housekeeping(&mut self, actions: &mut Vec<Action>) {
        self.housekeeping.next_run_at = self.now + HOUSEKEEPING_INTERVAL;
        actions.push(Action::SetTimer { token: WAKE_UP_TOKEN, at: self.housekeeping.next_run_at });
    }

    /// Runs housekeeping if it is due, and schedules the next run.
    pub(super) fn run_due_housekeeping(&mut self, actions: &mut Vec<Action>) {
        if self.now + TIMER_TOLERANCE < self.housekeeping.next_run_at {
            return;
        }
        self.schedule_housekeeping(actions);
        self.admission.prune_customers(self.now);
        let on_probation = self.load_balancer.prune_endpoints();
        self.log_status(on_probation, actions);
    }

    /// Logs rejections and endpoints on probation, if there are any, at most once per [`LOG_INTERVAL`].
    fn log_status(&mut self, on_probation: usize, actions: &mut Vec<Action>) {
        let is_worth_logging =
            on_probation > 0 || self.housekeeping.rejections != RejectionCounters::default();
        if !is_worth_logging || self.now < self.housekeeping.next_log_at {
            return;
        }
        self.housekeeping.next_log_at = self.now + LOG_INTERVAL;
        let rejections = std::mem::take(&mut self.housekeeping.rejections);
        actions.push(Action::Log(StatusSummary {
            over_quota: rejections.over_quota,
            ceiling_reached: rejections.ceiling_reached,
            no_capacity: rejections.no_capacity,
            customers: self.admission.tracked_customers(),
            endpoints: self.load_balancer.tracked_endpoints(),
            ejected: on_probation,
        }));
    }
}
