//! Retry budget: limits retries and hedged requests, so that failing endpoints do not double the load.

/// Number of retries that each first attempt adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.15;
/// Maximum number of retries in the budget.
const MAX_SAVED_RETRIES: f64 = 15.0;

/// A budget from which each retry and each hedged request takes 1; full at the start.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    /// Number of retries left, including a fraction of the next one.
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { available: MAX_SAVED_RETRIES }
    }
}

impl RetryBudget {
    /// Adds [`RETRIES_PER_REQUEST`] to the budget for a first attempt.
    pub(super) fn deposit(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Whether the budget is enough for one retry.
    pub(super) fn allows_retry(&self) -> bool {
        self.available >= 1.0
    }

    /// Takes one retry or hedged request from the budget.
    pub(super) fn withdraw(&mut self) {
        self.available -= 1.0;
    }

    /// Whether more than one retry is missing from the full budget.
    pub(super) fn is_partly_spent(&self) -> bool {
        self.available < MAX_SAVED_RETRIES - 1.0
    }
}
