//! What a ceiling bucket holds when a customer is first seen. An earlier incarnation of this gateway may have
//! emptied its slice just before this one started, so it starts empty unless the whole fleet has just
//! started.

use crate::interface::{Millis, Plan};

/// Successful responses without a usage report, and none with one, that show a fleet in its meter's first
/// period.
const FRESH_FLEET_RESPONSES: u32 = 4;
/// Fraction of a ceiling bucket that such a fleet starts with: a gateway that restarts early may take it
/// twice.
const FRESH_FLEET_FILL: f64 = 0.5;

/// What is known of the time before this gateway started, and the initial fill of ceiling buckets.
#[derive(Debug, Default)]
pub(super) struct InitialCeiling {
    started_at: Millis,
    /// Fraction of a ceiling bucket that was there at the start.
    initial_fill: f64,
    evidence: MeterEvidence,
}

/// Whether the meter was running before this gateway started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MeterEvidence {
    /// This many successful responses came without a usage report, and none with one.
    Undecided { responses_without_report: u32 },
    /// A report came, or enough responses without one.
    Decided,
}

impl Default for MeterEvidence {
    fn default() -> Self {
        Self::Undecided { responses_without_report: 0 }
    }
}

impl InitialCeiling {
    /// Notes when the gateway started.
    pub(super) fn start(&mut self, now: Millis) {
        self.started_at = now;
    }

    /// Tokens that the whole ceiling bucket of a customer must hold by now if nobody used it since the start.
    pub(super) fn tokens(&self, plan: &Plan, now: Millis) -> f64 {
        let age_seconds = (now - self.started_at) / 1000.0;
        plan.ceiling_burst.min(self.initial_fill * plan.ceiling_burst + age_seconds * plan.ceiling_rate)
    }

    /// Notes that a response carried a usage report: the meter was running before.
    pub(super) fn record_report(&mut self) {
        self.evidence = MeterEvidence::Decided;
    }

    /// Notes a successful response without a usage report. Returns the fraction of a bucket by which every
    /// ceiling bucket is to be filled once this shows that the fleet has just started.
    pub(super) fn record_response_without_report(&mut self, has_meter: bool) -> Option<f64> {
        let MeterEvidence::Undecided { responses_without_report } = &mut self.evidence else { return None };
        *responses_without_report += 1;
        if *responses_without_report < FRESH_FLEET_RESPONSES {
            return None;
        }
        self.evidence = MeterEvidence::Decided;
        if !has_meter {
            return None;
        }
        self.initial_fill = FRESH_FLEET_FILL;
        Some(FRESH_FLEET_FILL)
    }
}
