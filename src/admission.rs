//! Admission control: whether a request is within its customer's quota, concurrency limit and ceiling.
//!
//! This module owns what is counted for each plan and each tracked customer. It knows nothing of endpoints
//! and does not decide what becomes of a request over quota: the gateway weighs that against the plan's
//! costs.

mod customer;
mod initial_ceiling;
mod share;
mod token_bucket;
mod traffic_fraction;
mod usage_history;
mod usage_report;

use crate::interface::{AttemptResult, IncomingRequest, Millis, Outcome, Settings};
use customer::Customer;
use initial_ceiling::InitialCeiling;
use share::AdmissionShare;
use std::collections::BTreeMap;
use std::sync::Arc;
use token_bucket::CustomerBuckets;
use traffic_fraction::TrafficFraction;
use usage_history::PlanUsage;

/// Whether a request is within what its customer may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Within quota and ceiling.
    WithinQuota,
    /// Beyond the quota or the concurrency limit.
    OverQuota,
    /// It would exceed the ceiling.
    CeilingReached,
}

/// Holds customers to the quotas of their plans.
pub(crate) struct AdmissionController {
    settings: Arc<Settings>,
    /// Usage of all customers, by plan.
    plans: Vec<PlanUsage>,
    /// Exact records of customers that are flagged or have a ceiling.
    customers: BTreeMap<Arc<str>, Customer>,
    initial_ceiling: InitialCeiling,
}

impl AdmissionController {
    /// A controller that has seen no request.
    pub(crate) fn new(settings: Arc<Settings>, rng: &mut fastrand::Rng) -> Self {
        let plans = settings.plans.iter().map(|_| PlanUsage::new(rng)).collect();
        Self { settings, plans, customers: BTreeMap::new(), initial_ceiling: InitialCeiling::default() }
    }

    /// Notes when the gateway started.
    pub(crate) fn start(&mut self, now: Millis) {
        self.initial_ceiling.start(now);
    }

    /// Number of customers with an exact record.
    pub(crate) fn tracked_customers(&self) -> usize {
        self.customers.len()
    }

    /// Whether a request is within its customer's quota and ceiling.
    pub(crate) fn check(
        &mut self,
        request: &IncomingRequest,
        plan: usize,
        now: Millis,
        rng: &mut fastrand::Rng,
    ) -> Admission {
        let at_limit = self.at_concurrency_limit(request, plan);
        let mut admission = if at_limit { Admission::OverQuota } else { Admission::WithinQuota };
        let exceeds_slice = self.check_usage(request, plan, now, rng);
        let limits = &self.settings.plans[plan];
        let Some(customer) = self.customers.get_mut(&request.customer) else { return admission };
        customer.touch(limits, now);
        if exceeds_slice || (limits.rate > 0.0 && customer.is_flagged(now)) {
            admission = customer.check_quota(request, limits, admission, now);
        }
        // Only this gateway's slice of the ceiling counts, so that gateways need not know of each other.
        if limits.ceiling_rate > 0.0 && !customer.ceiling_allows(request.units) {
            return Admission::CeilingReached;
        }
        admission
    }

