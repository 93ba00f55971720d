//! The delays between polls of discovery: jitter on the first poll, exponential backoff with jitter after
//! failures.

use crate::configuration::PollSettings;
use crate::time::duration_from_millis;
use std::time::Duration;

/// First delay after a failure, and the shortest of all; doubles up to the maximum. Where polls are free it
/// is every delay: what the agent holds counts as notified at once, so a longer one would exceed the grace
/// period of a draining endpoint.
const MIN_POLL_DELAY: Duration = Duration::from_millis(50);
/// Longest time for a response, from the start of the poll: discovery itself fails a poll that has been
/// queued for 2 s.
pub const DISCOVERY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2200);
/// A node counts as notified of a change this long after discovery had it and could be reached, whatever poll
/// failed before.
pub const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// Longest delay where polls are not free. A poll may start just before discovery can be reached and fail:
/// what is left of [`NOTIFICATION_DEADLINE`] then is for this delay, and the next poll's time in the queue
/// and response.
pub const MAX_POLL_DELAY: Duration = Duration::from_millis(1500);
/// What each node adds to the time over which first polls are spread, and those after a first failure, up to
/// the longest delay. A fleet whose nodes start together, or lose their watches together, would otherwise
/// fill the queue at once, and a poll that times out in the queue has used its slot all the same.
const JITTER_PER_NODE: Duration = Duration::from_millis(60);
/// Longest jitter after a watch whose heartbeats stopped, which is noticed some seconds later, or after a
/// move of discovery, which counts as notified after 4 s.
pub const MAX_SHORT_JITTER: Duration = Duration::from_millis(750);
/// After a first failure a delay is drawn from this fraction of the present maximum upwards ...
const FIRST_FAILURE_MIN_FRACTION: f64 = 0.0;
/// ... and after further ones from this one, since they are spread by then.
const REPEATED_FAILURE_MIN_FRACTION: f64 = 0.5;

// A change that a failed poll missed arrives with the next poll before the deadline.
const _: () = assert!(
    2 * DISCOVERY_RESPONSE_TIMEOUT.as_millis() + MAX_POLL_DELAY.as_millis()
        <= NOTIFICATION_DEADLINE.as_millis()
);

/// Draws the delays between polls, anew for each so that nodes that fail together do not poll together again.
pub struct PollBackoff {
    rng: fastrand::Rng,
    polls_are_free: bool,
    /// The time over which the first polls of the fleet are spread.
    max_jitter: Duration,
    /// Upper bound of the next delay.
    next_max_delay: Duration,
    /// Whether the last poll failed as well.
    last_poll_failed: bool,
    /// Upper bound of all delays.
    max_delay: Duration,
    /// Upper bound of the delay after the next invalid response.
    next_max_delay_after_invalid: Duration,
}

impl PollBackoff {
    /// The delays of one node, by what the settings say of the fleet.
    pub fn new(settings: PollSettings, seed: u64) -> Self {
        // A single node has nobody to avoid.
        let others = settings.fleet_size.map_or(0, |nodes| nodes.saturating_sub(1));
        // After this time a node counts as notified, whether it polled or not.
        let notified_after = settings.notified_after.map_or(Duration::MAX, duration_from_millis);
        let max_jitter = (JITTER_PER_NODE * others).min(notified_after).min(MAX_POLL_DELAY);
        let polls_are_free = settings.fleet_size.is_none();
        Self {
            // The gateway draws from the seed as well; its draws must not be repeated here.
            rng: fastrand::Rng::with_seed(seed).fork(),
            polls_are_free,
            max_jitter,
            next_max_delay: max_jitter.max(MIN_POLL_DELAY),
            last_poll_failed: false,
            max_delay: if polls_are_free { MIN_POLL_DELAY } else { MAX_POLL_DELAY },
            next_max_delay_after_invalid: MIN_POLL_DELAY,
        }
    }

    /// Whether polls cost nothing.
    pub fn polls_are_free(&self) -> bool {
        self.polls_are_free
    }

    /// The delay before the first poll of a node that holds a list.
    pub fn first_delay(&mut self) -> Duration {
        self.max_jitter.mul_f64(self.rng.f64())
    }

    /// The delay before a poll that other nodes are likely to make as well and that has little time.
    pub fn short_jitter(&mut self) -> Duration {
        self.max_jitter.min(MAX_SHORT_JITTER).mul_f64(self.rng.f64())
    }

    /// The delay after a failed poll: anything up to the present maximum after a first failure, which may
    /// have affected all nodes at one moment; at least half of it after further ones, which are spread by
    /// then.
    pub fn delay_after_failure(&mut self) -> Duration {
        let min_fraction =
            if self.last_poll_failed { REPEATED_FAILURE_MIN_FRACTION } else { FIRST_FAILURE_MIN_FRACTION };
        let fraction = min_fraction + (1.0 - min_fraction) * self.rng.f64();
        let delay = self.next_max_delay.mul_f64(fraction).max(MIN_POLL_DELAY);
        self.next_max_delay = (self.next_max_delay * 2).min(self.max_delay);
        self.last_poll_failed = true;
        delay
    }

    /// The delay after an invalid response: rejected, truncated, unreadable or too long. Whoever sent it is
    /// likely to send it again, and a complete list is expensive to send, so this grows even where polls are
    /// free.
    pub fn delay_after_invalid_response(&mut self) -> Duration {
        let delay_after_failure = self.delay_after_failure();
        if !self.polls_are_free {
            return delay_after_failure;
        }
        let fraction = REPEATED_FAILURE_MIN_FRACTION + (1.0 - REPEATED_FAILURE_MIN_FRACTION) * self.rng.f64();
        let delay = self.next_max_delay_after_invalid.mul_f64(fraction);
        self.next_max_delay_after_invalid = (self.next_max_delay_after_invalid * 2).min(MAX_POLL_DELAY);
        delay.max(delay_after_failure)
    }

    /// A poll succeeded: the next failure counts as the first again.
    pub fn reset(&mut self) {
        self.next_max_delay_after_invalid = MIN_POLL_DELAY;
        self.next_max_delay = self.max_jitter.max(MIN_POLL_DELAY);
        self.last_poll_failed = false;
    }
}

#[cfg(test)]
mod tests;
