//! Periodic work: drops what is no longer needed, and summarizes rejections in the log.

use super::{Gateway, WAKE_UP_TOKEN};
use crate::interface::{Action, Millis, RejectReason, StatusSummary};

/// Interval of housekeeping, in milliseconds.
const HOUSEKEEPING_INTERVAL: Millis = 1_000.0;
/// Least interval between two log lines, in milliseconds.
const LOG_INTERVAL: Millis = 5_000.0;
/// A timer that expires this much early is the one that was set, in milliseconds: callers round times.
pub(super) const TIMER_TOLERANCE: Millis = 2.0;

/// When periodic work is due, and what the next log line will say.
#[derive(Debug)]
pub(super) struct Housekeeping {
    next_run_at: Millis,
    next_log_at: Millis,
    rejections: RejectionCounters,
}

/// Requests rejected since the last log line.
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
    /// Counts a rejection for the log. Only those that show a lack of quota or capacity are.
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
    /// Sets the timer for the next housekeeping.
    pub(super) fn schedule_housekeeping(&mut self, actions: &mut Vec<Action>) {
        self.housekeeping.next_run_at = self.now + HOUSEKEEPING_INTERVAL;
        actions.push(Action::SetTimer { token: WAKE_UP_TOKEN, at: self.housekeeping.next_run_at });
    }

    /// Does the periodic work if it is due.
    pub(super) fn run_due_housekeeping(&mut self, actions: &mut Vec<Action>) {
        if self.now + TIMER_TOLERANCE < self.housekeeping.next_run_at {
            return;
        }
        self.schedule_housekeeping(actions);
        self.admission.prune(self.now);
        let ejected = self.load_balancer.prune();
        self.log_status(ejected, actions);
    }

    /// Writes a log line if there is anything to report and the last one is long enough ago.
    fn log_status(&mut self, ejected: usize, actions: &mut Vec<Action>) {
        let is_notable = ejected > 0 || self.housekeeping.rejections != RejectionCounters::default();
        if !is_notable || self.now < self.housekeeping.next_log_at {
            return;
        }
        self.housekeeping.next_log_at = self.now + LOG_INTERVAL;
        let rejections = std::mem::take(&mut self.housekeeping.rejections);
        actions.push(Action::Log(StatusSummary {
            over_quota: rejections.over_quota,
            ceiling_reached: rejections.ceiling_reached,
            no_capacity: rejections.no_capacity,
            customers: self.admission.tracked_customers(),
            endpoints: self.load_balancer.known_endpoints(),
            ejected,
        }));
    }
}
