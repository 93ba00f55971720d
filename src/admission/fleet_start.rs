//! What a gateway knows of the start of its fleet, on which the refill of ceiling buckets depends.
//!
//! A fleet that has just started has full buckets for its ceilings, which is seen by the meter (see
//! [`super::usage_report`]): it is still in its first period and has sent no report. A gateway that finds no
//! reports may still have had earlier processes that used the ceilings. What buckets hold beyond their refill
//! is therefore spread over the time without reports, which all processes of a gateway share.

use crate::interface::{Millis, Plan};

/// If this many successful responses have come and no response had a usage report, the fleet is taken to have
/// just started.
const FRESH_FLEET_RESPONSES: u32 = 4;
/// Longest usual time from the end of a metered period to the arrival of its first report, in milliseconds.
const MAX_REPORT_DELAY: Millis = 2_000.0;
/// Longest time before the first request for which ceiling buckets refill, in milliseconds. A fleet that
/// waits longer for its first request has full buckets, and a process that restarts then would refill them
/// again.
const MAX_REFILL_BEFORE_REQUESTS: Millis = 100.0;

/// Whether the fleet may have just started, and until when it had no usage reports.
#[derive(Debug)]
pub(super) struct FleetStart {
    /// Time from the start of a fleet to its first usage report at most; `None` if the fleet has no reports.
    max_report_free_time: Option<Millis>,
    /// When this gateway started; infinite until [`FleetStart::set_started_at`] is called.
    started_at: Millis,
    /// When the first request arrived; `None` before that.
    first_request_at: Option<Millis>,
    /// Whether a response had a usage report.
    has_report: bool,
    /// Number of successful responses that came without a usage report before the first one with a report.
    responses_without_report: u32,
    /// When the last of those responses was still outstanding for certain: when its attempt was forwarded.
    outstanding_without_report_at: Millis,
}

impl FleetStart {
    /// Creates the state of a gateway that has received no request. `report_period` is the length of a
    /// metered period; `None` if there are no usage reports.
    pub(super) fn new(report_period: Option<Millis>) -> Self {
        Self {
            max_report_free_time: report_period.map(|period| period + MAX_REPORT_DELAY),
            started_at: f64::INFINITY,
            first_request_at: None,
            has_report: false,
            responses_without_report: 0,
            outstanding_without_report_at: f64::NEG_INFINITY,
        }
    }

    pub(super) fn set_started_at(&mut self, now: Millis) {
        self.started_at = now;
    }

    /// Records the arrival of a request.
    pub(super) fn record_request(&mut self, now: Millis) {
        self.first_request_at.get_or_insert(now);
    }

    /// Records that a response had a usage report, which shows that the meter was running before.
    pub(super) fn record_report(&mut self) {
        self.has_report = true;
    }

    /// Records a successful response without a usage report to an attempt that was forwarded at
    /// `forwarded_at`.
    pub(super) fn record_response_without_report(&mut self, forwarded_at: Millis) {
        if !self.has_report {
            self.responses_without_report = self.responses_without_report.saturating_add(1);
            self.outstanding_without_report_at = self.outstanding_without_report_at.max(forwarded_at);
        }
    }

    /// When the first request arrived; `now` if none has.
    pub(super) fn first_request_at(&self, now: Millis) -> Millis {
        self.first_request_at.unwrap_or(now)
    }

    /// Time from which ceiling buckets refill.
    pub(super) fn refill_start(&self, now: Millis) -> Millis {
        let first_request_at = self.first_request_at(now);
        self.started_at.clamp(first_request_at - MAX_REFILL_BEFORE_REQUESTS, first_request_at)
    }

    /// Units that the buckets of a customer at all gateways together get beyond their refill, for the time
    /// from `since` to [`report_free_until`](Self::report_free_until).
    pub(super) fn startup_units(&self, plan: &Plan, since: Millis) -> f64 {
        let Some(report_free_time) = self.max_report_free_time else { return 0.0 };
        plan.ceiling_burst * (self.report_free_until() - since).max(0.0) / report_free_time
    }

    /// Time until which the fleet is known to have had no usage report, so that it may have just started; the
    /// time of the first request if that is not known.
    pub(super) fn report_free_until(&self) -> Millis {
        let start = self.first_request_at.unwrap_or(f64::NEG_INFINITY);
        match self.max_report_free_time {
            Some(report_free_time) if self.responses_without_report >= FRESH_FLEET_RESPONSES => {
                self.outstanding_without_report_at.clamp(start, start + report_free_time)
            }
            _ => start,
        }
    }
}
