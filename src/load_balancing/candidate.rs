//! Evaluation of an endpoint for a request: whether it can be used at all, and at which expected cost.

use super::endpoint::Endpoint;
use super::latency_estimate::{ExpectedLatency, LatencyInputs};
use super::outlier_detection::MAX_EJECTION;
use super::slow_start;
use super::subset::MAX_FULL_SCAN;
use super::LoadBalancer;
use crate::attempt_policy::{self, EarlierAttempt};
use crate::interface::{EndpointId, Idempotency, Millis};
use crate::request::Request;

/// Latency objectives that crossing zones, or opening a connection, counts for if it costs the full priority
/// weight.
const OBJECTIVES_PER_FULL_COST: f64 = 2.0;
/// Fraction of the idle timeout for which an idle connection is assumed to be open still.
const CONNECTION_LIFETIME_FRACTION: f64 = 0.5;
/// Attempts in flight at which an endpoint is not used as a last resort: it may be down.
const MAX_LAST_RESORT_ATTEMPTS: usize = 2;

/// An endpoint that can be used for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// What the request is to expect there.
    pub(crate) latency: ExpectedLatency,
    /// Requests expected in flight there.
    pub(crate) concurrency: f64,
    /// The present interval, if it is in slow start.
    pub(super) slow_start_interval: Option<u64>,
    /// Whether it is used only if there is no other.
    pub(super) last_resort: bool,
    /// The lower, the better; of a last resort it is a time.
    pub(super) cost: Millis,
}

/// A request for which an endpoint is selected.
#[derive(Clone, Copy)]
pub(super) struct SelectionContext<'a> {
    /// The request.
    pub(super) request: &'a Request,
    /// Its expected service time at an idle endpoint.
    pub(super) service_time: Millis,
    /// The present time.
    pub(super) now: Millis,
}

impl SelectionContext<'_> {
    /// Whether an endpoint is used only if there is no other: it is ejected, has a trial in flight after an
    /// ejection, or has had an attempt of this request.
    fn is_last_resort(&self, id: EndpointId, endpoint: &Endpoint) -> bool {
        let probation_attempt_in_flight = endpoint.outlier.on_probation() && !endpoint.in_flight.is_empty();
        endpoint.outlier.is_ejected(self.now) || probation_attempt_in_flight || self.request.was_sent_to(id)
    }
}

impl LoadBalancer {
    /// Whether the request may be sent to an endpoint although an earlier attempt may have been executed.
    pub(super) fn may_retry(&self, context: &SelectionContext<'_>, endpoint: &Endpoint) -> bool {
        let SelectionContext { request, now, .. } = *context;
        let Some(earlier) = request.first_possibly_executed() else { return true };
        let class = &self.settings.classes[request.class];
        let Some(earlier_endpoint) = self.endpoints.get(&earlier.endpoint) else {
            return class.idempotency == Idempotency::Idempotent;
        };
        let earlier = EarlierAttempt {
            sent_at: earlier.sent_at,
            same_zone: earlier_endpoint.zone == endpoint.zone,
            same_cell: earlier_endpoint.cell == endpoint.cell,
        };
        // An attempt starts when its connection has been established.
        let starts_by = now + self.settings.connect_timeout;
        attempt_policy::may_retry(class, earlier, starts_by).is_ok()
    }

    /// Evaluates an endpoint for the request; `None` if it cannot be used.
    pub(super) fn evaluate(
        &self,
        context: &SelectionContext<'_>,
        id: EndpointId,
        endpoint: &Endpoint,
    ) -> Option<Candidate> {
        let SelectionContext { request, now, .. } = *context;
        let capacity = endpoint.slow_start.capacity(&self.settings, now);
        let slow_start_interval = if slow_start::limits_requests(&self.settings, capacity) {
            Some(self.slow_start_interval(context, id, endpoint)?)
        } else {
            None
        };
        let concurrency = self.expected_concurrency(endpoint, capacity, now);
        let latency = self.expected_latency(context, endpoint, capacity, concurrency);
        let last_resort = context.is_last_resort(id, endpoint);
        let cost = if last_resort {
            self.last_resort_cost(request, id, endpoint)?
        } else {
            self.cost(context, endpoint, latency, slow_start_interval.is_some())?
        };
        Some(Candidate { endpoint: id, latency, concurrency, slow_start_interval, last_resort, cost })
    }

