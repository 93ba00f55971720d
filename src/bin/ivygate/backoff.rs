//! When to call discovery: jitter on the first call, exponential backoff with jitter after failures.

use crate::clock::millis;
use ivygate::Asking;
use std::time::Duration;

/// First wait after a failure, and the shortest of all; doubles up to the last. Where calls are free it is
/// every wait: what the agent holds counts as told at once, so a longer one would pass the grace for a drain.
const FIRST: Duration = Duration::from_millis(50);
/// The last where few nodes make calls that are not free.
const LAST_LEAST: Duration = Duration::from_secs(1);
/// What each node adds to the last wait where all call one discovery: even if none is answered, all together
/// then call some twenty times a second, which is about what a list service is built for.
const LAST_PER_NODE: Duration = Duration::from_millis(100);
/// What each node adds to the time over which first calls are spread, and those after a first failure: a
/// fleet that starts in one moment, or whose watches break in one, would else fill the line at once, and a
/// call that has waited too long in it has cost its turn all the same.
const SPREAD_PER_NODE: Duration = Duration::from_millis(60);
/// The most of that time for first calls and those after a watch that broke. What discovery has to tell counts
/// as told after 6 s; the rest is for the call's turn and its answer.
const SPREAD_MOST: Duration = Duration::from_millis(4500);
/// And after a watch that fell silent, which it did some seconds before that could be known (see `SILENCE` in
/// `discovery`), or when discovery has moved, which counts after 4 s.
const SOON_MOST: Duration = Duration::from_millis(1500);

/// The waits between calls, drawn anew for each so that nodes which fail together do not call together again.
pub struct Pace {
    rng: fastrand::Rng,
    free: bool,
    spread: Duration,
    /// The longest that the next wait may be.
    wait: Duration,
    last: Duration,
}

impl Pace {
    /// The pace of one node, by what the settings tell of the fleet.
    pub fn new(asking: Asking, seed: u64) -> Self {
        // One node alone has nobody to make way for.
        let others = asking.callers.map_or(0, |nodes| nodes.saturating_sub(1));
        // Past this a node counts as told, whether it asked or not.
        let within = asking.within.map_or(Duration::MAX, millis);
        let spread = (SPREAD_PER_NODE * others).min(within).min(SPREAD_MOST);
        let free = asking.callers.is_none();
        Self {
            // The module draws from the seed as well; what it draws must not be drawn again here.
            rng: fastrand::Rng::with_seed(seed).fork(),
            free,
            spread,
            wait: spread.max(FIRST),
            last: if free { FIRST } else { (LAST_PER_NODE * others).min(within).max(LAST_LEAST) },
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

    /// The wait after a call that failed: anything up to the present one.
    pub fn failed(&mut self) -> Duration {
        let wait = self.wait.mul_f64(self.rng.f64()).max(FIRST);
        self.wait = (self.wait * 2).min(self.last);
        wait
    }

    /// A call succeeded: the next failure is the first again.
    pub fn succeeded(&mut self) {
        self.wait = self.spread.max(FIRST);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet(nodes: u32) -> Vec<Pace> {
        let asking = Asking { callers: Some(nodes), within: Some(10_000.0) };
        (0..nodes).map(|seed| Pace::new(asking, seed.into())).collect()
    }

    /// The most calls that begin within 100 ms of each other.
    fn crowd(mut calls: Vec<Duration>) -> usize {
        calls.sort_unstable();
        let near = |at: &Duration| calls.iter().filter(|t| (*at..*at + millis(100.0)).contains(t)).count();
        calls.iter().map(near).max().unwrap_or(0)
    }

    #[test]
    fn a_large_fleet_that_starts_or_loses_its_watches_together_does_not_call_together() {
        assert!(crowd(fleet(100).iter_mut().map(Pace::first).collect()) <= 10);
        assert!(crowd(fleet(20).iter_mut().map(Pace::soon).collect()) <= 5);
        let mut watching = fleet(100);
        for pace in &mut watching {
            pace.failed();
            pace.succeeded();
        }
        assert!(crowd(watching.iter_mut().map(Pace::failed).collect()) <= 10);
        assert!(fleet(3).iter_mut().all(|pace| pace.first().max(pace.failed()) < millis(200.0)));
        assert_eq!(fleet(1)[0].first(), Duration::ZERO);
    }

    #[test]
    fn a_large_fleet_whose_calls_all_fail_calls_less_and_less_and_never_in_step() {
        let mut calls = Vec::new();
        for pace in &mut fleet(100) {
            let mut now = Duration::ZERO;
            while now < Duration::from_secs(60) {
                now += pace.failed();
                calls.push(now);
            }
        }
        // Once all have backed off.
        calls.retain(|at| (30..60).contains(&at.as_secs()));
        assert!((450..=750).contains(&calls.len()), "{} calls in 30 s", calls.len());
        assert!(crowd(calls) <= 10);
    }

    #[test]
    fn however_large_the_fleet_a_call_is_made_in_time_to_be_told() {
        for pace in &mut fleet(1000) {
            // Past 6 s a change counts as told; a watch that fell silent has been so for 3 s by then, and a
            // call takes its turn.
            assert!(pace.first() <= millis(5000.0));
            assert!(pace.failed() <= millis(5000.0));
            assert!(pace.soon() <= millis(2000.0));
        }
    }

    #[test]
    fn where_calls_are_not_free_the_wait_grows_and_success_makes_it_the_first_again() {
        let mut pace = Pace::new(Asking { callers: Some(1), within: None }, 7);
        assert_eq!(pace.first(), Duration::ZERO);
        let waits: Vec<_> = (0..50).map(|_| pace.failed()).collect();
        assert!(waits.iter().all(|wait| (FIRST..=LAST_LEAST).contains(wait)));
        assert!(waits.iter().any(|wait| *wait > LAST_LEAST / 2));
        pace.succeeded();
        assert_eq!(pace.failed(), FIRST);
    }

    #[test]
    fn where_calls_are_free_no_wait_passes_the_grace_for_a_drain() {
        let mut pace = Pace::new(Asking { callers: None, within: None }, 7);
        let (first, soon) = (pace.first(), pace.soon());
        assert_eq!((first, soon), (Duration::ZERO, Duration::ZERO));
        assert!((0..50).all(|_| (millis(20.0)..=millis(100.0)).contains(&pace.failed())));
    }
}
