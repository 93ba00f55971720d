//! Updates the state of endpoints with the results of attempts.

use super::latency_estimate::{slowdown, LatencyEstimate};
use super::service_time::ServiceTimes;
use super::LoadBalancer;
use crate::interface::{AttemptResult, Millis, Outcome};
use crate::request::Attempt;

/// An attempt that is no longer in flight, with its result and its request's class and units.
pub(crate) struct FinishedAttempt<'a> {
    /// Index of the request's class.
    pub(crate) class_index: usize,
    /// Units of quota that the request uses.
    pub(crate) units: f64,
    /// Where and when the attempt was forwarded.
    pub(crate) attempt: &'a Attempt,
    /// How the attempt ended, with the reports of its response.
    pub(crate) result: &'a AttemptResult,
}

impl LoadBalancer {
    /// Updates the state of the endpoint, its zone and the request's class with the result of an attempt.
    pub(crate) fn record_result(&mut self, finished: &FinishedAttempt<'_>, now: Millis) {
        let FinishedAttempt { attempt, result, .. } = *finished;
        self.concurrency.attempt_finished();
        let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        endpoint.in_flight.retain(|other| other.request != result.request || other.attempt != result.attempt);
        if endpoint.was_replaced_after(attempt.forwarded_at) {
            return;
        }
        record_latency(finished, &mut endpoint.latency, &mut self.service_times);
        let zone_is_failing = self.zones.record(&endpoint.zone, result.outcome, now);
        if zone_is_failing && !endpoint.outlier.on_probation() {
            // The subset's next rotation starts with endpoints that have recently responded.
            self.subset.end_rotation(now);
        }
        endpoint.connections.record_outcome(result.outcome, self.settings.connection_quarantine, now);
        let (last_response_at, objective) = (endpoint.last_response_at, self.shortest_objective);
        endpoint.outlier.record(result.outcome, attempt.forwarded_at, last_response_at, objective, now);
        if is_response(result.outcome) {
            endpoint.last_response_at = now;
        }
        endpoint.reported_load.record(&result.load, endpoint.in_flight.len(), now);
    }
}

/// Updates the service time of the class, and the queueing and relative service time of the endpoint.
fn record_latency(
    finished: &FinishedAttempt<'_>,
    latency: &mut LatencyEstimate,
    service_times: &mut ServiceTimes,
) {
    let FinishedAttempt { class_index, units, attempt, result } = *finished;
    let expected = service_times.expected(class_index, units);
    if matches!(result.outcome, Outcome::Success | Outcome::Timeout) {
        latency.record_queueing(result.elapsed, expected);
    }
    // The more requests were in flight at the endpoint, the more of the elapsed time was spent waiting, and
    // the less it says about the service time.
    let weight = 1.0 / (1.0 + attempt.expected_concurrency);
    let service_time = result.elapsed / slowdown(attempt.expected_concurrency);
    if result.outcome == Outcome::Success {
        service_times.record(class_index, units, service_time, weight);
    }
    // The initial value of a class is only a guess: compared with it, all endpoints would look fast, or all
    // slow. It is used only until a service time is measured.
    let reference = service_times.measured(class_index, units).unwrap_or(expected);
    latency.record_service_time(result.outcome, service_time / reference, weight);
}

/// Whether the endpoint sent a response of any kind.
fn is_response(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Success | Outcome::Overloaded | Outcome::Error | Outcome::InvalidResponse)
}
