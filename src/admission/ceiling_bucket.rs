//! The token bucket of a ceiling: this gateway's slice of a bucket that is common to all gateways.
//!
//! The common bucket starts full and is never known: an earlier process of this gateway may have emptied it
//! just before this one started. So the slice starts empty. It refills at its part of the ceiling's rate, and
//! gets [startup units](FleetStart::startup_units) if the fleet has just started. Both must not add up to
//! more than the common bucket holds, which gets nothing while it is full: startup units are therefore
//! reduced by the refill that the slice got while the common bucket may have been full.

use super::fleet_start::FleetStart;
use super::token_bucket::TokenBucket;
use crate::interface::{Millis, Plan};

/// This gateway's slice of the bucket of a customer's ceiling.
#[derive(Clone, Copy, Debug)]
pub(super) struct CeilingBucket {
    slice: TokenBucket,
    refilled_at: Millis,
    /// Units by which the common bucket is below its capacity at least, by the requests of this gateway.
    common_deficit: f64,
    /// Units that the slice got while the common bucket may have been full, less the startup units that were
    /// withheld for them.
    refill_while_full: f64,
    /// Time up to which the slice has got its startup units.
    startup_units_until: Millis,
}

impl CeilingBucket {
    /// The slice of a customer that has sent no request to this process since its ceiling was last used up.
    pub(super) fn new(plan: &Plan, spread: f64, fleet_start: &FleetStart, now: Millis) -> Self {
        let mut bucket = Self {
            slice: TokenBucket::new(0.0),
            refilled_at: fleet_start.refill_start(now),
            common_deficit: 0.0,
            refill_while_full: 0.0,
            startup_units_until: fleet_start.first_request_at(now),
        };
        bucket.refill(plan, spread, fleet_start, now);
        bucket
    }

    /// Units in the slice; negative if it is overdrawn.
    pub(super) fn tokens(&self) -> f64 {
        self.slice.tokens()
    }

    /// Takes the units of a forwarded request, even if the slice holds less.
    pub(super) fn take(&mut self, units: f64) {
        self.slice.take(units);
        self.common_deficit += units;
    }

    /// Refills the slice for the time from its last refill to `now`.
    pub(super) fn refill(&mut self, plan: &Plan, spread: f64, fleet_start: &FleetStart, now: Millis) {
        let common_refill = (now - self.refilled_at) / 1000.0 * plan.ceiling_rate;
        self.refilled_at = now;
        let below_capacity = common_refill.min(self.common_deficit);
        self.common_deficit -= below_capacity;
        self.refill_while_full += (common_refill - below_capacity) / spread;
        let startup_units = fleet_start.startup_units(plan, self.startup_units_until) / spread;
        self.startup_units_until = self.startup_units_until.max(fleet_start.report_free_until());
        let withheld = startup_units.min(self.refill_while_full);
        self.refill_while_full -= withheld;
        let units = common_refill / spread + startup_units - withheld;
        self.slice.refill(units, plan.ceiling_burst / spread);
    }

    /// Whether the slice will be full at `now` if nothing more is taken from it.
    pub(super) fn is_full_at(&self, plan: &Plan, spread: f64, now: Millis) -> bool {
        let seconds = (now - self.refilled_at) / 1000.0;
        self.tokens() + seconds * plan.ceiling_rate / spread >= plan.ceiling_burst / spread
    }
}
