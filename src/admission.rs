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
    plan_usage: Vec<PlanUsage>,
    /// Exact records of customers that are flagged or have a ceiling.
    customers: BTreeMap<Arc<str>, Customer>,
    initial_ceiling: InitialCeiling,
}

impl AdmissionController {
    /// A controller that has seen no request.
    pub(crate) fn new(settings: Arc<Settings>, rng: &mut fastrand::Rng) -> Self {
        let plan_usage = settings.plans.iter().map(|_| PlanUsage::new(rng)).collect();
        Self { settings, plan_usage, customers: BTreeMap::new(), initial_ceiling: InitialCeiling::default() }
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
        plan_index: usize,
        now: Millis,
        rng: &mut fastrand::Rng,
    ) -> Admission {
        let at_limit = self.at_concurrency_limit(request, plan_index);
        let mut admission = if at_limit { Admission::OverQuota } else { Admission::WithinQuota };
        let exceeds_slice = self.check_usage_estimate(request, plan_index, now, rng);
        let plan = &self.settings.plans[plan_index];
        let Some(customer) = self.customers.get_mut(&request.customer) else { return admission };
        customer.record_arrival(plan, now);
        if exceeds_slice || (plan.rate > 0.0 && customer.is_flagged(now)) {
            admission = customer.check_quota(request, plan, admission, now);
        }
        // Only this gateway's slice of the ceiling counts, so that gateways need not know of each other.
        if plan.ceiling_rate > 0.0 && !customer.ceiling_allows(request.units) {
            return Admission::CeilingReached;
        }
        admission
    }

    /// Counts the units of a request when its first attempt is forwarded.
    pub(crate) fn record_request(
        &mut self,
        request: &IncomingRequest,
        plan_index: usize,
        admission: Admission,
    ) {
        self.plan_usage[plan_index].record_units(&request.customer, request.units);
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.record_request(request.units, admission);
        }
    }

    /// Counts an attempt as in flight.
    pub(crate) fn record_attempt(&mut self, request: &IncomingRequest, plan_index: usize) {
        self.plan_usage[plan_index].attempt_started(&request.customer);
    }

    /// An attempt is no longer in flight; takes in the usage report that came with its response, if any.
    pub(crate) fn record_result(
        &mut self,
        request: &IncomingRequest,
        plan_index: usize,
        result: &AttemptResult,
        now: Millis,
        rng: &mut fastrand::Rng,
    ) {
        self.plan_usage[plan_index].attempt_finished(&request.customer);
        match result.usage_percent {
            Some(percent) => {
                self.initial_ceiling.record_report();
                self.record_usage_report(request, plan_index, percent, now, rng);
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
        self.customers.retain(|_, customer| !customer.is_expired(&plans[customer.plan_index()], now));
    }

    fn at_concurrency_limit(&self, request: &IncomingRequest, plan_index: usize) -> bool {
        let spread = f64::from(request.gateway_spread);
        self.plan_usage[plan_index].at_concurrency_limit(
            &request.customer,
            &self.settings.plans[plan_index],
            spread,
        )
    }

    /// Whether a request and its customer's recent usage exceed the even slice of the quota: the burst, split
    /// over the gateways through which its requests may come. Such a customer is flagged and gets an exact
    /// record.
    fn check_usage_estimate(
        &mut self,
        request: &IncomingRequest,
        plan_index: usize,
        now: Millis,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let plan = &self.settings.plans[plan_index];
        let has_ceiling = plan.ceiling_rate > 0.0;
        let (mut usage_estimate, mut exceeds_slice) = (0.0, false);
        if plan.rate > 0.0 {
            usage_estimate = self.plan_usage[plan_index].recent_usage(&request.customer, plan, now);
            exceeds_slice = usage_estimate + request.units > plan.burst / f64::from(request.gateway_spread);
        }
        // Only flagged customers and those under a ceiling are tracked: a scan by many must not fill memory.
        if exceeds_slice || has_ceiling {
            self.ensure_tracked(request, plan_index, usage_estimate, now, rng);
        }
        exceeds_slice
    }

    /// Takes in a usage report of the meter: the use at all gateways in the last period, in percent of the
    /// rate.
    fn record_usage_report(
        &mut self,
        request: &IncomingRequest,
        plan_index: usize,
        percent: f64,
        now: Millis,
        rng: &mut fastrand::Rng,
    ) {
        let plan = &self.settings.plans[plan_index];
        let Some(period) = self.settings.usage_report_period.filter(|_| plan.rate > 0.0) else { return };
        // Excess that is spread under the even slice of each gateway is seen by the meter alone.
        if percent > 100.0 && !self.customers.contains_key(&request.customer) {
            let usage_estimate = self.plan_usage[plan_index].recent_usage(&request.customer, plan, now);
            self.ensure_tracked(request, plan_index, usage_estimate, now, rng);
        }
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.record_usage_report(percent, period, &self.settings.plans[plan_index], now);
        }
    }

    /// Takes in a successful response without a usage report. Enough of them, and no report, show that no
    /// earlier incarnation of this gateway can have emptied a ceiling bucket.
    fn record_response_without_report(&mut self) {
        let has_meter = self.settings.usage_report_period.is_some();
        let Some(fill) = self.initial_ceiling.record_response_without_report(has_meter) else { return };
        for customer in self.customers.values_mut() {
            customer.fill_ceiling(fill, &self.settings.plans[customer.plan_index()]);
        }
    }

    /// Makes an exact record of a customer that has none, from its estimated recent usage.
    fn ensure_tracked(
        &mut self,
        request: &IncomingRequest,
        plan_index: usize,
        usage_estimate: f64,
        now: Millis,
        rng: &mut fastrand::Rng,
    ) {
        if self.customers.contains_key(&request.customer) {
            return;
        }
        let plan = &self.settings.plans[plan_index];
        let spread = f64::from(request.gateway_spread);
        let traffic = TrafficFraction::new(plan, spread);
        let share = AdmissionShare::new(&self.settings, plan, spread, traffic.fraction(), rng);
        let ceiling = self.initial_ceiling.tokens(plan, now) / spread;
        let buckets = CustomerBuckets::new(plan, usage_estimate, traffic.fraction(), ceiling, now);
        let customer = Customer::new(plan_index, spread, traffic, share, buckets, now);
        self.customers.insert(request.customer.clone(), customer);
    }
}
