//! Retry budget: limits retries and hedged requests, so that failing endpoints do not double the load.

/// Number of retries that each first attempt adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.15;
/// Maximum number of retries in the budget.
const MAX_SAVED_RETRIES: f64 = 15.0;

/// A budget of retries and hedged requests, full at the start.
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
    /// Adds the share of one first attempt to the budget.
    pub(super) fn deposit(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Whether the budget contains a whole retry.
    pub(super) fn allows_retry(&self) -> bool {
        self.available >= 1.0
    }

    /// Takes one retry from the budget.
    pub(super) fn withdraw(&mut self) {
        self.available -= 1.0;
    }

    /// Whether more than one retry is missing from the full budget.
    pub(super) fn is_partly_spent(&self) -> bool {
        self.available < MAX_SAVED_RETRIES - 1.0
    }
}
