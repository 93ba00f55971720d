//! The delays between polls of discovery: jitter on the first poll, exponential backoff with jitter after
//! failures.

use crate::configuration::PollSettings;
use crate::time::duration_from_millis;
use std::time::Duration;

/// Shortest delay after a failure. The upper bound of that delay starts here, or at the range of the jitter
/// if that is longer, and doubles up to the maximum. Where calls are [uncounted](PollBackoff), every delay
/// after a failure is this one: a node counts as notified as soon as its agent holds a change, so a longer
/// delay would exceed the grace period of a draining endpoint.
const MIN_POLL_DELAY: Duration = Duration::from_millis(50);
/// Timeout of a response, from the start of the poll. Discovery itself fails a poll that has been queued
/// for 2 s.
pub const DISCOVERY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2200);
/// Time after which a node [counts as notified](PollBackoff) of a change at the latest, from when discovery
/// had the change and could be reached. Polls that failed before do not extend it.
pub const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// Longest delay between polls where calls are counted. A poll may start just before discovery can be
/// reached, and fail. This delay and the next poll, including its time in discovery's queue, must then fit
/// into the rest of [`NOTIFICATION_DEADLINE`].
pub const MAX_POLL_DELAY: Duration = Duration::from_millis(1500);
/// First polls, and polls after a first failure, are spread over this time for each further node of the
/// fleet, but over at most [`MAX_POLL_DELAY`]. Nodes that start together, or lose their watches together,
/// would otherwise fill the queue of discovery, where a poll that times out still uses a slot.
const JITTER_PER_NODE: Duration = Duration::from_millis(60);
/// Longest jitter where little time is left: after a watch whose empty lines stopped, which is noticed some
/// seconds later, and after a change of the agent's address, of which a node counts as notified after 4 s.
pub const MAX_SHORT_JITTER: Duration = Duration::from_millis(750);
/// Shortest delay after a first failure, as a fraction of [`PollBackoff::next_max_delay`].
const FIRST_FAILURE_MIN_FRACTION: f64 = 0.0;
/// Shortest delay after further failures, as a fraction of the same bound. The nodes' polls are spread by
/// then.
const REPEATED_FAILURE_MIN_FRACTION: f64 = 0.5;

// A change that a failed poll missed must arrive with the next poll before the notification deadline.
const _: () = assert!(
    2 * DISCOVERY_RESPONSE_TIMEOUT.as_millis() + MAX_POLL_DELAY.as_millis()
        <= NOTIFICATION_DEADLINE.as_millis()
);

/// Draws the delays between polls. Each is random, so that nodes whose polls fail together do not poll
/// together again.
///
/// A node *counts as notified* of a change from a certain time on, whether it has received the change or
/// not. From then on it must act on the change: send nothing new to a removed endpoint, for example. So the
/// delays must bring the next poll before that time, or as soon as possible if it has passed.
///
/// Calls to discovery are *uncounted* where the agent pushes changes: they go to the node's own agent and use
/// up nothing, so they may be repeated and hedged at will. They are *counted* where changes are sent only to
/// subscribers: all nodes then share one discovery service of fixed capacity.
pub struct PollBackoff {
    rng: fastrand::Rng,
    calls_are_uncounted: bool,
    /// Range over which the first polls of the fleet are spread.
    max_jitter: Duration,
    /// Upper bound of the delay after the next failure.
    next_max_delay: Duration,
    last_poll_failed: bool,
    /// Maximum to which `next_max_delay` doubles.
    max_delay: Duration,
    /// Upper bound of the delay after the next invalid response.
    next_max_delay_after_invalid: Duration,
}

impl PollBackoff {
    /// Creates the backoff of one node. `seed` must differ between the nodes of a fleet, so that their delays
    /// do.
    pub fn new(settings: PollSettings, seed: u64) -> Self {
        // A single node needs no jitter.
        let others = settings.fleet_size.map_or(0, |nodes| nodes.saturating_sub(1));
        // After this time a node counts as notified, whether it polled or not.
        let notified_after = settings.notified_after.map_or(Duration::MAX, duration_from_millis);
        let max_jitter = (JITTER_PER_NODE * others).min(notified_after).min(MAX_POLL_DELAY);
        let calls_are_uncounted = settings.fleet_size.is_none();
        Self {
            // The gateway uses the same seed; a fork yields other random numbers.
            rng: fastrand::Rng::with_seed(seed).fork(),
            calls_are_uncounted,
            max_jitter,
            next_max_delay: max_jitter.max(MIN_POLL_DELAY),
            last_poll_failed: false,
            max_delay: if calls_are_uncounted { MIN_POLL_DELAY } else { MAX_POLL_DELAY },
            next_max_delay_after_invalid: MIN_POLL_DELAY,
        }
    }

    /// Whether calls to discovery are uncounted, which they are where the agent pushes changes.
    pub fn calls_are_uncounted(&self) -> bool {
        self.calls_are_uncounted
    }

    /// Draws the delay before the first call of a node that already has a list.
    pub fn first_delay(&mut self) -> Duration {
        self.max_jitter.mul_f64(self.rng.f64())
    }

    /// Draws the delay before a poll that must be made soon, and that other nodes are likely to make as well.
    pub fn short_jitter(&mut self) -> Duration {
        self.max_jitter.min(MAX_SHORT_JITTER).mul_f64(self.rng.f64())
    }

    /// Draws the delay after a failed poll. After a first failure, which may have affected all nodes at the
    /// same time, the delay is up to `next_max_delay`; after further failures it is at least half of that.
    pub fn delay_after_failure(&mut self) -> Duration {
        let min_fraction =
            if self.last_poll_failed { REPEATED_FAILURE_MIN_FRACTION } else { FIRST_FAILURE_MIN_FRACTION };
        let fraction = min_fraction + (1.0 - min_fraction) * self.rng.f64();
        let delay = self.next_max_delay.mul_f64(fraction).max(MIN_POLL_DELAY);
        self.next_max_delay = (self.next_max_delay * 2).min(self.max_delay);
        self.last_poll_failed = true;
        delay
    }

    /// Draws the delay after an invalid response: rejected, truncated, unreadable or too long. The same
    /// response is likely to be sent again, and a complete list is expensive to send, so this delay grows
    /// even where calls are uncounted.
    pub fn delay_after_invalid_response(&mut self) -> Duration {
        let delay_after_failure = self.delay_after_failure();
        if !self.calls_are_uncounted {
            return delay_after_failure;
        }
        let fraction = REPEATED_FAILURE_MIN_FRACTION + (1.0 - REPEATED_FAILURE_MIN_FRACTION) * self.rng.f64();
        let delay = self.next_max_delay_after_invalid.mul_f64(fraction);
        self.next_max_delay_after_invalid = (self.next_max_delay_after_invalid * 2).min(MAX_POLL_DELAY);
        delay.max(delay_after_failure)
    }

    /// Resets the delays after a successful poll, so that the next failure counts as a first one.
    pub fn reset(&mut self) {
        self.next_max_delay_after_invalid = MIN_POLL_DELAY;
        self.next_max_delay = self.max_jitter.max(MIN_POLL_DELAY);
        self.last_poll_failed = false;
    }
}

#[cfg(test)]
mod tests;
