//! The latency of one endpoint: its service time relative to the fleet's, the queueing seen there, and the
//! wait that a further request is to expect.

use super::service_time::PRIOR_RESPONSES;
use crate::interface::{Millis, Outcome};

/// Fraction of the time that is left to its latency objective which a request's expected latency may take:
/// estimates err, and a late response earns less.
const MAX_WAIT_FRACTION: f64 = 0.7;
/// Slowdown of a request by each other one at its endpoint, as a fraction of its service time.
const SLOWDOWN_PER_REQUEST: f64 = 0.45;
/// Least weight of one response in an endpoint's relative latency; a slow endpoint shows within some twenty
/// of them.
const RESPONSE_WEIGHT: f64 = 0.05;
/// Bounds on an endpoint's relative latency.
const MIN_RELATIVE_LATENCY: f64 = 0.3;
/// See [`MIN_RELATIVE_LATENCY`].
const MAX_RELATIVE_LATENCY: f64 = 10.0;
/// Least relative latency that an endpoint at full capacity is expected to have.
const MIN_EXPECTED_RELATIVE_LATENCY: f64 = 0.7;
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
        self.total <= MAX_WAIT_FRACTION * remaining
    }
}

/// What the expected latency depends on beside what was measured.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestLoad {
    /// Expected service time of the request at an idle endpoint of the fleet.
    pub(super) service_time: Millis,
    /// The same of a mean request.
    pub(super) mean_service_time: Millis,
    /// Fraction of its capacity that the endpoint has.
    pub(super) capacity: f64,
    /// Requests in flight at the endpoint.
    pub(super) concurrency: f64,
    /// Time since the endpoint's last response.
    pub(super) response_age: Millis,
    /// Shortest latency objective of all classes.
    pub(super) shortest_objective: Millis,
}

/// Measured latency of one endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyEstimate {
    /// Service time relative to the fleet's.
    relative: f64,
    /// Weighted number of responses behind it.
    responses: f64,
    queueing_delay: Millis,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        Self { relative: 1.0, responses: 0.0, queueing_delay: 0.0 }
    }
}

impl LatencyEstimate {
    /// Takes in the time of an attempt that ended with a response or timed out, against the expected service
    /// time. Guards against queues that neither attempts in flight nor reports show, also if all endpoints
    /// slow down at once.
    pub(super) fn record_queueing(&mut self, elapsed: Millis, service_time: Millis) {
        let delay = elapsed - service_time * self.relative;
        self.queueing_delay =
            (self.queueing_delay + QUEUEING_WEIGHT * (delay - self.queueing_delay)).max(0.0);
    }

    /// Takes in the service time of an attempt relative to the fleet's; `weight` is that of a response.
    pub(super) fn record_relative(&mut self, outcome: Outcome, relative: f64, weight: f64) {
        let weight = match outcome {
            Outcome::Success => weight,
            // A timeout is only a lower bound.
            Outcome::Timeout if relative > self.relative => 1.0,
            _ => 0.0,
        };
        self.responses += weight;
        let step = (weight / (PRIOR_RESPONSES + self.responses)).max(RESPONSE_WEIGHT * weight);
        let updated = self.relative + step * (relative - self.relative);
        self.relative = updated.clamp(MIN_RELATIVE_LATENCY, MAX_RELATIVE_LATENCY);
    }

    /// What a further request is to expect.
    pub(super) fn expected(&self, load: &RequestLoad) -> ExpectedLatency {
        let relative = self.relative.max(MIN_EXPECTED_RELATIVE_LATENCY / load.capacity);
        let decay = (-load.response_age / (QUEUEING_DECAY * load.shortest_objective)).exp();
        let delay = (self.queueing_delay * decay - QUEUEING_NOISE * load.mean_service_time).max(0.0);
        let queue = load.mean_service_time * relative * SLOWDOWN_PER_REQUEST * load.concurrency;
        let service_time = load.service_time * relative;
        let total = (service_time * slowdown(load.concurrency)).max(service_time + delay);
        ExpectedLatency { total, queueing: queue.max(delay) }
    }
}
