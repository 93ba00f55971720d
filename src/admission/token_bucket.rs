//! Token buckets. Their rates and capacities stay in the plan, so that the record of a customer stays small.

use crate::interface::{Millis, Plan};

/// A bucket of units that refills up to a capacity. It may be overdrawn by the request that empties it.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    tokens: f64,
}

impl TokenBucket {
    /// A bucket with some tokens.
    pub(super) fn new(tokens: f64) -> Self {
        Self { tokens }
    }

    /// Tokens in it; negative if it is overdrawn.
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds tokens up to the capacity.
    pub(super) fn refill(&mut self, amount: f64, capacity: f64) {
        self.tokens = (self.tokens + amount).min(capacity);
    }

    /// Takes tokens.
    pub(super) fn take(&mut self, amount: f64) {
        self.tokens -= amount;
    }

    /// Scales what is missing from the capacity, where the tokens were taken by a wrong scale.
    pub(super) fn rescale_used(&mut self, capacity: f64, from: f64, to: f64) {
        self.tokens = capacity - (capacity - self.tokens) * from / to;
    }
}

/// An estimate of the quota's own token bucket, by the use that the meter reports for all gateways.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeteredBucket {
    tokens: f64,
}

impl MeteredBucket {
    /// A bucket with some tokens.
    pub(super) fn new(tokens: f64) -> Self {
        Self { tokens }
    }

    /// Refills at the rate for a time in milliseconds, and drains by the use that a report gives for it.
    pub(super) fn apply_report(&mut self, plan: &Plan, elapsed: Millis, percent: f64) {
        let gain = plan.rate * elapsed / 1000.0 * (1.0 - percent / 100.0);
        self.tokens = (self.tokens + gain).clamp(0.0, plan.burst);
    }

    /// Whether it holds less than one unit.
    pub(super) fn is_empty(&self) -> bool {
        self.tokens < 1.0
    }
}

/// The token buckets of one customer.
#[derive(Clone, Copy, Debug)]
pub(super) struct CustomerBuckets {
    /// Of the whole quota: drained by what this gateway forwards, scaled up by its fraction of the traffic.
    pub(super) local: TokenBucket,
    /// Of the whole quota: drained by metered use.
    pub(super) metered: MeteredBucket,
    /// This gateway's slice of the ceiling.
    pub(super) ceiling: TokenBucket,
    refilled_at: Millis,
}

impl CustomerBuckets {
    /// The buckets of a customer whose recent usage at this gateway, a fraction of the traffic, is known.
    pub(super) fn new(
        plan: &Plan,
        usage_estimate: f64,
        traffic_fraction: f64,
        ceiling: f64,
        now: Millis,
    ) -> Self {
        Self {
            local: TokenBucket::new((plan.burst - usage_estimate / traffic_fraction).max(0.0)),
            metered: MeteredBucket::new((plan.burst - usage_estimate).max(0.0)),
            ceiling: TokenBucket::new(ceiling),
            refilled_at: now,
        }
    }

    /// Refills the buckets that need no report.
    pub(super) fn refill(&mut self, plan: &Plan, spread: f64, now: Millis) {
        let seconds = (now - self.refilled_at) / 1000.0;
        self.refilled_at = now;
        self.local.refill(seconds * plan.rate, plan.burst);
        self.ceiling.refill(seconds * plan.ceiling_rate / spread, plan.ceiling_burst / spread);
    }
}
