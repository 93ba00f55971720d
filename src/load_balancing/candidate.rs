//! Evaluation of one endpoint for a request: whether the endpoint can be used, and the expected cost.

use super::endpoint::Endpoint;
use super::latency_estimate::{ExpectedLatency, LatencyInputs};
use super::outlier_detection::MAX_EJECTION;
use super::slow_start;
use super::subset::MAX_FULL_SCAN;
use super::LoadBalancer;
use crate::attempt_policy::{self, EarlierAttempt};
use crate::interface::{EndpointId, Idempotency, Millis};
use crate::request::Request;

/// A cost as high as the full priority weight counts as a delay of this many latency objectives of the class.
/// Converts the costs of crossing zones and of opening a connection to delays.
const OBJECTIVES_PER_FULL_COST: f64 = 2.0;
/// Fraction of the idle timeout for which an idle connection is assumed to stay open.
const CONNECTION_LIFETIME_FRACTION: f64 = 0.5;
/// Attempts in flight at which an endpoint is no longer used even as a last resort: it may be down.
const MAX_LAST_RESORT_ATTEMPTS: usize = 2;

/// An endpoint that can be used for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// The endpoint to which an attempt would be sent.
    pub(crate) endpoint: EndpointId,
    /// Expected time from the start of the attempt to the response, which includes queueing.
    pub(crate) latency: ExpectedLatency,
    /// Expected number of other requests in flight at the endpoint, from all gateways.
    pub(crate) expected_concurrency: f64,
    /// Index of the interval of [slow start](super::slow_start) in which the request is counted; `None` if
    /// slow start does not limit the requests to the endpoint.
    pub(super) slow_start_interval: Option<u64>,
    /// Whether the endpoint is a last resort, used only if no other can be. It is one if it is ejected, is on
    /// probation with an attempt in flight, or was selected for an earlier attempt of the request.
    pub(super) last_resort: bool,
    /// Expected cost, as a delay: the candidate with the lowest is selected. The cost of a last resort
    /// follows from the time at which its ejection ends, and is compared only with those of other ones.
    pub(super) cost: Millis,
}

/// The request for which an endpoint is selected, and when.
#[derive(Clone, Copy)]
pub(super) struct SelectionContext<'a> {
    pub(super) request: &'a Request,
    /// Expected service time of the request at an endpoint of average speed without other requests.
    pub(super) service_time: Millis,
    pub(super) now: Millis,
}

impl SelectionContext<'_> {
    /// Whether an endpoint is a last resort for the request; see [`Candidate::last_resort`].
    fn is_last_resort(&self, id: EndpointId, endpoint: &Endpoint) -> bool {
        let probation_attempt_in_flight = endpoint.outlier.on_probation() && !endpoint.in_flight.is_empty();
        endpoint.outlier.is_ejected(self.now) || probation_attempt_in_flight || self.request.was_sent_to(id)
    }
}

impl LoadBalancer {
    /// Whether the request may be sent to this endpoint, given its attempts that may have been executed.
    pub(super) fn may_retry(&self, context: &SelectionContext<'_>, endpoint: &Endpoint) -> bool {
        let SelectionContext { request, now, .. } = *context;
        let Some(earlier) = request.first_possibly_executed() else { return true };
        let class = &self.settings.classes[request.class_index];
        let Some(location) = &earlier.location else {
            return class.idempotency == Idempotency::Idempotent;
        };
        let earlier = EarlierAttempt {
            sent_at: earlier.forwarded_at,
            same_zone: location.zone == endpoint.zone,
            same_cell: location.cell == endpoint.cell,
        };
        // An attempt starts when its connection has been established.
        let starts_by = now + self.settings.connect_timeout;
        attempt_policy::check_retry(class, earlier, starts_by).is_ok()
    }

    /// Evaluates an endpoint for the request. Returns `None` if it cannot be used.
    pub(super) fn evaluate(
        &self,
        context: &SelectionContext<'_>,
        id: EndpointId,
        endpoint: &Endpoint,
    ) -> Option<Candidate> {
        let SelectionContext { request, now, .. } = *context;
        let min_capacity_fraction = endpoint.slow_start.min_capacity_fraction(&self.settings, now);
        let slow_start_interval = if slow_start::limits_requests(&self.settings, min_capacity_fraction) {
            Some(self.slow_start_interval(context, id, endpoint)?)
        } else {
            None
        };
        let expected_concurrency = self.expected_concurrency(endpoint, min_capacity_fraction, now);
        let latency = self.expected_latency(context, endpoint, min_capacity_fraction, expected_concurrency);
        let last_resort = context.is_last_resort(id, endpoint);
        let cost = if last_resort {
            self.last_resort_cost(request, id, endpoint)?
        } else {
            self.cost(context, endpoint, latency, slow_start_interval.is_some())?
        };
        Some(Candidate {
            endpoint: id,
            latency,
            expected_concurrency,
            slow_start_interval,
            last_resort,
            cost,
        })
    }

