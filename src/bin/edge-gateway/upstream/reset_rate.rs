//! How often reused connections are reset, as a moving average.
//!
//! Guards requests that cannot be retried against endpoints that close idle connections without notice: a new
//! connection costs a handshake, a reset the whole request.

use std::cell::Cell;

/// Weight of one request on a reused connection: the average is that of some tens of requests.
const SMOOTHING_FACTOR: f64 = 0.05;
/// From this fraction of resets on, reused connections do not get requests that are not idempotent.
const MAX_RESET_RATE: f64 = 0.04;

/// Fraction of the recent requests on reused connections that ended in a reset.
#[derive(Default)]
pub struct ResetRate(Cell<f64>);

impl ResetRate {
    /// Records the end of a request on a reused connection.
    pub fn record(&self, was_reset: bool) {
        let was_reset = f64::from(u8::from(was_reset));
        self.0.set(self.0.get() + SMOOTHING_FACTOR * (was_reset - self.0.get()));
    }

    /// Whether reused connections are good enough for requests that are not idempotent.
    pub fn is_low(&self) -> bool {
        self.0.get() < MAX_RESET_RATE
    }
}
