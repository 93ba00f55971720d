//! Usage of the customers of one plan in fixed memory: units forwarded recently, and attempts in flight.
//! Units are counted over a window: the time in which the plan's rate fills its burst.

use crate::count_min_sketch::CountMinSketch;
use crate::interface::{Millis, Plan};

/// Rows of a sketch: four independent hashes make a collision of two customers in all rows negligible.
const SKETCH_ROWS: usize = 4;
/// Counters in a row of a sketch: many times the number of customers active within a window at one gateway.
const SKETCH_COLUMNS: usize = 2048;

/// The usage of all customers of a plan at this gateway.
pub(super) struct PlanUsage {
    history: UsageHistory,
    in_flight: CountMinSketch,
}

impl PlanUsage {
    /// Creates empty sketches, with hash seeds drawn from `rng`.
    pub(super) fn new(rng: &mut fastrand::Rng) -> Self {
        Self { history: UsageHistory::new(rng), in_flight: new_sketch(rng) }
    }

    /// The usage estimate of a customer: the units that this gateway has forwarded for it within about one
    /// window, and possibly some of other customers.
    pub(super) fn recent_usage(&mut self, customer: &str, plan: &Plan, now: Millis) -> f64 {
        self.history.rotate(plan, now);
        self.history.estimate(customer)
    }

    /// Counts forwarded units of a customer.
    pub(super) fn record_units(&mut self, customer: &str, units: f64) {
        self.history.current.add(customer, units);
    }

    /// Whether a customer's attempts in flight here have reached the even slice of its concurrency limit.
    pub(super) fn at_concurrency_limit(&self, customer: &str, plan: &Plan, spread: f64) -> bool {
        let slice = (f64::from(plan.max_concurrency) / spread).ceil();
        plan.max_concurrency > 0 && self.in_flight.estimate(customer) >= slice
    }

    /// Counts an attempt of a customer as in flight.
    pub(super) fn attempt_started(&mut self, customer: &str) {
        self.in_flight.add(customer, 1.0);
    }

    /// Counts an attempt of a customer as no longer in flight.
    pub(super) fn attempt_finished(&mut self, customer: &str) {
        self.in_flight.add(customer, -1.0);
    }
}

/// Units forwarded by customer, in two sketches that rotate every half window. Together they cover between
/// half a window and a whole one.
struct UsageHistory {
    current: CountMinSketch,
    previous: CountMinSketch,
    next_rotation_at: Millis,
}

impl UsageHistory {
    fn new(rng: &mut fastrand::Rng) -> Self {
        Self { current: new_sketch(rng), previous: new_sketch(rng), next_rotation_at: f64::NEG_INFINITY }
    }

    /// Starts a new half window if the current one is over.
    fn rotate(&mut self, plan: &Plan, now: Millis) {
        const HALF_SECOND: Millis = 500.0;
        let half_window = HALF_SECOND * plan.burst / plan.rate;
        if now < self.next_rotation_at {
            return;
        }
        if now >= self.next_rotation_at + half_window {
            self.current.clear();
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.clear();
        self.next_rotation_at = now + half_window;
    }

    fn estimate(&self, customer: &str) -> f64 {
        self.current.estimate(customer) + self.previous.estimate(customer)
    }
}

fn new_sketch(rng: &mut fastrand::Rng) -> CountMinSketch {
    CountMinSketch::new((0..SKETCH_ROWS).map(|_| rng.u64(..)).collect(), SKETCH_COLUMNS)
}