    /// Counts the units of a request when its first attempt is forwarded.
    pub(crate) fn record_request(&mut self, request: &IncomingRequest, plan: usize, admission: Admission) {
        self.plans[plan].record_units(&request.customer, request.units);
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.record_request(request.units, admission);
        }
    }

    /// Counts an attempt as in flight.
    pub(crate) fn record_attempt(&mut self, request: &IncomingRequest, plan: usize) {
        self.plans[plan].attempt_started(&request.customer);
    }

    /// An attempt is no longer in flight; takes in the usage report that came with its response, if any.
    pub(crate) fn record_result(
        &mut self,
        request: &IncomingRequest,
        plan: usize,
        result: &AttemptResult,
        now: Millis,
        rng: &mut fastrand::Rng,
    ) {
        self.plans[plan].attempt_finished(&request.customer);
        match result.usage_percent {
            Some(percent) => {
                self.initial_ceiling.record_report();
                self.record_usage_report(request, plan, percent, now, rng);
            }
            // A report that cannot be used still shows that the meter is running.
            None if result.has_usage_report => self.initial_ceiling.record_report(),
            None if result.outcome == Outcome::Success => self.record_response_without_report(),
            None => {}
        }
    }

    /// Drops the records of customers whose buckets have refilled and whose last usage report has expired.
    pub(crate) fn prune(&mut self, now: Millis) {
        let plans = &self.settings.plans;
        self.customers.retain(|_, customer| !customer.is_expired(&plans[customer.plan()], now));
    }

    fn at_concurrency_limit(&self, request: &IncomingRequest, plan: usize) -> bool {
        let spread = f64::from(request.gateway_spread);
        self.plans[plan].at_concurrency_limit(&request.customer, &self.settings.plans[plan], spread)
    }

    /// Whether a request and its customer's recent usage exceed the even slice of the quota: the burst, split
    /// over the gateways through which its requests may come. Such a customer is flagged and gets an exact
    /// record.
    fn check_usage(
        &mut self,
        request: &IncomingRequest,
        plan: usize,
        now: Millis,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let limits = &self.settings.plans[plan];
        let has_ceiling = limits.ceiling_rate > 0.0;
        let (mut usage, mut exceeds_slice) = (0.0, false);
        if limits.rate > 0.0 {
            usage = self.plans[plan].recent(&request.customer, limits, now);
            exceeds_slice = usage + request.units > limits.burst / f64::from(request.gateway_spread);
        }
        // Only flagged customers and those under a ceiling are tracked: a scan by many must not fill memory.
        if exceeds_slice || has_ceiling {
            self.track(request, plan, usage, now, rng);
        }
        exceeds_slice
    }

    /// Takes in a usage report of the meter: the use at all gateways in the last period, in percent of the
    /// rate.
    fn record_usage_report(
        &mut self,
        request: &IncomingRequest,
        plan: usize,
        percent: f64,
        now: Millis,
        rng: &mut fastrand::Rng,
    ) {
        let limits = &self.settings.plans[plan];
        let Some(period) = self.settings.usage_report_period.filter(|_| limits.rate > 0.0) else { return };
        // Excess that is spread under the even slice of each gateway is seen by the meter alone.
        if percent > 100.0 && !self.customers.contains_key(&request.customer) {
            let usage = self.plans[plan].recent(&request.customer, limits, now);
            self.track(request, plan, usage, now, rng);
        }
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.record_usage_report(percent, period, &self.settings.plans[plan], now);
        }
    }

    /// Takes in a successful response without a usage report. Enough of them, and no report, show that no
    /// earlier incarnation of this gateway can have emptied a ceiling bucket.
    fn record_response_without_report(&mut self) {
        let has_meter = self.settings.usage_report_period.is_some();
        let Some(fill) = self.initial_ceiling.record_response_without_report(has_meter) else { return };
        for customer in self.customers.values_mut() {
            customer.fill_ceiling(fill, &self.settings.plans[customer.plan()]);
        }
    }

    /// Makes an exact record of a customer that has none, from its estimated recent usage.
    fn track(
        &mut self,
        request: &IncomingRequest,
        plan: usize,
        usage: f64,
        now: Millis,
        rng: &mut fastrand::Rng,
    ) {
        if self.customers.contains_key(&request.customer) {
            return;
        }
        let limits = &self.settings.plans[plan];
        let spread = f64::from(request.gateway_spread);
        let traffic = TrafficFraction::new(limits, spread);
        let share = AdmissionShare::new(&self.settings, limits, spread, traffic.fraction(), rng);
        let ceiling = self.initial_ceiling.tokens(limits, now) / spread;
        let buckets = CustomerBuckets::new(limits, usage, traffic.fraction(), ceiling, now);
        let customer = Customer::new(plan, spread, traffic, share, buckets, now);
        self.customers.insert(request.customer.clone(), customer);
    }
}
