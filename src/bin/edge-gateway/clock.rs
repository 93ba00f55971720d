//! The node's clock: a monotonic clock that is set to Unix time once, when it is created. All decisions and
//! timers use it.

use edge_gateway::{duration_from_millis, Millis};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A clock of Unix time in milliseconds that never steps, since it reads the system's wall clock only once.
#[derive(Clone, Copy)]
pub struct Clock {
    /// The instant at which the clock was created.
    anchor: Instant,
    /// The Unix time at `anchor`, in milliseconds.
    anchor_unix_time: Millis,
}

impl Clock {
    /// Creates a clock and sets it to the current Unix time.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { anchor: Instant::now(), anchor_unix_time: unix.as_secs_f64() * 1000.0 }
    }

    /// The current Unix time, in milliseconds.
    pub fn now(&self) -> Millis {
        self.anchor_unix_time + self.anchor.elapsed().as_secs_f64() * 1000.0
    }

    /// Converts a time of this clock to an instant, however long the clock has run. Returns the current
    /// instant for a time that has passed, and at most that of a day later.
    pub fn instant_at(&self, at: Millis) -> Instant {
        Instant::now() + duration_from_millis(at - self.now())
    }
}

#[cfg(test)]
mod tests;
