//! Waits for conditions that depend on other processes.

use std::time::{Duration, Instant};

/// How long a test waits for a condition before it fails. No test depends on how much of it passes.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a condition is true. `what` names it in the message of a timeout.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Waits until the quarantine of a pooled connection is over. The node does not reuse a connection within
/// 15 ms of its last response, and nothing outside the node shows when that time ends.
pub fn wait_out_connection_quarantine() {
    std::thread::sleep(Duration::from_millis(20));
}
