//! Failures by zone: a zone that is failing or cut off is avoided before each of its endpoints has been
//! ejected.

use super::outlier_detection::MAX_EJECTION;
use crate::interface::{Millis, Outcome};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Weight of one attempt in the failure rate of its zone.
const ATTEMPT_WEIGHT: f64 = 0.3;

/// Moving failure rate of the attempts to one zone.
#[derive(Clone, Copy, Debug)]
struct ZoneFailures {
    rate: f64,
    updated_at: Millis,
}

/// Failure rates by zone, of attempts that got a response or lost their connection.
#[derive(Debug, Default)]
pub(super) struct ZoneStatistics {
    zones: BTreeMap<Arc<str>, ZoneFailures>,
}

impl ZoneStatistics {
    /// Counts an attempt if its outcome speaks of the zone: it succeeded, or its connection failed. Returns
    /// whether that was one of several failures close behind each other.
    pub(super) fn record(&mut self, zone: &Arc<str>, outcome: Outcome, now: Millis) -> bool {
        let failure = match outcome {
            Outcome::Success => 0.0,
            Outcome::ConnectFailed | Outcome::Reset => 1.0,
            _ => return false,
        };
        let initial = ZoneFailures { rate: 0.0, updated_at: now };
        let failures = self.zones.entry(Arc::clone(zone)).or_insert(initial);
        failures.rate += ATTEMPT_WEIGHT * (failure - failures.rate);
        failures.updated_at = now;
        failures.rate > ATTEMPT_WEIGHT
    }

    /// The failure rate of a zone; it decays in the time of the longest ejection.
    pub(super) fn failure_rate(&self, zone: &str, shortest_objective: Millis, now: Millis) -> f64 {
        let Some(failures) = self.zones.get(zone) else { return 0.0 };
        let decay = (-(now - failures.updated_at) / (MAX_EJECTION * shortest_objective)).exp();
        failures.rate * decay
    }
}
