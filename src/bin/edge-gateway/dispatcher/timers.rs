//! The queue of the dispatcher's timers, in the order in which they expire.
//!
//! It wakes the task that sleeps until the next expiry when an earlier timer is set. The dispatcher handles
//! the expired timers.

use super::attempts::AttemptId;
use edge_gateway::{Millis, RequestId};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Unix time in whole microseconds. Integers give the timers a total order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnixMicros(u64);

impl UnixMicros {
    /// Converts from milliseconds and rounds down; a time before 1970 becomes 0.
    pub fn from_millis(at: Millis) -> Self {
        Self((at.max(0.0) * 1000.0) as u64)
    }

    /// Converts to milliseconds.
    pub fn to_millis(self) -> Millis {
        self.0 as f64 / 1000.0
    }
}

/// Identifies a timer. Keys are ordered by expiry; timers that expire in the same microsecond are ordered by
/// when they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey {
    expires_at: UnixMicros,
    /// Position among all timers ever set, from 1; makes each key unique.
    sequence_number: u64,
}

impl TimerKey {
    /// Whether the timer expires later than `at`.
    pub fn expires_after(self, at: Millis) -> bool {
        self.expires_at > UnixMicros::from_millis(at)
    }

    /// Whether the timer expired more than `delay_us` microseconds ago.
    pub fn is_overdue(self, now: UnixMicros, delay_us: u64) -> bool {
        now.0 > self.expires_at.0 + delay_us
    }
}

/// What happens when a timer expires.
pub enum Timer {
    /// The gateway is notified, with the token that it gave when it set the timer.
    Gateway(u64),
    /// An attempt times out.
    AttemptTimeout(AttemptId),
    /// A request that is still unanswered is answered without the gateway, since its deadline is near.
    DeadlineGuard(RequestId),
    /// Upstream connections whose idle timeout has passed are closed.
    IdleSweep,
}

/// All timers that have not expired or been cancelled.
#[derive(Default)]
pub struct TimerQueue {
    timers: BTreeMap<TimerKey, Timer>,
    last_sequence_number: u64,
    wakeup: Rc<Notify>,
}

impl TimerQueue {
    /// Sets a timer. Notifies [`wakeup`](Self::wakeup) if the timer is the first to expire.
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

    /// Removes a timer. Does nothing if it has already been taken or cancelled.
    pub fn cancel(&mut self, key: TimerKey) {
        self.timers.remove(&key);
    }

    /// When the next timer expires; `None` if no timer is set.
    pub fn next_expiry(&self) -> Option<UnixMicros> {
        self.timers.keys().next().map(|key| key.expires_at)
    }

    /// Returns the notification that is sent each time a timer is set that expires before all others.
    pub fn wakeup(&self) -> Rc<Notify> {
        self.wakeup.clone()
    }

    /// Removes and returns the timers that expire at `now` or earlier, in the order of their expiry.
    pub fn take_expired(&mut self, now: UnixMicros) -> BTreeMap<TimerKey, Timer> {
        let first_pending = TimerKey { expires_at: UnixMicros(now.0 + 1), sequence_number: 0 };
        let pending = self.timers.split_off(&first_pending);
        std::mem::replace(&mut self.timers, pending)
    }
}

#[cfg(test)]
mod tests;
