//! Admission control: whether a request is within its customer's quota, concurrency limit and ceiling.
//!
//! [`AdmissionController`] counts usage by plan, and keeps an exact record of each tracked customer. It knows
//! nothing about endpoints. Whether a request over quota is served is decided by the gateway, which compares
//! what the plan earns for it with what it costs.
//!
//! A gateway's even slice of a limit is the limit divided by the customer's gateway spread.
//!
//! Only requests of a flagged customer are checked against its quota. The usage estimate is the number of
//! units that this gateway has recently forwarded for a customer. If a request and this estimate together
//! exceed the even slice of the burst, the customer is flagged for that request. If a usage report shows that
//! its quota is used up, it is flagged for the lifetime of the report.

mod ceiling_bucket;
mod customer;
mod customer_table;
mod fleet_start;
mod share;
mod token_bucket;
mod traffic_fraction;
mod usage_history;
mod usage_report;

use crate::interface::{AttemptResult, IncomingRequest, Millis, Outcome, Settings};
use customer::Customer;
use customer_table::CustomerTable;
use fleet_start::FleetStart;
use share::AdmissionShare;
use std::sync::Arc;
use token_bucket::CustomerBuckets;
use traffic_fraction::TrafficFraction;
use usage_history::PlanUsage;

/// Result of the admission check of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Within the quota, the concurrency limit and the ceiling.
    WithinQuota,
    /// Over the quota or the concurrency limit.
    OverQuota,
    /// The request would exceed the ceiling.
    CeilingReached,
}

/// The estimated usage of a request's customer at this gateway.
#[derive(Clone, Copy, Debug)]
struct EstimatedUsage {
    /// Units that this gateway has recently forwarded for the customer.
    estimate: f64,
    /// Whether the estimate and the request together exceed this gateway's even slice of the burst.
    exceeds_slice: bool,
}

/// Checks requests against the quotas and ceilings of their customers' plans.
pub(crate) struct AdmissionController {
    settings: Arc<Settings>,
    /// Usage of all customers of a plan, by the plan's index in the settings.
    plan_usage: Vec<PlanUsage>,
    /// Exact records of the tracked customers: those that were flagged, were reported above their rate, or
    /// have a ceiling.
    customers: CustomerTable,
    fleet_start: FleetStart,
}

impl AdmissionController {
    /// Creates a controller that has counted no request; `rng` seeds the hashes of its usage counts.
    pub(crate) fn new(settings: Arc<Settings>, rng: &mut fastrand::Rng) -> Self {
        let plan_usage = settings.plans.iter().map(|_| PlanUsage::new(rng)).collect();
        let customers = CustomerTable::new(settings.max_tracked_customers);
        let fleet_start = FleetStart::new(settings.usage_report_period);
        Self { settings, plan_usage, customers, fleet_start }
    }

    /// Records the time at which the gateway starts.
    pub(crate) fn set_started_at(&mut self, now: Millis) {
        self.fleet_start.set_started_at(now);
    }

    /// Number of customers that have an exact record.
    pub(crate) fn tracked_customers(&self) -> usize {
        self.customers.len()
    }

    /// Checks a request against its customer's quota, concurrency limit and ceiling.
    pub(crate) fn check(
        &mut self,
        request: &IncomingRequest,
        plan_index: usize,
        now: Millis,
        rng: &mut fastrand::Rng,
    ) -> Admission {
        self.fleet_start.record_request(now);
        let at_limit = self.at_concurrency_limit(request, plan_index);
        let mut admission = if at_limit { Admission::OverQuota } else { Admission::WithinQuota };
        let usage = self.check_usage_estimate(request, plan_index, now);
        let has_ceiling = self.settings.plans[plan_index].ceiling_rate > 0.0;
        // Other customers get no record, so that requests from many customers cannot fill the memory.
        let needs_record = usage.exceeds_slice || has_ceiling;
        if needs_record && !self.ensure_tracked(request, plan_index, usage.estimate, now, rng) {
            return if has_ceiling { Admission::CeilingReached } else { Admission::OverQuota };
        }
        let plan = &self.settings.plans[plan_index];
        let Some(customer) = self.customers.get_mut(&request.customer) else { return admission };
        customer.record_arrival(plan, &self.fleet_start, now);
        if usage.exceeds_slice || (plan.rate > 0.0 && customer.is_flagged_by_report(now)) {
            admission = customer.check_quota(request, plan, admission, now);
        }
        // Checks only this gateway's slice of the ceiling, so that gateways need not coordinate.
        if has_ceiling && !customer.ceiling_allows(request.units) {
            return Admission::CeilingReached;
        }
        admission
    }

