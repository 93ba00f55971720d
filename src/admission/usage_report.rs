//! Usage reports of the meter. The meter counts the units that each customer uses at all gateways, period by
//! period. A report comes in a response of an endpoint, and gives the usage in the last metered period. This
//! module defines how long a report is valid and which period it covers.

use crate::interface::{Millis, Plan};

/// Minimum lifetime of a usage report, in milliseconds: several metered periods and the delay of a late
/// report.
pub(super) const MIN_REPORT_LIFETIME: Millis = 6_000.0;
/// Units that this gateway's even slice of the rate must have allowed before a report expires, because only
/// responses bring the next report. The longer of that time and [`MIN_REPORT_LIFETIME`] is the lifetime.
const REPORT_LIFETIME_UNITS: f64 = 3.0;
/// Usual time from the end of a metered period to the arrival of its report, in milliseconds.
const REPORT_DELAY: Millis = 800.0;
/// Fraction of a period that must pass after a report before one with another percentage counts as that of a
/// new period: responses may overtake each other.
const MIN_REPORT_SPACING: f64 = 0.5;

/// The last usage report of a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct UsageReport {
    /// When the report was received.
    pub(super) received_at: Millis,
    /// Usage at all gateways, in percent of the plan's rate.
    pub(super) percent: f64,
}

impl UsageReport {
    /// Whether a report of `percent` that arrives `elapsed` after this one covers the same period.
    pub(super) fn is_same_period(&self, percent: f64, elapsed: Millis, period: Millis) -> bool {
        elapsed < period && (self.percent == percent || elapsed < MIN_REPORT_SPACING * period)
    }
}

/// How long a report is valid. A customer that uses its whole quota sends enough requests in this time for
/// one of the responses to bring the next report.
pub(super) fn lifetime(plan: &Plan, spread: f64) -> Millis {
    let next_report = if plan.rate > 0.0 { REPORT_LIFETIME_UNITS * 1000.0 * spread / plan.rate } else { 0.0 };
    MIN_REPORT_LIFETIME.max(next_report)
}

/// The middle of the metered period covered by a report that is received at `now`.
pub(super) fn metered_period_midpoint(now: Millis, period: Millis) -> Millis {
    now - REPORT_DELAY - period / 2.0
}
