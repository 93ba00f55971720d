//! Arrival of a request: it is either forwarded or rejected at once.

use super::Gateway;
use crate::admission::Admission;
use crate::interface::{Action, IncomingRequest, Millis, RejectReason, RequestId};
use crate::load_balancing::Candidate;
use crate::request::Request;

/// Retry-After of a rejection, as a fraction of the time left to the latency objective or, if that is
/// earlier, the deadline.
const RETRY_AFTER_FRACTION: f64 = 0.25;

impl Gateway {
    /// Checks a new request's quota, selects an endpoint and forwards the first attempt.
    pub(super) fn receive_request(&mut self, mut incoming: IncomingRequest, actions: &mut Vec<Action>) {
        incoming.gateway_spread = incoming.gateway_spread.clamp(1, self.settings.gateways);
        let id = incoming.id.clone();
        if self.requests.contains_key(&id) {
            return;
        }
        let Some((class_index, plan_index)) = self.classify(&incoming) else {
            let reason = RejectReason::UnknownClassOrPlan;
            actions.push(Action::Reject { request: id, retry_after: 0.0, reason });
            return;
        };
        let latency_objective_at = self.now + self.settings.classes[class_index].latency_objective;
        let request = Request {
            class_index,
            plan_index,
            incoming,
            latency_objective_at,
            attempts: Vec::new(),
            closed: false,
            streaming: false,
        };
        let admission = self.admission.check(&request.incoming, plan_index, self.now, &mut self.rng);
        if let Some(reason) = self.quota_rejection(plan_index, admission) {
            return self.reject(&id, &request, reason, actions);
        }
        let Some(candidate) = self.select_for_first_attempt(&request, admission) else {
            return self.reject(&id, &request, RejectReason::NoCapacity, actions);
        };
        self.admission.record_request(&request.incoming, plan_index, admission);
        self.retry_budget.deposit();
        self.requests.insert(id.clone(), request);
        self.forward(&id, candidate, actions);
    }

    /// Rejects a request; the rejection has a Retry-After if a retry can still meet the latency objective.
    pub(super) fn reject(
        &mut self,
        id: &RequestId,
        request: &Request,
        reason: RejectReason,
        actions: &mut Vec<Action>,
    ) {
        self.housekeeping.record_rejection(reason);
        let retry_after = self.retry_after(request);
        actions.push(Action::Reject { request: id.clone(), retry_after, reason });
    }

    /// Looks up the indices of a request's class and plan; `None` if the settings lack one of them.
    fn classify(&self, incoming: &IncomingRequest) -> Option<(usize, usize)> {
        let class_index = self.settings.classes.iter().position(|class| *class.name == *incoming.class)?;
        let plan_index = self.settings.plans.iter().position(|plan| *plan.name == *incoming.plan)?;
        Some((class_index, plan_index))
    }

    /// Returns why a request is rejected for its quota or ceiling; `None` if it is not. A request over quota
    /// is forwarded if its plan earns more for serving it than forwarding it costs.
    fn quota_rejection(&self, plan_index: usize, admission: Admission) -> Option<RejectReason> {
        let limits = &self.settings.plans[plan_index];
        let worth_serving_over_quota = limits.over_quota_weight > limits.over_quota_cost;
        match admission {
            Admission::CeilingReached => Some(RejectReason::CeilingReached),
            Admission::OverQuota if !worth_serving_over_quota => Some(RejectReason::OverQuota),
            Admission::OverQuota | Admission::WithinQuota => None,
        }
    }

    /// Selects the endpoint for a first attempt; `None` if none has the capacity to serve it in time.
    fn select_for_first_attempt(&mut self, request: &Request, admission: Admission) -> Option<Candidate> {
        let units = request.incoming.units;
        let service_time = self.load_balancer.service_time(request.class_index, units);
        let value = self.settings.classes[request.class_index].priority_weight * units / service_time;
        let is_first_value = self.load_shedder.record_value(value);
        self.load_balancer.record_service_time(service_time, is_first_value);
        let shortest_objective = self.load_balancer.shortest_objective();
        let over_quota = admission == Admission::OverQuota;
        let max_queueing_delay = self.load_shedder.max_queueing_delay(value, over_quota, shortest_objective);
        let remaining = (request.latency_objective_at - self.now).min(request.incoming.deadline - self.now);
        let candidate = self.select_endpoint(request)?;
        let has_capacity = candidate.latency.is_likely_within(remaining)
            && candidate.latency.queueing_delay <= max_queueing_delay;
        has_capacity.then_some(candidate)
    }

    /// Returns the Retry-After of a rejected request; 0 for none. There is none after the latency objective
    /// or the deadline, when a retry would use up quota for nothing.
    fn retry_after(&self, request: &Request) -> Millis {
        let useful_until = request.latency_objective_at.min(request.incoming.deadline);
        let remaining = (useful_until - self.now).max(0.0);
        (remaining * RETRY_AFTER_FRACTION).min(self.settings.max_retry_after.unwrap_or(0.0))
    }
}
