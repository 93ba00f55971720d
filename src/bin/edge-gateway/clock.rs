//! The node's clock: monotonic, and anchored to Unix time once, at its start. Whoever needs the time of a
//! decision or a timer takes it from here.

use edge_gateway::{duration_from_millis, Millis};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Unix time in milliseconds that never steps: the system's clock is read at the start only.
#[derive(Clone, Copy)]
pub struct Clock {
    /// When it was anchored ...
    anchor: Instant,
    /// ... and the Unix time then.
    anchor_unix_time: Millis,
}

impl Clock {
    /// A clock anchored now.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { anchor: Instant::now(), anchor_unix_time: unix.as_secs_f64() * 1000.0 }
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        self.anchor_unix_time + self.anchor.elapsed().as_secs_f64() * 1000.0
    }

    /// The instant of a time, however long the clock has run: now if the time has passed, and at most a day
    /// from now.
    pub fn instant_at(&self, at: Millis) -> Instant {
        Instant::now() + duration_from_millis(at - self.now())
    }
}

#[cfg(test)]
mod tests;
