//! Outlier detection: ejects an endpoint by the outcomes of its attempts, and puts it on probation
//! afterwards.
//!
//! Times of ejection are measured in the shortest latency objective of all classes: that is the measure of
//! how quickly queues build up and drain.

use crate::interface::{Millis, Outcome};

/// Consecutive failures that eject an endpoint which was answering until then.
const CONSECUTIVE_FAILURES: u32 = 2;
/// First ejection of a failing endpoint, in shortest latency objectives; doubles up to [`MAX_EJECTION`].
const BASE_EJECTION: f64 = 0.4;
/// Longest ejection, in shortest latency objectives.
pub(super) const MAX_EJECTION: f64 = 3.0;
/// Ejection of an endpoint that was overloaded, in shortest latency objectives: some services.
const OVERLOAD_EJECTION: f64 = 0.12;
/// Consecutive failures after which the ejection does not double any more; keeps the shift from overflowing.
const MAX_COUNTED_FAILURES: u32 = 6;

/// Health of one endpoint as its attempts show it.
#[derive(Clone, Debug)]
pub(super) struct OutlierState {
    consecutive_failures: u32,
    ejected_until: Millis,
    /// It has been ejected for failures and not succeeded since.
    on_probation: bool,
}

impl Default for OutlierState {
    fn default() -> Self {
        Self { consecutive_failures: 0, ejected_until: f64::NEG_INFINITY, on_probation: false }
    }
}

impl OutlierState {
    /// Until when the endpoint is used only if there is no other.
    pub(super) fn ejected_until(&self) -> Millis {
        self.ejected_until
    }

    /// Whether the endpoint is ejected.
    pub(super) fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Whether the endpoint must first prove by one attempt at a time that it works again.
    pub(super) fn on_probation(&self) -> bool {
        self.on_probation
    }

    /// Whether the endpoint is neither ejected nor on probation.
    pub(super) fn is_healthy(&self, now: Millis) -> bool {
        now >= self.ejected_until && !self.on_probation
    }

    /// Whether the endpoint has failed since its last success.
    pub(super) fn has_failed(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Takes in an outcome: each kind of symptom ejects the endpoint for its own time.
    pub(super) fn record(
        &mut self,
        outcome: Outcome,
        sent_at: Millis,
        last_response_at: Millis,
        shortest_objective: Millis,
        now: Millis,
    ) {
        let ejection = match outcome {
            Outcome::Success => {
                self.consecutive_failures = 0;
                self.on_probation = false;
                0.0
            }
            Outcome::Overloaded => OVERLOAD_EJECTION,
            // An attempt that was sent before the last response shows nothing new.
            Outcome::Timeout | Outcome::Error if sent_at < last_response_at => 0.0,
            Outcome::Timeout | Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => {
                self.record_failure(outcome)
            }
            // All endpoints send invalid responses to the same requests, and reject the same invalid
            // requests.
            Outcome::InvalidResponse | Outcome::Cancelled | Outcome::NotSent => 0.0,
        };
        if ejection > 0.0 {
            self.ejected_until = self.ejected_until.max(now + ejection * shortest_objective);
        }
    }

    /// Counts a failure; returns for how many shortest latency objectives it ejects the endpoint.
    fn record_failure(&mut self, outcome: Outcome) -> f64 {
        self.consecutive_failures += 1;
        // A single reset is no sign of a crash, which breaks all connections and accepts no new one.
        self.on_probation |=
            outcome == Outcome::ConnectFailed || self.consecutive_failures >= CONSECUTIVE_FAILURES;
        if !self.on_probation {
            return 0.0;
        }
        let multiplier = 1u32 << self.consecutive_failures.min(MAX_COUNTED_FAILURES).saturating_sub(1);
        (BASE_EJECTION * f64::from(multiplier)).min(MAX_EJECTION)
    }
}
