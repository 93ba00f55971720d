//! The waits between calls, of one node and of a fleet.

use super::*;

fn fleet(nodes: u32) -> Vec<PollBackoff> {
    let asking = PollSettings { fleet_size: Some(nodes), notified_after: Some(10_000.0) };
    (0..nodes).map(|seed| PollBackoff::new(asking, seed.into())).collect()
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
    assert!(crowd(fleet(100).iter_mut().map(PollBackoff::first_delay).collect()) <= 16);
    assert!(crowd(fleet(20).iter_mut().map(PollBackoff::short_jitter).collect()) <= 8);
    let mut watching = fleet(100);
    for backoff in &mut watching {
        backoff.delay_after_failure();
        backoff.reset();
    }
    assert!(crowd(watching.iter_mut().map(PollBackoff::delay_after_failure).collect()) <= 16);
    assert!(fleet(3)
        .iter_mut()
        .all(|backoff| backoff.first_delay().max(backoff.delay_after_failure()) < millis(200.0)));
    assert_eq!(fleet(1)[0].first_delay(), Duration::ZERO);
}

#[test]
fn a_large_fleet_whose_calls_all_fail_calls_no_more_than_the_term_makes_it_and_never_in_step() {
    let mut calls = Vec::new();
    for backoff in &mut fleet(100) {
        let mut now = Duration::ZERO;
        while now < Duration::from_secs(60) {
            now += backoff.delay_after_failure();
            calls.push(now);
        }
    }
    // Once all have backed off. A node may wait for 1.5 s at the most, so that the next call's answer comes
    // in time: it waits for half of that at the least, and the fleet calls 89 times a second if all are
    // refused.
    calls.retain(|at| (30..60).contains(&at.as_secs()));
    assert!((2_500..=2_850).contains(&calls.len()), "{} calls in 30 s", calls.len());
    assert!(crowd(calls) <= 24);
}

#[test]
fn however_large_the_fleet_the_next_call_is_answered_within_6_s_of_discoverys_return() {
    // Discovery is down for a while: a call that it does not answer is waited for so long, and one that it
    // does answer may have to wait for its turn as long.
    let longest = RESPONSE_TIMEOUT;
    for nodes in [2, 20, 300, 1_000] {
        for backoff in &mut fleet(nodes) {
            backoff.delay_after_failure();
            backoff.reset();
            for silent in [true, false] {
                let (mut now, mut last) = (Duration::ZERO, Duration::ZERO);
                while now < Duration::from_secs(30) {
                    now += if silent { longest } else { Duration::ZERO } + backoff.delay_after_failure();
                    // It came back just after the last call had begun.
                    assert!(now - last + longest <= millis(6_000.0), "{:?}", now - last);
                    last = now;
                }
                backoff.reset();
            }
        }
    }
}

#[test]
fn however_large_the_fleet_first_calls_leave_time_for_one_that_is_refused() {
    let longest = RESPONSE_TIMEOUT;
    for backoff in &mut fleet(1000) {
        let first = backoff.first_delay();
        backoff.delay_after_failure();
        assert!(first + backoff.delay_after_failure() + longest <= millis(6_000.0));
        // A watch that fell silent has been so for 3 s by then, and a call takes its turn.
        assert!(backoff.short_jitter() + longest <= millis(3_000.0));
    }
}

#[test]
fn where_calls_are_not_free_the_wait_grows_and_success_makes_it_the_first_again() {
    let mut backoff = PollBackoff::new(PollSettings { fleet_size: Some(1), notified_after: None }, 7);
    assert_eq!(backoff.first_delay(), Duration::ZERO);
    let waits: Vec<_> = (0..50).map(|_| backoff.delay_after_failure()).collect();
    assert!(waits.iter().all(|wait| (MIN_DELAY..=MAX_DELAY).contains(wait)));
    assert!(waits.iter().any(|wait| *wait > MAX_DELAY / 2));
    backoff.reset();
    assert_eq!(backoff.delay_after_failure(), MIN_DELAY);
}

#[test]
fn where_calls_are_free_no_wait_passes_the_grace_for_a_drain() {
    let mut backoff = PollBackoff::new(PollSettings { fleet_size: None, notified_after: None }, 7);
    let (first, soon) = (backoff.first_delay(), backoff.short_jitter());
    assert_eq!((first, soon), (Duration::ZERO, Duration::ZERO));
    assert!((0..50).all(|_| (millis(20.0)..=millis(100.0)).contains(&backoff.delay_after_failure())));
}

#[test]
fn unusable_answers_are_backed_off_from_with_jitter_and_in_time_where_calls_are_free() {
    let schedule = |seed| PollBackoff::new(PollSettings { fleet_size: None, notified_after: None }, seed);
    let mut backoff = schedule(7);
    // One such answer may be an accident, and a drain may be waiting behind it.
    assert!(backoff.delay_after_invalid_response() <= millis(100.0));
    let waits: Vec<_> = (0..50).map(|_| backoff.delay_after_invalid_response()).collect();
    assert!(waits[10..].iter().all(|wait| (MAX_DELAY / 2..=MAX_DELAY).contains(wait)), "{waits:?}");
    // The answer to the next call still comes within the time after which a change counts as told.
    assert!(MAX_DELAY + 2 * RESPONSE_TIMEOUT <= NOTIFICATION_DEADLINE);
    let (mut one, mut other) = (schedule(1), schedule(2));
    assert!((0..10).any(|_| one.delay_after_invalid_response() != other.delay_after_invalid_response()));
    // Silence is another matter: what the agent gets at discovery's return counts at once.
    assert!((0..50).all(|_| backoff.delay_after_failure() <= millis(100.0)));
    backoff.reset();
    assert!(backoff.delay_after_invalid_response() <= millis(100.0));
}
