//! The admission share: the fraction of a flagged customer's requests that is admitted, adapted to usage
//! reports.
//!
//! Requests are admitted by credit: each request adds the share to the customer's credit, is admitted if the
//! credit is then at least 1, and takes 1 from it when it is forwarded.
//!
//! A customer's gateway spread is wide if a gateway's even slice of its burst is a small part of a unit. The
//! gateways together could then admit much usage over quota before the first usage report.

use super::usage_report::{self, MIN_REPORT_LIFETIME};
use crate::interface::{Millis, Plan, Settings};
use std::collections::VecDeque;

/// Minimum share, because only responses bring usage reports: without admitted requests, none would come.
const MIN_SHARE: f64 = 0.05;
/// Lower bound of the reported percentage when a share is divided by it, to avoid a division by zero.
const MIN_PERCENT: f64 = 1.0;
/// Maximum credit of a customer, in requests, so that no burst is admitted after a pause.
const MAX_CREDIT: f64 = 1.5;
/// Time after the last request that added credit, in milliseconds, in which the customer's requests count as
/// retries of that request even if they are not marked as retries.
const MAX_UNMARKED_RETRY_DELAY: Millis = 2_000.0;
/// Even slice of the burst, in units, below which a customer's gateway spread is wide.
const WIDE_SPREAD_SLICE: f64 = 0.25;
/// Longest time, in milliseconds, that the refill of one forwarded unit may take for the local bucket alone
/// to enforce the quota. The unit refills at the plan's rate times the gateway's traffic fraction.
const MAX_UNIT_REFILL_TIME: Millis = 15_000.0;
/// Reduction of the initial share for a wide spread if clients mark retries and the plan's over-quota cost is
/// at least 1. A lower cost reduces it in proportion.
const INITIAL_REDUCTION_MARKED_RETRIES: f64 = 0.4;
/// Like [`INITIAL_REDUCTION_MARKED_RETRIES`], if clients do not mark retries. It is larger because some
/// retries are then admitted as new requests.
const INITIAL_REDUCTION_UNMARKED_RETRIES: f64 = 0.6;

/// A customer's admission share, and the credit by which its requests are admitted.
#[derive(Clone, Debug)]
pub(super) struct AdmissionShare {
    /// Fraction of requests to admit, at most 1.
    value: f64,
    /// Credit in requests, from 0 to [`MAX_CREDIT`].
    credit: f64,
    /// When a request last added credit; negative infinity before the first.
    credited_at: Millis,
    /// Shares in force during the last report lifetime, oldest first; empty before the first usage report.
    changes: VecDeque<ShareChange>,
}

#[derive(Clone, Copy, Debug)]
struct ShareChange {
    since: Millis,
    share: f64,
}

impl AdmissionShare {
    /// The share before the first usage report: 1, or less if the gateway spread is wide.
    pub(super) fn new(
        settings: &Settings,
        plan: &Plan,
        spread: f64,
        traffic_fraction: f64,
        rng: &mut fastrand::Rng,
    ) -> Self {
        let reduction = initial_reduction(settings, plan, spread, traffic_fraction);
        // Random: if all gateways started without credit, all would reject a customer's first request.
        let credit = if reduction > 0.0 { rng.f64() } else { 0.0 };
        Self { value: 1.0 - reduction, credit, credited_at: f64::NEG_INFINITY, changes: VecDeque::new() }
    }

    /// Whether the share is less than 1, so that some requests are found over quota.
    pub(super) fn is_reduced(&self) -> bool {
        self.value < 1.0
    }

    /// Adds the share to the credit for a request, and returns whether the credit suffices to admit it.
    /// `is_retry` says that the client has marked the request as a retry.
    pub(super) fn try_admit(&mut self, is_retry: bool, now: Millis) -> bool {
        let is_retry = is_retry || now < self.credited_at + MAX_UNMARKED_RETRY_DELAY;
        // Before the first usage report, a retry adds no credit if the share is reduced: the request that it
        // repeats has already added some.
        if self.value >= 1.0 || !is_retry || !self.changes.is_empty() {
            self.credit = (self.credit + self.value).min(MAX_CREDIT);
            self.credited_at = now;
        }
        self.credit >= 1.0
    }

    /// Takes 1 from the credit for a forwarded request.
    pub(super) fn spend_credit(&mut self) {
        self.credit = (self.credit - 1.0).max(0.0);
    }

    /// Sets the share back to 1 when the usage report that set it has expired.
    pub(super) fn reset(&mut self, now: Millis) {
        self.set(1.0, now);
    }

    /// Adapts the share to a usage report, in `percent` of the rate. Reports come late, so the new share is
    /// computed from the share that was in force in the metered period. Computed from the current one, it
    /// would be reduced again for the same usage.
    pub(super) fn apply_report(&mut self, percent: f64, period: Millis, now: Millis) {
        let metered_share = self.share_at(usage_report::metered_period_midpoint(now, period));
        self.set((metered_share * 100.0 / percent.max(MIN_PERCENT)).clamp(MIN_SHARE, 1.0), now);
    }

    /// The share in force at a time, or else the oldest known; 1 before the first usage report.
    fn share_at(&self, at: Millis) -> f64 {
        let change = self.changes.iter().rev().find(|change| change.since <= at);
        change.or(self.changes.front()).map_or(1.0, |change| change.share)
    }

    /// Sets the share, and drops changes that were superseded more than a report lifetime ago.
    fn set(&mut self, share: f64, now: Millis) {
        self.value = share;
        self.changes.push_back(ShareChange { since: now, share });
        while self.changes.get(1).is_some_and(|change| change.since < now - MIN_REPORT_LIFETIME) {
            self.changes.pop_front();
        }
    }
}

/// Amount by which the initial share is less than 1: 0 unless the spread is wide and either the local bucket
/// refills slowly or usage reports will correct the share.
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