    /// The expected cost of sending the request to an endpoint; `None` if its class must not be used for a
    /// trial.
    fn cost(
        &self,
        context: &SelectionContext<'_>,
        endpoint: &Endpoint,
        latency: ExpectedLatency,
        in_slow_start: bool,
    ) -> Option<Millis> {
        let SelectionContext { request, now, .. } = *context;
        let class = &self.settings.classes[request.class];
        if endpoint.outlier.on_probation() && class.idempotency == Idempotency::NotIdempotent {
            return None;
        }
        let zone_cost = self.zone_cost(endpoint, class.latency_objective, now);
        // The quota of an interval expires unused, so it is used whenever the response is likely in time.
        if in_slow_start && latency.fits(request.latency_objective_at - now) {
            return Some(zone_cost);
        }
        Some(latency.total + zone_cost + self.connect_cost(endpoint, class.latency_objective, now))
    }

    /// The interval of its slow start in which an endpoint may be sent the request now.
    fn slow_start_interval(
        &self,
        context: &SelectionContext<'_>,
        id: EndpointId,
        endpoint: &Endpoint,
    ) -> Option<u64> {
        let service_time = context.service_time.max(self.service_times.mean());
        endpoint.slow_start.interval_for_request(
            id,
            &self.settings,
            service_time,
            self.started_at,
            context.now,
        )
    }

    /// Requests expected in flight at an endpoint. Without a load report, all gateways are assumed
    /// to send at the same rate.
    fn expected_concurrency(&self, endpoint: &Endpoint, capacity: f64, now: Millis) -> f64 {
        let other_gateways_in_flight = self.concurrency.other_gateways_in_flight(self.settings.gateways);
        let assumed = capacity * other_gateways_in_flight / self.subset.ready_endpoints().max(1) as f64;
        let reported = endpoint.reported_load.estimate(assumed, self.shortest_objective, now);
        endpoint.in_flight.len() as f64 + reported
    }

    /// What the request is to expect at an endpoint.
    fn expected_latency(
        &self,
        context: &SelectionContext<'_>,
        endpoint: &Endpoint,
        capacity: f64,
        concurrency: f64,
    ) -> ExpectedLatency {
        let mut expected = endpoint.latency.expected(&LatencyInputs {
            service_time: context.service_time,
            mean_service_time: self.service_times.mean(),
            capacity,
            concurrency,
            time_since_response: context.now - endpoint.last_response_at,
            shortest_objective: self.shortest_objective,
        });
        // A silent endpoint is at least as slow as its silence is long.
        expected.total = expected.total.max(endpoint.unresponsive_for(context.now));
        expected
    }

    /// Of the last resorts, the one whose ejection ends first is the best; `None` if it has too many attempts
    /// in flight.
    fn last_resort_cost(&self, request: &Request, id: EndpointId, endpoint: &Endpoint) -> Option<Millis> {
        if endpoint.in_flight.len() >= MAX_LAST_RESORT_ATTEMPTS {
            return None;
        }
        let penalty = if request.was_sent_to(id) { MAX_EJECTION * self.shortest_objective } else { 0.0 };
        Some(endpoint.outlier.ejected_until() + penalty)
    }

    /// The cost of crossing zones, and of recent failures in the endpoint's zone.
    fn zone_cost(&self, endpoint: &Endpoint, objective: Millis, now: Millis) -> Millis {
        let is_local = *endpoint.zone == *self.settings.zone;
        let crossing = if is_local { 0.0 } else { self.settings.cross_zone_cost };
        let failure_rate = self.zones.failure_rate(&endpoint.zone, self.shortest_objective, now);
        objective * (OBJECTIVES_PER_FULL_COST * crossing + failure_rate)
    }

    /// The cost of opening a connection: none if an idle one is open, or in a large fleet, where the rotation
    /// uses each connection again in time.
    fn connect_cost(&self, endpoint: &Endpoint, objective: Millis, now: Millis) -> Millis {
        let idle_timeout = self.settings.idle_timeout.unwrap_or(f64::INFINITY);
        let lifetime = CONNECTION_LIFETIME_FRACTION * idle_timeout;
        let is_open = endpoint.connections.has_idle(endpoint.in_flight.len(), now)
            && now < endpoint.last_response_at + lifetime;
        if is_open || self.endpoints.len() > MAX_FULL_SCAN {
            0.0
        } else {
            objective * OBJECTIVES_PER_FULL_COST * self.settings.handshake_cost
        }
    }
}
