//! The waits between calls, of one node and of a fleet.

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
    // A hundred nodes within 1.5 s, the most that 6 s leave: seven in 100 ms, and chance.
    assert!(crowd(fleet(100).iter_mut().map(Pace::first).collect()) <= 16);
    assert!(crowd(fleet(20).iter_mut().map(Pace::soon).collect()) <= 8);
    let mut watching = fleet(100);
    for pace in &mut watching {
        pace.failed();
        pace.succeeded();
    }
    assert!(crowd(watching.iter_mut().map(Pace::failed).collect()) <= 16);
    assert!(fleet(3).iter_mut().all(|pace| pace.first().max(pace.failed()) < millis(200.0)));
    assert_eq!(fleet(1)[0].first(), Duration::ZERO);
}

#[test]
fn a_large_fleet_whose_calls_all_fail_calls_no_more_than_the_term_makes_it_and_never_in_step() {
    let mut calls = Vec::new();
    for pace in &mut fleet(100) {
        let mut now = Duration::ZERO;
        while now < Duration::from_secs(60) {
            now += pace.failed();
            calls.push(now);
        }
    }
    // Once all have backed off. A node may wait for 1.5 s at the most, so that the next call's answer comes in
    // time: it waits for half of that at the least, and the fleet calls 89 times a second if all are refused.
    calls.retain(|at| (30..60).contains(&at.as_secs()));
    assert!((2_500..=2_850).contains(&calls.len()), "{} calls in 30 s", calls.len());
    assert!(crowd(calls) <= 24);
}

#[test]
fn however_large_the_fleet_the_next_call_is_answered_within_6_s_of_discoverys_return() {
    // Discovery is down for a while: a call that it does not answer is waited for so long, and one that it
    // does answer may have to wait for its turn as long.
    let longest = crate::discovery::ANSWER;
    for nodes in [2, 20, 300, 1_000] {
        for pace in &mut fleet(nodes) {
            pace.failed();
            pace.succeeded();
            for silent in [true, false] {
                let (mut now, mut last) = (Duration::ZERO, Duration::ZERO);
                while now < Duration::from_secs(30) {
                    now += if silent { longest } else { Duration::ZERO } + pace.failed();
                    // It came back just after the last call had begun.
                    assert!(now - last + longest <= millis(6_000.0), "{:?}", now - last);
                    last = now;
                }
                pace.succeeded();
            }
        }
    }
}

#[test]
fn however_large_the_fleet_first_calls_leave_time_for_one_that_is_refused() {
    let longest = crate::discovery::ANSWER;
    for pace in &mut fleet(1000) {
        let first = pace.first();
        pace.failed();
        assert!(first + pace.failed() + longest <= millis(6_000.0));
        // A watch that fell silent has been so for 3 s by then, and a call takes its turn.
        assert!(pace.soon() + longest <= millis(3_000.0));
    }
}

#[test]
fn where_calls_are_not_free_the_wait_grows_and_success_makes_it_the_first_again() {
    let mut pace = Pace::new(Asking { callers: Some(1), within: None }, 7);
    assert_eq!(pace.first(), Duration::ZERO);
    let waits: Vec<_> = (0..50).map(|_| pace.failed()).collect();
    assert!(waits.iter().all(|wait| (FIRST..=LAST).contains(wait)));
    assert!(waits.iter().any(|wait| *wait > LAST / 2));
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
