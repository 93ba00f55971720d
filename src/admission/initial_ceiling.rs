//! Initial tokens of ceiling buckets. An earlier process of this gateway may have emptied its slice of a
//! ceiling just before this one started. A bucket therefore starts empty, unless the whole fleet has just
//! started.

use crate::interface::{Millis, Plan};

/// Number of successful responses without a usage report that show, if no response had one, that the fleet's
/// meter is in its first period, and so that the fleet has just started.
const FRESH_FLEET_RESPONSES: u32 = 4;
/// Initial tokens of a ceiling bucket in a fleet that has just started, as a fraction of the bucket's
/// capacity. The bucket is not full, because a gateway that restarts early may use these tokens twice.
const FRESH_FLEET_FILL: f64 = 0.5;

/// Determines the initial tokens of ceiling buckets from what is known of the time before the start.
#[derive(Debug, Default)]
pub(super) struct InitialCeiling {
    started_at: Millis,
    /// Tokens of a ceiling bucket at the start, as a fraction of its capacity; 0 until the fleet is known to
    /// have just started.
    initial_fill: f64,
    evidence: MeterEvidence,
}

/// Whether responses have shown if the meter was running before this gateway started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MeterEvidence {
    /// No response had a usage report, and too few successful ones came without one.
    Undecided {
        /// Number of successful responses without a usage report.
        responses_without_report: u32,
    },
    /// A response had a usage report, or enough successful ones came without one.
    Decided,
}

impl Default for MeterEvidence {
    fn default() -> Self {
        Self::Undecided { responses_without_report: 0 }
    }
}

impl InitialCeiling {
    /// Records the time at which the gateway starts.
    pub(super) fn set_started_at(&mut self, now: Millis) {
        self.started_at = now;
    }

    /// Tokens that the ceiling buckets of a customer at all gateways together hold by `now` if none were
    /// taken since the start.
    pub(super) fn tokens(&self, plan: &Plan, now: Millis) -> f64 {
        let age_seconds = (now - self.started_at) / 1000.0;
        plan.ceiling_burst.min(self.initial_fill * plan.ceiling_burst + age_seconds * plan.ceiling_rate)
    }

    /// Records that a response had a usage report, which shows that the meter was running before.
    pub(super) fn record_report(&mut self) {
        self.evidence = MeterEvidence::Decided;
    }

    /// Records a successful response without a usage report. If this shows that the fleet has just started,
    /// returns the tokens to add to each ceiling bucket, as a fraction of the bucket's capacity. It shows
    /// nothing without `reports_enabled`: then the fleet sends no usage reports at all.
    pub(super) fn record_response_without_report(&mut self, reports_enabled: bool) -> Option<f64> {
        let MeterEvidence::Undecided { responses_without_report } = &mut self.evidence else { return None };
        *responses_without_report += 1;
        if *responses_without_report < FRESH_FLEET_RESPONSES {
            return None;
        }
        self.evidence = MeterEvidence::Decided;
        if !reports_enabled {
            return None;
        }
        self.initial_fill = FRESH_FLEET_FILL;
        Some(FRESH_FLEET_FILL)
    }
}
