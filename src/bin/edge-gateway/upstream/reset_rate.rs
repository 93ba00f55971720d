//! How often reused connections are reset, as an exponential moving average.
//!
//! Some endpoints close idle connections without notice. A request that cannot be retried is lost if its
//! connection is reset, whereas a new connection only costs a handshake.

use std::cell::Cell;

/// Weight of the latest request in the moving average, which covers some tens of requests.
const SMOOTHING_FACTOR: f64 = 0.05;
/// Fraction of resets from which requests that are not idempotent get new connections.
const MAX_RESET_RATE: f64 = 0.04;

/// Fraction of the recent requests on reused connections that ended in a reset.
#[derive(Default)]
pub struct ResetRate(Cell<f64>);

impl ResetRate {
    /// Records whether the connection was reset during a request on a reused connection.
    pub fn record(&self, was_reset: bool) {
        let was_reset = f64::from(u8::from(was_reset));
        self.0.set(self.0.get() + SMOOTHING_FACTOR * (was_reset - self.0.get()));
    }

    /// Whether resets are rare enough to send requests that are not idempotent on reused connections.
    pub fn is_low(&self) -> bool {
        self.0.get() < MAX_RESET_RATE
    }
}
