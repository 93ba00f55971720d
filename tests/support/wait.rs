//! Waiting for a condition to hold.

use std::time::{Duration, Instant};

/// How long a condition may take before a test fails. No test depends on how much of it is used.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a condition holds.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Waits until a pooled connection may be reused. The node reuses none within 15 ms of its last response, and
/// nothing visible from outside shows when that quarantine ends.
pub fn wait_out_connection_quarantine() {
    std::thread::sleep(Duration::from_millis(20));
}
