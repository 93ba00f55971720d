//! Usage reports of the meter: a customer's use at all gateways in the last metered period, and how long it
//! is valid.

use crate::interface::{Millis, Plan};

/// Lifetime of a usage report, in milliseconds: some metered periods and a late report.
pub(super) const REPORT_LIFETIME: Millis = 6_000.0;
/// A report lives at least until this gateway's even slice of the rate has allowed as many units: only
/// responses bring the next one.
const REPORT_LIFETIME_UNITS: f64 = 3.0;
/// Age of a metered period's end when its report arrives, in milliseconds: a usual reporting delay.
const REPORT_DELAY: Millis = 800.0;
/// A changed report is a new period's only after this fraction of a period; responses may overtake each
/// other.
const MIN_REPORT_SPACING: f64 = 0.5;

/// The last usage report of a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct UsageReport {
    /// When it was received.
    pub(super) received_at: Millis,
    /// Use in percent of the plan's rate.
    pub(super) percent: f64,
}

impl UsageReport {
    /// Whether a report that arrives `elapsed` after this one still speaks of the same period.
    pub(super) fn is_same_period(&self, percent: f64, elapsed: Millis, period: Millis) -> bool {
        elapsed < period && (self.percent == percent || elapsed < MIN_REPORT_SPACING * period)
    }
}

/// How long a report is valid: until some requests of a customer at its quota have brought the next one.
pub(super) fn lifetime(plan: &Plan, spread: f64) -> Millis {
    let next_report = if plan.rate > 0.0 { REPORT_LIFETIME_UNITS * 1000.0 * spread / plan.rate } else { 0.0 };
    REPORT_LIFETIME.max(next_report)
}

/// The middle of the metered period of which a report speaks that is received now.
pub(super) fn metered_period_midpoint(now: Millis, period: Millis) -> Millis {
    now - REPORT_DELAY - period / 2.0
}
