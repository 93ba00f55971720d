//! Estimates the latency of a request at one endpoint, from the endpoint's service time relative to the
//! fleet's and from the queueing observed there.

use super::service_time::PRIOR_RESPONSES;
use crate::interface::{Millis, Outcome};

/// Maximum expected latency with which a response is likely to be in time, as a fraction of the time left.
/// Below 1 because estimates err, and a late response earns less.
const MAX_LATENCY_FRACTION: f64 = 0.7;
/// Increase of a request's service time for each other request at the endpoint, as a fraction.
const SLOWDOWN_PER_REQUEST: f64 = 0.45;
/// Minimum weight of one response of an idle endpoint in the endpoint's relative service time: a slow
/// endpoint is recognized within about 20 responses.
const RESPONSE_WEIGHT: f64 = 0.05;
/// Lower bound of an endpoint's measured relative service time.
const MIN_RELATIVE_SERVICE_TIME: f64 = 0.3;
/// Upper bound of an endpoint's measured relative service time.
const MAX_RELATIVE_SERVICE_TIME: f64 = 10.0;
/// Minimum relative service time that is expected of an endpoint at full capacity; in slow start, it is
/// divided by the capacity fraction.
const MIN_EXPECTED_RELATIVE_SERVICE_TIME: f64 = 0.7;
/// Weight of the latest attempt in the queueing delay, which thus averages over a few attempts.
const QUEUEING_WEIGHT: f64 = 0.2;
/// Queueing delay that is ignored, in mean service times: requests vary, and one long request is not a queue.
const QUEUEING_NOISE: f64 = 2.0;
/// Time constant with which a queueing delay decays as the queue drains, in shortest latency objectives.
const QUEUEING_DECAY: f64 = 1.5;

/// Returns the factor by which `concurrency` other requests at an endpoint increase a service time.
pub(super) fn slowdown(concurrency: f64) -> f64 {
    1.0 + SLOWDOWN_PER_REQUEST * concurrency
}

/// Expected latency of a new request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExpectedLatency {
    /// Time from the start of the attempt to the response.
    pub(crate) total: Millis,
    /// Part of the latency that is due to queueing, for a request of mean service time.
    pub(crate) queueing_delay: Millis,
}

impl ExpectedLatency {
    /// Whether the response is likely to arrive within the `remaining` time, with a margin for errors.
    pub(crate) fn is_likely_within(&self, remaining: Millis) -> bool {
        self.total <= MAX_LATENCY_FRACTION * remaining
    }
}

/// Inputs of the expected latency other than the endpoint's own measurements.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyInputs {
    /// Expected service time of the request at an idle endpoint of the fleet.
    pub(super) service_time: Millis,
    /// Mean of the expected service times of recent requests.
    pub(super) mean_service_time: Millis,
    /// Minimum current capacity of the endpoint as a fraction of its full capacity; below 1 in slow start.
    pub(super) min_capacity_fraction: f64,
    /// Expected number of requests of all gateways in flight at the endpoint, without the new one.
    pub(super) expected_concurrency: f64,
    /// Time since the endpoint's last response.
    pub(super) time_since_response: Millis,
    /// Shortest latency objective of all classes.
    pub(super) shortest_objective: Millis,
}

/// Service time and queueing of one endpoint, measured from its attempts.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyEstimate {
    /// Service time of the endpoint as a multiple of the fleet's.
    relative_service_time: f64,
    /// Sum of the weights of the results from which the relative service time was measured.
    responses: f64,
    /// Moving mean of the time by which attempts exceeded the expected service time, at least 0.
    queueing_delay: Millis,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        Self { relative_service_time: 1.0, responses: 0.0, queueing_delay: 0.0 }
    }
}

impl LatencyEstimate {
    /// Updates the queueing delay with an attempt that succeeded or timed out. `service_time` is the expected
    /// service time of its request at an idle endpoint of the fleet. This detects queues that neither
    /// attempts in flight nor load reports show, even if all endpoints slow down at once.
    pub(super) fn record_queueing(&mut self, elapsed: Millis, service_time: Millis) {
        let delay = elapsed - service_time * self.relative_service_time;
        self.queueing_delay =
            (self.queueing_delay + QUEUEING_WEIGHT * (delay - self.queueing_delay)).max(0.0);
    }

    /// Updates the relative service time with that of an attempt, which counts with `weight` if it succeeded.
    pub(super) fn record_service_time(&mut self, outcome: Outcome, relative_service_time: f64, weight: f64) {
        let weight = match outcome {
            Outcome::Success => weight,
            // A timeout gives only a lower bound of the service time.
            Outcome::Timeout if relative_service_time > self.relative_service_time => 1.0,
            _ => 0.0,
        };
        self.responses += weight;
        let step = (weight / (PRIOR_RESPONSES + self.responses)).max(RESPONSE_WEIGHT * weight);
        let updated =
            self.relative_service_time + step * (relative_service_time - self.relative_service_time);
        self.relative_service_time = updated.clamp(MIN_RELATIVE_SERVICE_TIME, MAX_RELATIVE_SERVICE_TIME);
    }

    /// Returns the expected latency of a new request at this endpoint.
    pub(super) fn expected(&self, inputs: &LatencyInputs) -> ExpectedLatency {
        let relative_service_time =
            self.relative_service_time.max(MIN_EXPECTED_RELATIVE_SERVICE_TIME / inputs.min_capacity_fraction);
        let decay = (-inputs.time_since_response / (QUEUEING_DECAY * inputs.shortest_objective)).exp();
        let observed_queueing =
            (self.queueing_delay * decay - QUEUEING_NOISE * inputs.mean_service_time).max(0.0);
        let concurrency_queueing = inputs.mean_service_time
            * relative_service_time
            * SLOWDOWN_PER_REQUEST
            * inputs.expected_concurrency;
        let service_time = inputs.service_time * relative_service_time;
        let total =
            (service_time * slowdown(inputs.expected_concurrency)).max(service_time + observed_queueing);
        ExpectedLatency { total, queueing_delay: concurrency_queueing.max(observed_queueing) }
    }
}