    /// Returns the expected cost of sending the request to an endpoint; `None` if the endpoint is on
    /// probation and the request is not idempotent.
    fn cost(
        &self,
        context: &SelectionContext<'_>,
        endpoint: &Endpoint,
        latency: ExpectedLatency,
        in_slow_start: bool,
    ) -> Option<Millis> {
        let SelectionContext { request, now, .. } = *context;
        let class = &self.settings.classes[request.class_index];
        if endpoint.outlier.on_probation() && class.idempotency == Idempotency::NotIdempotent {
            return None;
        }
        let zone_cost = self.zone_cost(endpoint, class.latency_objective, now);
        // What slow start allows in an interval cannot be used after it. Latency therefore does not count as
        // long as the response is likely to be in time.
        if in_slow_start && latency.is_likely_within(request.latency_objective_at - now) {
            return Some(zone_cost);
        }
        Some(latency.total + zone_cost + self.connect_cost(endpoint, class.latency_objective, now))
    }

    /// Returns the index of the endpoint's current interval of [slow start](super::slow_start); `None` if
    /// this gateway may not send the request in it.
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

    /// Returns the expected number of requests of all gateways in flight at an endpoint. Without a load
    /// report, each other gateway is assumed to have as many in flight as this one, spread evenly over the
    /// ready endpoints, and fewer at an endpoint in slow start.
    fn expected_concurrency(&self, endpoint: &Endpoint, min_capacity_fraction: f64, now: Millis) -> f64 {
        let other_gateways_in_flight = self.concurrency.other_gateways_in_flight(self.settings.gateways);
        let assumed =
            min_capacity_fraction * other_gateways_in_flight / self.subset.ready_endpoints().max(1) as f64;
        let reported = endpoint.reported_load.estimate(assumed, self.shortest_objective, now);
        endpoint.in_flight.len() as f64 + reported
    }

    fn expected_latency(
        &self,
        context: &SelectionContext<'_>,
        endpoint: &Endpoint,
        min_capacity_fraction: f64,
        expected_concurrency: f64,
    ) -> ExpectedLatency {
        let mut expected = endpoint.latency.expected(&LatencyInputs {
            service_time: context.service_time,
            mean_service_time: self.service_times.mean(),
            min_capacity_fraction,
            expected_concurrency,
            time_since_response: context.now - endpoint.last_response_at,
            shortest_objective: self.shortest_objective,
        });
        // An endpoint that does not respond is at least as slow as the time it has not responded for.
        expected.total = expected.total.max(endpoint.unresponsive_for(context.now));
        expected
    }

    /// Returns the cost of a last resort: the time at which its ejection ends, so that the earliest is
    /// preferred. If it was selected for an earlier attempt of the request, the longest ejection is added.
    /// Returns `None` if it has too many attempts in flight.
    fn last_resort_cost(&self, request: &Request, id: EndpointId, endpoint: &Endpoint) -> Option<Millis> {
        if endpoint.in_flight.len() >= MAX_LAST_RESORT_ATTEMPTS {
            return None;
        }
        let penalty = if request.was_sent_to(id) { MAX_EJECTION * self.shortest_objective } else { 0.0 };
        Some(endpoint.outlier.ejected_until() + penalty)
    }

    /// Returns the cost of crossing zones and of recent failures in the endpoint's zone, as a delay.
    fn zone_cost(&self, endpoint: &Endpoint, objective: Millis, now: Millis) -> Millis {
        let is_local = *endpoint.zone == *self.settings.zone;
        let crossing = if is_local { 0.0 } else { self.settings.cross_zone_cost };
        let failure_rate = self.zones.failure_rate(&endpoint.zone, self.shortest_objective, now);
        objective * (OBJECTIVES_PER_FULL_COST * crossing + failure_rate)
    }

    /// Returns the cost of opening a connection, as a delay. It is 0 if an idle connection is open, and in a
    /// large fleet, where the rotation of the subset reuses each connection before it is closed as idle.
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
