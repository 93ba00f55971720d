//! Conversion of durations.

use crate::interface::Millis;
use std::time::Duration;

/// Converts milliseconds to a duration: zero if they are negative or not a number, and at most a day.
pub fn duration_from_millis(ms: Millis) -> Duration {
    const MAX: Millis = 86_400_000.0;
    Duration::from_secs_f64(ms.clamp(0.0, MAX).max(0.0) / 1000.0)
}
