//! The latency of one endpoint: its service time relative to the fleet's, the queueing seen there, and the
//! wait that a further request is to expect.

use super::service_time::PRIOR_RESPONSES;
use crate::interface::{Millis, Outcome};

/// Fraction of the time that is left to its latency objective which a request's expected latency may take:
/// estimates err, and a late response earns less.
const MAX_LATENCY_FRACTION: f64 = 0.7;
/// Slowdown of a request by each other one at its endpoint, as a fraction of its service time.
const SLOWDOWN_PER_REQUEST: f64 = 0.45;
/// Least weight of one response in an endpoint's relative latency; a slow endpoint shows within some twenty
/// of them.
const RESPONSE_WEIGHT: f64 = 0.05;
/// Bounds on an endpoint's relative latency.
const MIN_RELATIVE_SERVICE_TIME: f64 = 0.3;
/// See [`MIN_RELATIVE_SERVICE_TIME`].
const MAX_RELATIVE_SERVICE_TIME: f64 = 10.0;
/// Least relative latency that an endpoint at full capacity is expected to have.
const MIN_EXPECTED_RELATIVE_SERVICE_TIME: f64 = 0.7;
/// Weight of one response in the queueing delay: some responses.
const QUEUEING_WEIGHT: f64 = 0.2;
/// What is taken off a queueing delay, in mean service times: requests vary, and a long one is no queue.
const QUEUEING_NOISE: f64 = 2.0;
/// Time in which a queueing delay loses most of its weight, in shortest latency objectives: as queues drain.
const QUEUEING_DECAY: f64 = 1.5;

/// By how much requests are slowed down by others at the same endpoint.
pub(super) fn slowdown(concurrency: f64) -> f64 {
    1.0 + SLOWDOWN_PER_REQUEST * concurrency
}

/// What a further request is to expect at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExpectedLatency {
    /// Time to its response.
    pub(crate) total: Millis,
    /// The queueing in it, for a request of mean service time.
    pub(crate) queueing: Millis,
}

impl ExpectedLatency {
    /// Whether a response is likely within the time that is left.
    pub(crate) fn fits(&self, remaining: Millis) -> bool {
        self.total <= MAX_LATENCY_FRACTION * remaining
    }
}

/// What the expected latency depends on beside what was measured.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyInputs {
    /// Expected service time of the request at an idle endpoint of the fleet.
    pub(super) service_time: Millis,
    /// The same of a mean request.
    pub(super) mean_service_time: Millis,
    /// Fraction of its capacity that the endpoint has.
    pub(super) capacity: f64,
    /// Requests in flight at the endpoint.
    pub(super) concurrency: f64,
    /// Time since the endpoint's last response.
    pub(super) time_since_response: Millis,
    /// Shortest latency objective of all classes.
    pub(super) shortest_objective: Millis,
}

/// Measured latency of one endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyEstimate {
    /// Service time relative to the fleet's.
    relative_service_time: f64,
    /// Weighted number of responses behind it.
    responses: f64,
    queueing_delay: Millis,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        Self { relative_service_time: 1.0, responses: 0.0, queueing_delay: 0.0 }
    }
}

impl LatencyEstimate {
    /// Takes in the time of an attempt that ended with a response or timed out, against the expected service
    /// time. Guards against queues that neither attempts in flight nor reports show, also if all endpoints
    /// slow down at once.
    pub(super) fn record_queueing(&mut self, elapsed: Millis, service_time: Millis) {
        let delay = elapsed - service_time * self.relative_service_time;
        self.queueing_delay =
            (self.queueing_delay + QUEUEING_WEIGHT * (delay - self.queueing_delay)).max(0.0);
    }

    /// Takes in the service time of an attempt relative to the fleet's; `weight` is that of a response.
    pub(super) fn record_service_time(&mut self, outcome: Outcome, relative_service_time: f64, weight: f64) {
        let weight = match outcome {
            Outcome::Success => weight,
            // A timeout is only a lower bound.
            Outcome::Timeout if relative_service_time > self.relative_service_time => 1.0,
            _ => 0.0,
        };
        self.responses += weight;
        let step = (weight / (PRIOR_RESPONSES + self.responses)).max(RESPONSE_WEIGHT * weight);
        let updated =
            self.relative_service_time + step * (relative_service_time - self.relative_service_time);
        self.relative_service_time = updated.clamp(MIN_RELATIVE_SERVICE_TIME, MAX_RELATIVE_SERVICE_TIME);
    }

    /// What a further request is to expect.
    pub(super) fn expected(&self, inputs: &LatencyInputs) -> ExpectedLatency {
        let relative_service_time =
            self.relative_service_time.max(MIN_EXPECTED_RELATIVE_SERVICE_TIME / inputs.capacity);
        let decay = (-inputs.time_since_response / (QUEUEING_DECAY * inputs.shortest_objective)).exp();
        let observed_queueing =
            (self.queueing_delay * decay - QUEUEING_NOISE * inputs.mean_service_time).max(0.0);
        let concurrency_queueing =
            inputs.mean_service_time * relative_service_time * SLOWDOWN_PER_REQUEST * inputs.concurrency;
        let service_time = inputs.service_time * relative_service_time;
        let total = (service_time * slowdown(inputs.concurrency)).max(service_time + observed_queueing);
        ExpectedLatency { total, queueing: concurrency_queueing.max(observed_queueing) }
    }
}