    /// Counts the units of a request when its first attempt is forwarded; `admission` is the result of its
    /// check.
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

    /// Counts an attempt of the request as in flight.
    pub(crate) fn record_attempt(&mut self, request: &IncomingRequest, plan_index: usize) {
        self.plan_usage[plan_index].attempt_started(&request.customer);
    }

    /// Counts an attempt as no longer in flight, and processes the usage report of its response, if any.
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
                self.fleet_start.record_report();
                self.record_usage_report(request, plan_index, percent, now, rng);
            }
            // An unusable report still shows that the meter is running.
            None if result.has_usage_report => self.fleet_start.record_report(),
            None if result.outcome == Outcome::Success => {
                self.fleet_start.record_response_without_report(now - result.elapsed);
            }
            None => {}
        }
    }

    /// Drops the records of customers whose buckets have refilled and whose last usage report has expired.
    pub(crate) fn prune_customers(&mut self, now: Millis) {
        self.customers.prune(&self.settings.plans, now);
    }

    fn at_concurrency_limit(&self, request: &IncomingRequest, plan_index: usize) -> bool {
        let spread = f64::from(request.gateway_spread);
        self.plan_usage[plan_index].at_concurrency_limit(
            &request.customer,
            &self.settings.plans[plan_index],
            spread,
        )
    }

    /// Estimates the usage of a request's customer, and checks whether it exceeds this gateway's even slice
    /// of the burst together with the request, which flags the customer for this request.
    fn check_usage_estimate(
        &mut self,
        request: &IncomingRequest,
        plan_index: usize,
        now: Millis,
    ) -> EstimatedUsage {
        let plan = &self.settings.plans[plan_index];
        if plan.rate <= 0.0 {
            return EstimatedUsage { estimate: 0.0, exceeds_slice: false };
        }
        let estimate = self.plan_usage[plan_index].recent_usage(&request.customer, plan, now);
        let exceeds_slice = estimate + request.units > plan.burst / f64::from(request.gateway_spread);
        EstimatedUsage { estimate, exceeds_slice }
    }

    /// Processes a usage report: the customer's usage at all gateways in the last period, in `percent` of the
    /// plan's rate.
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
        // Such usage may stay within the even slice at each gateway, and then only reports show it.
        if percent > 100.0 && !self.customers.contains(&request.customer) {
            let usage_estimate = self.plan_usage[plan_index].recent_usage(&request.customer, plan, now);
            self.ensure_tracked(request, plan_index, usage_estimate, now, rng);
        }
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.record_usage_report(percent, period, &self.settings.plans[plan_index], now);
        }
    }

    /// Creates the exact record of the request's customer, based on its usage estimate, if it has none.
    /// Returns whether it has one: not if the maximum number of records is reached and all are needed.
    fn ensure_tracked(
        &mut self,
        request: &IncomingRequest,
        plan_index: usize,
        usage_estimate: f64,
        now: Millis,
        rng: &mut fastrand::Rng,
    ) -> bool {
        if self.customers.contains(&request.customer) {
            return true;
        }
        if !self.customers.make_room(&self.settings.plans, now) {
            return false;
        }
        let plan = &self.settings.plans[plan_index];
        let spread = f64::from(request.gateway_spread);
        let traffic = TrafficFraction::new(plan, spread);
        let share = AdmissionShare::new(&self.settings, plan, spread, traffic.fraction(), rng);
        let fleet_start = &self.fleet_start;
        let buckets =
            CustomerBuckets::new(plan, spread, usage_estimate, traffic.fraction(), fleet_start, now);
        let customer = Customer::new(plan_index, spread, traffic, share, buckets, now);
        self.customers.insert(request.customer.clone(), customer);
        true
    }
}
