//! When to call discovery: jitter on the first call, exponential backoff with jitter after failures.

use crate::configuration::Asking;
use crate::time::millis;
use std::time::Duration;

/// First wait after a failure, and the shortest of all; doubles up to the last. Where calls are free it is
/// every wait: what the agent holds counts as told at once, so a longer one would pass the grace for a drain.
const FIRST: Duration = Duration::from_millis(50);
/// Longest time for an answer, from the call's beginning: discovery itself fails a call that has waited 2 s for
/// its turn.
pub const ANSWER: Duration = Duration::from_millis(2200);
/// What discovery has to tell counts as told so long after it had it and could be reached, whatever call failed
/// before.
pub const TOLD: Duration = Duration::from_secs(6);
/// The last wait where calls are not free. A call may begin just before discovery can be reached and fail: what
/// is left of `TOLD` then is for this wait, and the next call's turn and answer.
pub const LAST: Duration = Duration::from_millis(1500);
/// What each node adds to the time over which first calls are spread, and those after a first failure, up to
/// the last wait: a fleet that starts in one moment, or whose watches break in one, would else fill the line at
/// once, and a call that has waited too long in it has cost its turn all the same.
const SPREAD_PER_NODE: Duration = Duration::from_millis(60);
/// The most of that time after a watch that fell silent, which it did some seconds before that could be known,
/// or when discovery has moved, which counts after 4 s.
pub const SOON_MOST: Duration = Duration::from_millis(750);

// What is missed while a call fails comes with the next call in time.
const _: () = assert!(2 * ANSWER.as_millis() + LAST.as_millis() <= TOLD.as_millis());

/// The waits between calls, drawn anew for each so that nodes which fail together do not call together again.
pub struct Backoff {
    rng: fastrand::Rng,
    free: bool,
    spread: Duration,
    /// The longest that the next wait may be.
    wait: Duration,
    /// The last call failed as well.
    again: bool,
    last: Duration,
    /// The longest that the wait after the next unusable answer may be.
    unusable_wait: Duration,
}

impl Backoff {
    /// The pace of one node, by what the settings tell of the fleet.
    pub fn new(asking: Asking, seed: u64) -> Self {
        // One node alone has nobody to make way for.
        let others = asking.callers.map_or(0, |nodes| nodes.saturating_sub(1));
        // Past this a node counts as told, whether it asked or not.
        let within = asking.within.map_or(Duration::MAX, millis);
        let spread = (SPREAD_PER_NODE * others).min(within).min(LAST);
        let free = asking.callers.is_none();
        Self {
            // The module draws from the seed as well; what it draws must not be drawn again here.
            rng: fastrand::Rng::with_seed(seed).fork(),
            free,
            spread,
            wait: spread.max(FIRST),
            again: false,
            last: if free { FIRST } else { LAST },
            unusable_wait: FIRST,
        }
    }

    /// Whether calls cost nothing.
    pub fn free(&self) -> bool {
        self.free
    }

    /// The wait before the first call of a node that holds a list.
    pub fn first(&mut self) -> Duration {
        self.spread.mul_f64(self.rng.f64())
    }

    /// The wait before a call that others are likely to make as well and that has little time.
    pub fn soon(&mut self) -> Duration {
        self.spread.min(SOON_MOST).mul_f64(self.rng.f64())
    }

    /// The wait after a call that failed: anything up to the present one after a first failure, which may have
    /// met all nodes in one moment; at least half of it after further ones, which are spread by then.
    pub fn failed(&mut self) -> Duration {
        let least = if self.again { 0.5 } else { 0.0 };
        let wait = self.wait.mul_f64(least + (1.0 - least) * self.rng.f64()).max(FIRST);
        self.wait = (self.wait * 2).min(self.last);
        self.again = true;
        wait
    }

    /// The wait after an answer that came and is of no use: refused, cut, unreadable or too long. Whoever gave
    /// it is likely to give it again, and a whole list costs much to send, so that this grows even where calls
    /// are free.
    pub fn unusable(&mut self) -> Duration {
        let failed = self.failed();
        if !self.free {
            return failed;
        }
        let wait = self.unusable_wait.mul_f64(0.5 + 0.5 * self.rng.f64());
        self.unusable_wait = (self.unusable_wait * 2).min(LAST);
        wait.max(failed)
    }

    /// A call succeeded: the next failure is the first again.
    pub fn succeeded(&mut self) {
        self.unusable_wait = FIRST;
        self.wait = self.spread.max(FIRST);
        self.again = false;
    }
}

#[cfg(test)]
mod tests;
