//! Outlier detection: ejects an endpoint whose attempts fail, and keeps it on probation until one succeeds.
//!
//! The duration of an ejection is a multiple of the shortest latency objective of all classes, because queues
//! build up and drain at that time scale.

use crate::interface::{Millis, Outcome};

/// Consecutive failures that eject an endpoint not on probation. One failure to connect ejects it at once.
const CONSECUTIVE_FAILURES: u32 = 2;
/// Ejection after one failure, in shortest latency objectives. Doubles with each consecutive failure, up to
/// [`MAX_EJECTION`].
const BASE_EJECTION: f64 = 0.4;
/// Maximum ejection, in shortest latency objectives.
pub(super) const MAX_EJECTION: f64 = 3.0;
/// Ejection of an overloaded endpoint, in shortest latency objectives: the time of a few requests.
const OVERLOAD_EJECTION: f64 = 0.12;
/// Number of consecutive failures after which the ejection stops doubling. Prevents an overflow of the shift.
const MAX_COUNTED_FAILURES: u32 = 6;

/// Ejection and probation of one endpoint, according to the outcomes of its attempts.
#[derive(Clone, Debug)]
pub(super) struct OutlierState {
    consecutive_failures: u32,
    ejected_until: Millis,
    /// Whether the endpoint has been ejected for failures and has not succeeded since.
    on_probation: bool,
}

impl Default for OutlierState {
    fn default() -> Self {
        Self { consecutive_failures: 0, ejected_until: f64::NEG_INFINITY, on_probation: false }
    }
}

impl OutlierState {
    /// Time at which the last ejection ends or ended; negative infinity if there was none.
    pub(super) fn ejected_until(&self) -> Millis {
        self.ejected_until
    }

    /// Whether the endpoint is ejected, and so is used only if no other can be.
    pub(super) fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Whether the endpoint gets only one attempt at a time, until one succeeds.
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

    /// Records the outcome of an attempt that was forwarded at `sent_at`, and ejects the endpoint if the
    /// outcome shows overload or failure.
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
            // The endpoint has responded since the attempt was sent.
            Outcome::Timeout | Outcome::Error if sent_at < last_response_at => 0.0,
            Outcome::Timeout | Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => {
                self.record_failure(outcome)
            }
            // All endpoints send invalid responses to the same requests, and reject the same invalid ones.
            Outcome::InvalidResponse | Outcome::Cancelled | Outcome::NotSent => 0.0,
        };
        if ejection > 0.0 {
            self.ejected_until = self.ejected_until.max(now + ejection * shortest_objective);
        }
    }

    /// Counts a failure. Returns the duration of the ejection in shortest latency objectives, 0 for none.
    fn record_failure(&mut self, outcome: Outcome) -> f64 {
        self.consecutive_failures += 1;
        // A single reset does not indicate a crash: a crash breaks all connections, and new ones are refused.
        self.on_probation |=
            outcome == Outcome::ConnectFailed || self.consecutive_failures >= CONSECUTIVE_FAILURES;
        if !self.on_probation {
            return 0.0;
        }
        let multiplier = 1u32 << self.consecutive_failures.min(MAX_COUNTED_FAILURES).saturating_sub(1);
        (BASE_EJECTION * f64::from(multiplier)).min(MAX_EJECTION)
    }
}
