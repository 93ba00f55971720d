//! The retry budget: bounds retries and hedged requests, so that failing endpoints do not double the load.

/// Retries that each first attempt adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.15;
/// Most retries that are saved up.
const MAX_SAVED_RETRIES: f64 = 15.0;

/// Retries that are allowed now.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { available: MAX_SAVED_RETRIES }
    }
}

impl RetryBudget {
    /// Adds to the budget for a first attempt.
    pub(super) fn deposit(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Whether a retry is allowed.
    pub(super) fn allows_retry(&self) -> bool {
        self.available >= 1.0
    }

    /// Takes a retry from the budget.
    pub(super) fn withdraw(&mut self) {
        self.available -= 1.0;
    }

    /// Whether recent retries have used up part of it.
    pub(super) fn is_partly_spent(&self) -> bool {
        self.available < MAX_SAVED_RETRIES - 1.0
    }
}
