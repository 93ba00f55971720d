//! What the load balancer learns from the result of an attempt.

use super::latency_estimate::{slowdown, LatencyEstimate};
use super::service_time::ServiceTimes;
use super::LoadBalancer;
use crate::interface::{AttemptResult, Millis, Outcome};
use crate::request::Attempt;

/// An attempt that is no longer in flight, and what its request was.
pub(crate) struct FinishedAttempt<'a> {
    /// Index of the request's class.
    pub(crate) class: usize,
    /// Units of the request.
    pub(crate) units: f64,
    /// The attempt.
    pub(crate) attempt: &'a Attempt,
    /// Its result.
    pub(crate) result: &'a AttemptResult,
}

impl LoadBalancer {
    /// Takes in the result of an attempt.
    pub(crate) fn record_result(&mut self, finished: &FinishedAttempt<'_>, now: Millis) {
        let FinishedAttempt { attempt, result, .. } = *finished;
        self.concurrency.attempt_finished();
        let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        endpoint.in_flight.retain(|sent| sent.request != result.request || sent.attempt != result.attempt);
        record_latency(finished, &mut endpoint.latency, &mut self.service_times);
        let zone_is_failing = self.zones.record(&endpoint.zone, result.outcome, now);
        if zone_is_failing && !endpoint.outlier.on_probation() {
            // The rotation goes back to endpoints that have recently responded.
            self.subset.end_rotation(now);
        }
        endpoint.connections.record_outcome(result.outcome, self.settings.connection_quarantine, now);
        let (last_response_at, objective) = (endpoint.last_response_at, self.shortest_objective);
        endpoint.outlier.record(result.outcome, attempt.sent_at, last_response_at, objective, now);
        if is_response(result.outcome) {
            endpoint.last_response_at = now;
        }
        endpoint.reported_load.record(&result.load, endpoint.in_flight.len(), now);
    }
}

/// Learns the service time of the class, and the latency of the endpoint relative to it.
fn record_latency(
    finished: &FinishedAttempt<'_>,
    latency: &mut LatencyEstimate,
    service_times: &mut ServiceTimes,
) {
    let FinishedAttempt { class, units, attempt, result } = *finished;
    let expected = service_times.expected(class, units);
    if matches!(result.outcome, Outcome::Success | Outcome::Timeout) {
        latency.record_queueing(result.elapsed, expected);
    }
    // The more requests an endpoint had in flight, the more of the time was waiting, and the less it shows.
    let weight = 1.0 / (1.0 + attempt.expected_concurrency);
    let service_time = result.elapsed / slowdown(attempt.expected_concurrency);
    if result.outcome == Outcome::Success {
        service_times.record(class, units, service_time, weight);
    }
    // Compared with what was measured: against the initial value all endpoints would look fast, or all slow.
    let reference = service_times.measured(class, units).unwrap_or(expected);
    latency.record_service_time(result.outcome, service_time / reference, weight);
}

/// Whether the endpoint sent a response, of whatever kind.
fn is_response(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Success | Outcome::Overloaded | Outcome::Error | Outcome::InvalidResponse)
}
