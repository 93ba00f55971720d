//! Lengths of time.

use crate::interface::Millis;
use std::time::Duration;

/// A length of time in milliseconds as a duration; nothing if it is negative or no number, and a day at the
/// most.
pub fn millis(ms: Millis) -> Duration {
    const DAY: Millis = 86_400_000.0;
    Duration::from_secs_f64(ms.clamp(0.0, DAY).max(0.0) / 1000.0)
}
