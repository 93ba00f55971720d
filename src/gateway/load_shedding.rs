//! Load shedding by priority: how much queueing a request may meet, by its value for the work that it takes.
//! While the endpoints are under pressure the least valuable requests are rejected first, whatever their
//! plans pay.

use crate::interface::Millis;

/// Fraction of the shortest latency objective that queueing may take before a request of mean value.
const QUEUEING_DELAY_FRACTION: f64 = 0.25;
/// Bounds on the factor that a request's value puts on it.
const MIN_VALUE_FACTOR: f64 = 0.4;
/// See [`MIN_VALUE_FACTOR`].
const MAX_VALUE_FACTOR: f64 = 2.0;
/// Weight of one request in the mean value.
const MEAN_VALUE_WEIGHT: f64 = 0.01;

/// Mean value of requests: priority weight for service time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadShedder {
    /// 0 before the first request.
    mean_value: f64,
}

impl LoadShedder {
    /// Takes in the value of a request. Returns whether it is the first that has any.
    pub(super) fn record_value(&mut self, value: f64) -> bool {
        let is_first = self.mean_value == 0.0;
        if is_first {
            self.mean_value = value;
        }
        self.mean_value += MEAN_VALUE_WEIGHT * (value - self.mean_value);
        is_first
    }

    /// The longest queueing that a request of this value may meet.
    pub(super) fn max_queueing_delay(
        &self,
        value: f64,
        over_quota: bool,
        shortest_objective: Millis,
    ) -> Millis {
        QUEUEING_DELAY_FRACTION * shortest_objective * self.value_factor(value, over_quota)
    }

    fn value_factor(&self, value: f64, over_quota: bool) -> f64 {
        if over_quota {
            return MIN_VALUE_FACTOR;
        }
        // If no class has a priority weight, all are equal.
        let factor = if self.mean_value > 0.0 { value / self.mean_value } else { 1.0 };
        factor.clamp(MIN_VALUE_FACTOR, MAX_VALUE_FACTOR)
    }
}
