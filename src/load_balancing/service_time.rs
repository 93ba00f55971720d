//! Service times of request classes: how long a request takes at an idle endpoint of the fleet.

use crate::interface::{Millis, Settings};

/// Service time of a class that has not been measured, as a fraction of its latency objective.
const INITIAL_OBJECTIVE_FRACTION: f64 = 0.1;
/// Responses that such an initial value counts for: one unusually long request must not make a gateway reject
/// all.
pub(super) const PRIOR_RESPONSES: f64 = 4.0;
/// Least weight of one response in the service time of its class: some seconds of traffic.
const RESPONSE_WEIGHT: f64 = 0.04;
/// Weight of one request in the mean service time of all classes.
const MEAN_WEIGHT: f64 = 0.01;

/// Service time of one class.
#[derive(Clone, Copy, Debug)]
struct ClassServiceTime {
    /// For a request, until one has been measured.
    initial: Millis,
    per_unit: Millis,
    /// Weighted number of responses behind it.
    responses: f64,
}

/// Service times of all classes.
#[derive(Clone, Debug)]
pub(super) struct ServiceTimes {
    classes: Vec<ClassServiceTime>,
    /// Of a mean request.
    mean: Millis,
}

impl ServiceTimes {
    /// Service times before anything was measured.
    pub(super) fn new(settings: &Settings) -> Self {
        let classes = settings.classes.iter().map(|class| ClassServiceTime {
            initial: INITIAL_OBJECTIVE_FRACTION * class.latency_objective,
            per_unit: 0.0,
            responses: 0.0,
        });
        Self { classes: classes.collect(), mean: 0.0 }
    }

    /// The service time of a mean request.
    pub(super) fn mean(&self) -> Millis {
        self.mean
    }

    /// Takes the expected service time of a request into the mean; the first one sets it.
    pub(super) fn record_request(&mut self, service_time: Millis, is_first: bool) {
        if is_first {
            self.mean = service_time;
        }
        self.mean += MEAN_WEIGHT * (service_time - self.mean);
    }

    /// The expected service time of a request: the measured one, raised to a mean with the initial value
    /// while few responses have come.
    pub(super) fn expected(&self, class: usize, units: f64) -> Millis {
        let ClassServiceTime { initial, per_unit, responses } = self.classes[class];
        let measured = per_unit * units;
        let blended = (PRIOR_RESPONSES * initial + responses * measured) / (PRIOR_RESPONSES + responses);
        if responses > 0.0 {
            blended.min(measured)
        } else {
            blended
        }
    }

    /// The measured service time of a request, if any response has come.
    pub(super) fn measured(&self, class: usize, units: f64) -> Option<Millis> {
        let ClassServiceTime { per_unit, responses, .. } = self.classes[class];
        (responses > 0.0).then_some(per_unit * units)
    }

    /// Takes in the service time of a successful attempt; its weight is at most 1.
    pub(super) fn record(&mut self, class: usize, units: f64, service_time: Millis, weight: f64) {
        let class = &mut self.classes[class];
        class.responses += weight;
        let step = (weight / class.responses).max(RESPONSE_WEIGHT * weight);
        class.per_unit += step * (service_time / units - class.per_unit);
    }
}
