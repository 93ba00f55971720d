//! The admission share: the fraction of a flagged customer's requests that passes, set by feedback from the
//! meter.

use super::usage_report::{self, REPORT_LIFETIME};
use crate::interface::{Millis, Plan, Settings};
use std::collections::VecDeque;

/// Smallest share: if nothing passed, no usage report would come back.
const MIN_SHARE: f64 = 0.05;
/// Smallest reported percentage by which a share is divided, as a guard against a division by zero.
const MIN_PERCENT: f64 = 1.0;
/// Most credit that a customer saves up, in requests: a pause must not let a burst pass.
const MAX_CREDIT: f64 = 1.5;
/// A request that follows another of its customer within this time, in milliseconds, is taken for its retry.
const RETRY_WINDOW: Millis = 2_000.0;
/// The spread of a customer is wide where a gateway's even slice of the burst is less than this, in units.
const WIDE_SPREAD_SLICE: f64 = 0.25;
/// Where a gateway's local bucket refills one unit in this time or less, in milliseconds, that bucket alone
/// holds the customer to its quota.
const MAX_UNIT_REFILL_TIME: Millis = 15_000.0;
/// By how much the share starts below one for a wide spread, times the cost of excess, if clients mark their
/// retries.
const INITIAL_REDUCTION_MARKED_RETRIES: f64 = 0.4;
/// The same if they do not: some retries then pass as new requests.
const INITIAL_REDUCTION_UNMARKED_RETRIES: f64 = 0.6;

/// A customer's admission share, and the credit from which its requests are admitted.
#[derive(Clone, Debug)]
pub(super) struct AdmissionShare {
    value: f64,
    /// Requests that may pass; each one adds the share and takes 1.
    credit: f64,
    credited_at: Millis,
    /// The shares that were in force during the last report lifetime.
    changes: VecDeque<ShareChange>,
}

#[derive(Clone, Copy, Debug)]
struct ShareChange {
    since: Millis,
    share: f64,
}

impl AdmissionShare {
    /// The share before the meter has reported: one, or less where the gateways together could pass much
    /// excess.
    pub(super) fn new(
        settings: &Settings,
        plan: &Plan,
        spread: f64,
        traffic_fraction: f64,
        rng: &mut fastrand::Rng,
    ) -> Self {
        let reduction = initial_reduction(settings, plan, spread, traffic_fraction);
        // If all gateways started without credit, all would reject a customer's first request.
        let credit = if reduction > 0.0 { rng.f64() } else { 0.0 };
        Self { value: 1.0 - reduction, credit, credited_at: f64::NEG_INFINITY, changes: VecDeque::new() }
    }

    /// Whether some requests are to be rejected.
    pub(super) fn is_reduced(&self) -> bool {
        self.value < 1.0
    }

    /// Credits a request, and returns whether the credit suffices for it.
    pub(super) fn try_admit(&mut self, is_retry: bool, now: Millis) -> bool {
        let is_retry = is_retry || now < self.credited_at + RETRY_WINDOW;
        // Until the first usage report a retry earns no credit: the request that it repeats has been
        // credited.
        if self.value >= 1.0 || !is_retry || !self.changes.is_empty() {
            self.credit = (self.credit + self.value).min(MAX_CREDIT);
            self.credited_at = now;
        }
        self.credit >= 1.0
    }

    /// Takes the credit of a request that was forwarded.
    pub(super) fn spend_credit(&mut self) {
        self.credit = (self.credit - 1.0).max(0.0);
    }

    /// Withdraws the effect of usage reports that have expired.
    pub(super) fn reset(&mut self, now: Millis) {
        self.set(1.0, now);
    }

    /// Adapts the share to a usage report, in percent of the rate. A report is late: it speaks of the share
    /// that was in force then, and must not cut the next one again.
    pub(super) fn apply_report(&mut self, percent: f64, period: Millis, now: Millis) {
        let metered_share = self.share_at(usage_report::metered_period_midpoint(now, period));
        self.set((metered_share * 100.0 / percent.max(MIN_PERCENT)).clamp(MIN_SHARE, 1.0), now);
    }

    fn share_at(&self, at: Millis) -> f64 {
        let change = self.changes.iter().rev().find(|change| change.since <= at);
        change.or(self.changes.front()).map_or(1.0, |change| change.share)
    }

    /// Puts a share in force; those that were replaced a report lifetime ago are dropped.
    fn set(&mut self, share: f64, now: Millis) {
        self.value = share;
        self.changes.push_back(ShareChange { since: now, share });
        while self.changes.get(1).is_some_and(|change| change.since < now - REPORT_LIFETIME) {
            self.changes.pop_front();
        }
    }
}

/// By how much the share starts below one: nothing, unless the spread is wide and the local bucket is slow or
/// a meter will correct the share.
fn initial_reduction(settings: &Settings, plan: &Plan, spread: f64, traffic_fraction: f64) -> f64 {
    let is_wide = plan.burst < WIDE_SPREAD_SLICE * spread;
    let refills_slowly = traffic_fraction * plan.rate * MAX_UNIT_REFILL_TIME < 1000.0;
    if !is_wide || !(refills_slowly || settings.usage_report_period.is_some()) {
        return 0.0;
    }
    let max_reduction = if settings.clients_mark_retries {
        INITIAL_REDUCTION_MARKED_RETRIES
    } else {
        INITIAL_REDUCTION_UNMARKED_RETRIES
    };
    max_reduction * plan.over_quota_cost.min(1.0)
}
