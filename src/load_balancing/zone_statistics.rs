//! Failure rates by zone: a zone that is failing or unreachable is avoided before each of its endpoints has
//! been ejected.

use super::outlier_detection::MAX_EJECTION;
use crate::interface::{Millis, Outcome};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Weight of one attempt in the moving failure rate of its zone.
const ATTEMPT_WEIGHT: f64 = 0.3;

/// Maximum number of zones with a failure rate. Zones are few; the limit bounds the memory if a list names
/// ever new ones.
const MAX_ZONES: usize = 1024;

/// Moving failure rate of the attempts at endpoints of one zone.
#[derive(Clone, Copy, Debug)]
struct ZoneFailures {
    rate: f64,
    updated_at: Millis,
}

/// Rates by zone at which connections fail: they cannot be established, or are reset.
#[derive(Debug, Default)]
pub(super) struct ZoneStatistics {
    zones: BTreeMap<Arc<str>, ZoneFailures>,
}

impl ZoneStatistics {
    /// Records the outcome of an attempt if it succeeded or its connection failed: other outcomes say nothing
    /// about the zone. Returns whether the failure rate is now higher than after a single failure.
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
        let is_high = failures.rate > ATTEMPT_WEIGHT;
        if self.zones.len() > MAX_ZONES {
            self.remove_oldest();
        }
        is_high
    }

    /// Removes the zone without an attempt for longest.
    fn remove_oldest(&mut self) {
        let oldest = self.zones.iter().min_by(|(_, a), (_, b)| a.updated_at.total_cmp(&b.updated_at));
        if let Some(zone) = oldest.map(|(zone, _)| Arc::clone(zone)) {
            self.zones.remove(&zone);
        }
    }

    /// Returns the failure rate of a zone, which decays with the maximum ejection as its time constant.
    pub(super) fn failure_rate(&self, zone: &str, shortest_objective: Millis, now: Millis) -> f64 {
        let Some(failures) = self.zones.get(zone) else { return 0.0 };
        let decay = (-(now - failures.updated_at) / (MAX_EJECTION * shortest_objective)).exp();
        failures.rate * decay
    }
}

#[cfg(test)]
mod tests;
