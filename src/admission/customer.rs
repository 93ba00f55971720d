//! The exact record of a tracked customer. The parent module defines which customers are tracked or flagged.

use super::fleet_start::FleetStart;
use super::share::AdmissionShare;
use super::token_bucket::CustomerBuckets;
use super::traffic_fraction::TrafficFraction;
use super::usage_report::{self, UsageReport, MIN_REPORT_LIFETIME};
use super::Admission;
use crate::interface::{IncomingRequest, Millis, Plan};

/// What is lost if a record is dropped before it has expired, least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RecordValue {
    /// At most some credit: no request of the customer was forwarded, and no usage report has come.
    Unused,
    /// What usage reports have shown, and usage older than the usage estimate covers.
    QuotaUsage,
    /// Usage under a ceiling, which must not be exceeded.
    CeilingUsage,
}

/// The exact record of one customer: its token buckets, its last usage report, and what is derived from it.
#[derive(Clone, Debug)]
pub(super) struct Customer {
    plan_index: usize,
    /// Gateway spread of the customer when the record was created.
    spread: f64,
    last_seen_at: Millis,
    /// End of the time for which a usage report flags the customer; negative infinity if none has.
    flagged_until: Millis,
    report: Option<UsageReport>,
    share: AdmissionShare,
    traffic: TrafficFraction,
    buckets: CustomerBuckets,
    /// Whether a request of the customer was forwarded since the record was created.
    has_forwarded: bool,
}

impl Customer {
    /// Creates a record without a usage report. `spread` is the customer's gateway spread.
    pub(super) fn new(
        plan_index: usize,
        spread: f64,
        traffic: TrafficFraction,
        share: AdmissionShare,
        buckets: CustomerBuckets,
        now: Millis,
    ) -> Self {
        let (last_seen_at, flagged_until) = (now, f64::NEG_INFINITY);
        let (report, has_forwarded) = (None, false);
        Self {
            plan_index,
            spread,
            last_seen_at,
            flagged_until,
            report,
            share,
            traffic,
            buckets,
            has_forwarded,
        }
    }

    pub(super) fn plan_index(&self) -> usize {
        self.plan_index
    }

    /// When the last request of the customer arrived, or the record was created.
    pub(super) fn last_seen_at(&self) -> Millis {
        self.last_seen_at
    }

    /// What is lost if the record is dropped now.
    pub(super) fn value(&self, plan: &Plan, now: Millis) -> RecordValue {
        let uses_ceiling = plan.ceiling_rate > 0.0 && self.has_forwarded;
        if uses_ceiling && !self.buckets.ceiling.is_full_at(plan, self.spread, now) {
            RecordValue::CeilingUsage
        } else if self.has_forwarded || self.report.is_some() {
            RecordValue::QuotaUsage
        } else {
            RecordValue::Unused
        }
    }

    /// Records the arrival of a request, and refills the buckets up to `now`.
    pub(super) fn record_arrival(&mut self, plan: &Plan, fleet_start: &FleetStart, now: Millis) {
        self.last_seen_at = now;
        self.buckets.refill(plan, self.spread, fleet_start, now);
    }

    /// Whether a usage report has shown that the customer's quota is used up, and has not expired since.
    pub(super) fn is_flagged_by_report(&self, now: Millis) -> bool {
        now < self.flagged_until
    }

    /// Checks a request of this flagged customer against its quota. `admission` is the result of the check of
    /// the concurrency limit; it is returned if the quota allows the request.
    pub(super) fn check_quota(
        &mut self,
        request: &IncomingRequest,
        plan: &Plan,
        admission: Admission,
        now: Millis,
    ) -> Admission {
        self.expire_report(plan, f64::from(request.gateway_spread), now);
        // The local bucket shows a sudden burst at once, usage reports only some time later.
        let needed = request.units.min(plan.burst);
        if self.buckets.local.tokens() < needed || plan.burst == 0.0 {
            return Admission::OverQuota;
        }
        if admission == Admission::WithinQuota && !self.share.try_admit(request.is_retry, now) {
            return Admission::OverQuota;
        }
        admission
    }

    /// Whether this gateway's slice of the ceiling has at least `units` left.
    pub(super) fn ceiling_allows(&self, units: f64) -> bool {
        self.buckets.ceiling.tokens() >= units
    }

    /// Takes the units of a forwarded request from the ceiling bucket and, within quota, from the local one.
    pub(super) fn record_request(&mut self, units: f64, admission: Admission) {
        self.has_forwarded = true;
        self.buckets.ceiling.take(units);
        if admission == Admission::WithinQuota {
            self.buckets.local.take(units / self.traffic.fraction());
            self.traffic.record_units(units);
            self.share.spend_credit();
        }
    }

    /// Processes a usage report, in `percent` of the rate. `period` is the length of a metered period, of
    /// which only the first report counts.
    pub(super) fn record_usage_report(&mut self, percent: f64, period: Millis, plan: &Plan, now: Millis) {
        let elapsed = self.report.map_or(period, |report| now - report.received_at);
        if self.report.is_some_and(|report| report.is_same_period(percent, elapsed, period)) {
            return;
        }
        let is_first = self.report.replace(UsageReport { received_at: now, percent }).is_none();
        self.update_traffic(percent, elapsed, is_first, plan);
        self.buckets.metered.apply_report(plan, elapsed.min(MIN_REPORT_LIFETIME), percent);
        let exhausted = self.buckets.metered.is_empty();
        if percent > 100.0 && exhausted {
            self.flagged_until = now + usage_report::lifetime(plan, self.spread);
        }
        // A burst that the quota still allows must not reduce the share.
        if percent <= 100.0 || exhausted {
            self.share.apply_report(percent, period, now);
        }
    }

    /// Whether the record can be dropped without loss: its buckets are full and its last report has expired.
    pub(super) fn is_expired(&self, plan: &Plan, now: Millis) -> bool {
        let refill_time = |burst: f64, rate: f64| if rate > 0.0 { 1000.0 * burst / rate } else { 0.0 };
        let full_after = refill_time(plan.burst, plan.rate)
            .max(refill_time(plan.ceiling_burst, plan.ceiling_rate))
            .max(usage_report::lifetime(plan, self.spread));
        now >= self.last_seen_at + full_after
    }

    /// Updates the estimate of this gateway's traffic fraction from a usage report that covers `elapsed`.
    fn update_traffic(&mut self, percent: f64, elapsed: Millis, is_first_report: bool, plan: &Plan) {
        let metered = percent / 100.0 * plan.rate * elapsed / 1000.0;
        let previous = self.traffic.fraction();
        self.traffic.record_metered_units(metered, self.spread);
        if is_first_report && self.share.is_reduced() {
            // The units forwarded so far were divided by an assumed fraction. This matters for a wide spread:
            // only then is the share reduced before the first report.
            self.buckets.local.rescale_used(plan.burst, previous, self.traffic.fraction());
        }
    }

    /// Drops a report that is no longer valid, and resets the share that it set.
    fn expire_report(&mut self, plan: &Plan, spread: f64, now: Millis) {
        let lifetime = usage_report::lifetime(plan, spread);
        if self.report.is_some_and(|report| now > report.received_at + lifetime) {
            self.report = None;
            self.share.reset(now);
        }
    }
}
