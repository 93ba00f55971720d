//! Estimates service times: how long a request of each class takes at an idle endpoint of the fleet.

use crate::interface::{Millis, Settings};

/// Initial service time of a class, before any was measured, as a fraction of its latency objective.
const INITIAL_OBJECTIVE_FRACTION: f64 = 0.1;
/// Number of responses that the initial value of an estimate counts as when it is averaged with measured
/// ones. It keeps a single unusually long request from making the gateway reject all requests.
pub(super) const PRIOR_RESPONSES: f64 = 4.0;
/// Minimum weight of one response of an idle endpoint in the service time of its class, which thus averages
/// over some seconds of traffic.
const RESPONSE_WEIGHT: f64 = 0.04;
/// Weight of one request in the mean service time of all classes.
const MEAN_WEIGHT: f64 = 0.01;

/// Service time of the requests of one class.
#[derive(Clone, Copy, Debug)]
struct ClassServiceTime {
    /// Service time of a request before any was measured.
    initial: Millis,
    /// Measured service time per unit of quota; 0 before any was measured.
    per_unit: Millis,
    /// Sum of the weights of the responses that `per_unit` was measured from.
    responses: f64,
}

/// Service times of all classes.
#[derive(Clone, Debug)]
pub(super) struct ServiceTimes {
    classes: Vec<ClassServiceTime>,
    /// Moving mean of the expected service times of all requests.
    mean: Millis,
}

impl ServiceTimes {
    /// Creates the initial estimates, without any measurement.
    pub(super) fn new(settings: &Settings) -> Self {
        let classes = settings.classes.iter().map(|class| ClassServiceTime {
            initial: INITIAL_OBJECTIVE_FRACTION * class.latency_objective,
            per_unit: 0.0,
            responses: 0.0,
        });
        Self { classes: classes.collect(), mean: 0.0 }
    }

    /// Returns the moving mean of the expected service times of all requests.
    pub(super) fn mean(&self) -> Millis {
        self.mean
    }

    /// Updates the mean with the expected service time of a request; `is_first` sets the mean to it.
    pub(super) fn record_service_time(&mut self, service_time: Millis, is_first: bool) {
        if is_first {
            self.mean = service_time;
        }
        self.mean += MEAN_WEIGHT * (service_time - self.mean);
    }

    /// Returns the expected service time of a request: the measured one or its weighted mean with the initial
    /// value, whichever is lower. The initial value counts less with each response; before the first, it is
    /// returned.
    pub(super) fn expected(&self, class_index: usize, units: f64) -> Millis {
        let ClassServiceTime { initial, per_unit, responses } = self.classes[class_index];
        let measured = per_unit * units;
        let blended = (PRIOR_RESPONSES * initial + responses * measured) / (PRIOR_RESPONSES + responses);
        if responses > 0.0 {
            blended.min(measured)
        } else {
            blended
        }
    }

    /// Returns the measured service time of a request; `None` before the first response.
    pub(super) fn measured(&self, class_index: usize, units: f64) -> Option<Millis> {
        let ClassServiceTime { per_unit, responses, .. } = self.classes[class_index];
        (responses > 0.0).then_some(per_unit * units)
    }

    /// Updates the service time per unit with that of a successful attempt; `weight` is at most 1.
    pub(super) fn record(&mut self, class_index: usize, units: f64, service_time: Millis, weight: f64) {
        let class = &mut self.classes[class_index];
        class.responses += weight;
        let step = (weight / class.responses).max(RESPONSE_WEIGHT * weight);
        class.per_unit += step * (service_time / units - class.per_unit);
    }
}
