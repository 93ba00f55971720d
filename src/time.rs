//! Conversion between the library's and the standard library's durations.

use crate::interface::Millis;
use std::time::Duration;

/// Converts milliseconds to a [`Duration`] of at most one day; a negative number or NaN becomes zero.
pub fn duration_from_millis(ms: Millis) -> Duration {
    const MAX: Millis = 86_400_000.0;
    Duration::from_secs_f64(ms.clamp(0.0, MAX).max(0.0) / 1000.0)
}
