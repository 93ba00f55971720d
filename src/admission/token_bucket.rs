//! Token buckets of a customer. Rates and capacities stay in the plan, to keep customer records small.

use super::ceiling_bucket::CeilingBucket;
use super::fleet_start::FleetStart;
use crate::interface::{Millis, Plan};

/// A bucket of units that refills up to a capacity. The request that empties it may overdraw it.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    tokens: f64,
}

impl TokenBucket {
    pub(super) fn new(tokens: f64) -> Self {
        Self { tokens }
    }

    /// Units in the bucket; negative if it is overdrawn.
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds `amount` units, up to `capacity`.
    pub(super) fn refill(&mut self, amount: f64, capacity: f64) {
        self.tokens = (self.tokens + amount).min(capacity);
    }

    /// Takes `amount` units, even if the bucket holds less.
    pub(super) fn take(&mut self, amount: f64) {
        self.tokens -= amount;
    }

    /// Corrects the tokens used, which are `capacity` less those left. The forwarded units were divided by
    /// `from` as this gateway's fraction of the customer's traffic; the correct fraction is `to`.
    pub(super) fn rescale_used(&mut self, capacity: f64, from: f64, to: f64) {
        self.tokens = capacity - (capacity - self.tokens) * from / to;
    }
}

/// An estimate of what is left of a customer's quota, based on its usage at all gateways in usage reports.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeteredBucket {
    tokens: f64,
}

impl MeteredBucket {
    pub(super) fn new(tokens: f64) -> Self {
        Self { tokens }
    }

    /// Refills the bucket for `elapsed`, and drains it by the reported percentage of that refill.
    pub(super) fn apply_report(&mut self, plan: &Plan, elapsed: Millis, percent: f64) {
        let gain = plan.rate * elapsed / 1000.0 * (1.0 - percent / 100.0);
        self.tokens = (self.tokens + gain).clamp(0.0, plan.burst);
    }

    /// Whether the bucket holds less than one unit.
    pub(super) fn is_empty(&self) -> bool {
        self.tokens < 1.0
    }
}

/// The token buckets of one customer.
#[derive(Clone, Copy, Debug)]
pub(super) struct CustomerBuckets {
    /// Bucket of the whole quota, drained by the units forwarded here divided by this gateway's fraction of
    /// the customer's traffic, as an estimate of the usage at all gateways.
    pub(super) local: TokenBucket,
    /// Bucket of the whole quota, drained by the usage in usage reports.
    pub(super) metered: MeteredBucket,
    /// This gateway's slice of the bucket of the ceiling.
    pub(super) ceiling: CeilingBucket,
    refilled_at: Millis,
}

impl CustomerBuckets {
    /// The buckets of a customer, based on its usage estimate at this gateway and the gateway's fraction of
    /// the customer's traffic.
    pub(super) fn new(
        plan: &Plan,
        spread: f64,
        usage_estimate: f64,
        traffic_fraction: f64,
        fleet_start: &FleetStart,
        now: Millis,
    ) -> Self {
        Self {
            local: TokenBucket::new((plan.burst - usage_estimate / traffic_fraction).max(0.0)),
            metered: MeteredBucket::new((plan.burst - usage_estimate).max(0.0)),
            ceiling: CeilingBucket::new(plan, spread, fleet_start, now),
            refilled_at: now,
        }
    }

    /// Refills the local and the ceiling bucket for the time from their last refill to `now`.
    pub(super) fn refill(&mut self, plan: &Plan, spread: f64, fleet_start: &FleetStart, now: Millis) {
        let seconds = (now - self.refilled_at) / 1000.0;
        self.refilled_at = now;
        self.local.refill(seconds * plan.rate, plan.burst);
        self.ceiling.refill(plan, spread, fleet_start, now);
    }
}
