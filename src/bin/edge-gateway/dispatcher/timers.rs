//! The timers of the dispatcher, in the order in which they expire.
//!
//! Owns the order of the timers and wakes whoever sleeps until the first of them. What an expired timer leads
//! to is left to the dispatcher.

use super::attempts::AttemptId;
use edge_gateway::{Millis, RequestId};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Microseconds of Unix time: whole numbers, so that timers have a total order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnixMicros(u64);

impl UnixMicros {
    /// Rounds a time down; one before 1970 becomes 0.
    pub fn from_millis(at: Millis) -> Self {
        Self((at.max(0.0) * 1000.0) as u64)
    }

    /// The same time in milliseconds.
    pub fn to_millis(self) -> Millis {
        self.0 as f64 / 1000.0
    }
}

/// Identifies a timer, and orders timers: by the time at which they expire, and by their number among those
/// that expire in the same microsecond.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey {
    expires_at: UnixMicros,
    /// Counts the timers ever set, from 1; makes each key unique.
    sequence_number: u64,
}

impl TimerKey {
    /// Whether the timer expires later than a time.
    pub fn expires_after(self, at: Millis) -> bool {
        self.expires_at > UnixMicros::from_millis(at)
    }

    /// Whether the timer expired more than `delay_us` microseconds ago.
    pub fn is_overdue(self, now: UnixMicros, delay_us: u64) -> bool {
        now.0 > self.expires_at.0 + delay_us
    }
}

/// What a timer is for.
pub enum Timer {
    /// Set by the gateway, with the token that it expects back.
    Gateway(u64),
    /// An attempt times out.
    AttemptTimeout(AttemptId),
    /// A request is answered now whatever the gateway waits for, since its deadline is near.
    DeadlineGuard(RequestId),
    /// Upstream connections that have been idle for too long are closed.
    IdleSweep,
}

/// All timers that are set.
#[derive(Default)]
pub struct TimerQueue {
    timers: BTreeMap<TimerKey, Timer>,
    last_sequence_number: u64,
    wakeup: Rc<Notify>,
}

impl TimerQueue {
    /// Sets a timer, and wakes the sleeper if it is the first to expire.
    pub fn set(&mut self, at: Millis, timer: Timer) -> TimerKey {
        self.last_sequence_number += 1;
        let key =
            TimerKey { expires_at: UnixMicros::from_millis(at), sequence_number: self.last_sequence_number };
        self.timers.insert(key, timer);
        if self.timers.keys().next() == Some(&key) {
            self.wakeup.notify_one();
        }
        key
    }

    /// Removes a timer, if it has not expired.
    pub fn cancel(&mut self, key: TimerKey) {
        self.timers.remove(&key);
    }

    /// When the first timer expires.
    pub fn next_expiry(&self) -> Option<UnixMicros> {
        self.timers.keys().next().map(|key| key.expires_at)
    }

    /// Notified each time a timer is set that becomes the first to expire.
    pub fn wakeup(&self) -> Rc<Notify> {
        self.wakeup.clone()
    }

    /// Removes and returns the timers that have expired, in order.
    pub fn take_expired(&mut self, now: UnixMicros) -> BTreeMap<TimerKey, Timer> {
        let first_pending = TimerKey { expires_at: UnixMicros(now.0 + 1), sequence_number: 0 };
        let pending = self.timers.split_off(&first_pending);
        std::mem::replace(&mut self.timers, pending)
    }
}

#[cfg(test)]
mod tests;
