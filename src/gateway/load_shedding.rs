//! Load shedding by priority: when requests queue up at the endpoints, those of low value are rejected first.
//!
//! The value of a request is the priority weight of its class times its units, divided by its expected
//! service time. What the customer's plan pays does not change it.

use crate::interface::Millis;

/// Maximum queueing delay for a request of mean value, as a fraction of the shortest latency objective.
const QUEUEING_DELAY_FRACTION: f64 = 0.25;
/// Lower bound of the factor by which a request's value scales its maximum queueing delay.
const MIN_VALUE_FACTOR: f64 = 0.4;
/// Upper bound of the factor by which a request's value scales its maximum queueing delay.
const MAX_VALUE_FACTOR: f64 = 2.0;
/// Weight of the latest request in the moving average of values.
const MEAN_VALUE_WEIGHT: f64 = 0.01;

/// Limits the queueing delay of requests by their value relative to the mean.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadShedder {
    /// Moving average of the values of requests; 0 until a request has a value above 0.
    mean_value: f64,
}

impl LoadShedder {
    /// Records the value of a request; returns whether all values before it were 0.
    pub(super) fn record_value(&mut self, value: f64) -> bool {
        let is_first_value = self.mean_value == 0.0;
        if is_first_value {
            self.mean_value = value;
        }
        self.mean_value += MEAN_VALUE_WEIGHT * (value - self.mean_value);
        is_first_value
    }

    /// Returns the maximum queueing delay of a request. Over quota, it is that of a request of lowest value.
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
        // The mean is 0 if no class has a priority weight: all requests are then treated alike.
        let factor = if self.mean_value > 0.0 { value / self.mean_value } else { 1.0 };
        factor.clamp(MIN_VALUE_FACTOR, MAX_VALUE_FACTOR)
    }
}
