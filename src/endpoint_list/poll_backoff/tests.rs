//! Tests of the delays between polls, for one node and for a fleet.

use super::*;

fn fleet(nodes: u32) -> Vec<PollBackoff> {
    let settings = PollSettings { fleet_size: Some(nodes), notified_after: Some(10_000.0) };
    (0..nodes).map(|seed| PollBackoff::new(settings, seed.into())).collect()
}

/// The largest number of polls that start within 100 ms.
fn max_simultaneous(mut polls: Vec<Duration>) -> usize {
    polls.sort_unstable();
    let simultaneous =
        |at: &Duration| polls.iter().filter(|t| (*at..*at + Duration::from_millis(100)).contains(t)).count();
    polls.iter().map(simultaneous).max().unwrap_or(0)
}

#[test]
fn polls_of_a_large_fleet_are_spread_after_a_common_start_or_failure() {
    // 100 nodes are spread over 1.5 s, the longest jitter that the notification deadline of 6 s allows: on
    // average 7 in 100 ms, and more by chance.
    assert!(max_simultaneous(fleet(100).iter_mut().map(PollBackoff::first_delay).collect()) <= 16);
    assert!(max_simultaneous(fleet(20).iter_mut().map(PollBackoff::short_jitter).collect()) <= 8);
    let mut watching = fleet(100);
    for backoff in &mut watching {
        backoff.delay_after_failure();
        backoff.reset();
    }
    assert!(max_simultaneous(watching.iter_mut().map(PollBackoff::delay_after_failure).collect()) <= 16);
    assert!(
        fleet(3)
            .iter_mut()
            .all(|backoff| backoff.first_delay().max(backoff.delay_after_failure())
                < Duration::from_millis(200))
    );
    assert_eq!(fleet(1)[0].first_delay(), Duration::ZERO);
}

#[test]
fn failing_polls_of_a_large_fleet_stay_bounded_and_spread() {
    let mut polls = Vec::new();
    for backoff in &mut fleet(100) {
        let mut now = Duration::ZERO;
        while now < Duration::from_secs(60) {
            now += backoff.delay_after_failure();
            polls.push(now);
        }
    }
    // After 30 s all nodes have backed off. Delays are between 0.75 s and 1.5 s, so that the response to the
    // next poll is in time: if all polls are rejected, the fleet polls 89 times a second.
    polls.retain(|at| (30..60).contains(&at.as_secs()));
    assert!((2_500..=2_850).contains(&polls.len()), "{} polls in 30 s", polls.len());
    assert!(max_simultaneous(polls) <= 24);
}

#[test]
fn poll_is_answered_within_6_s_of_recovery_at_any_fleet_size() {
    // While discovery is down, a poll without a response takes the whole timeout; one that gets a response
    // may have been queued as long.
    for nodes in [2, 20, 300, 1_000] {
        for backoff in &mut fleet(nodes) {
            backoff.delay_after_failure();
            backoff.reset();
            for silent in [true, false] {
                let (mut now, mut last) = (Duration::ZERO, Duration::ZERO);
                while now < Duration::from_secs(30) {
                    now += if silent { DISCOVERY_RESPONSE_TIMEOUT } else { Duration::ZERO }
                        + backoff.delay_after_failure();
                    // The worst case: discovery recovered just after the last poll had started.
                    assert!(
                        now - last + DISCOVERY_RESPONSE_TIMEOUT <= Duration::from_millis(6_000),
                        "{:?}",
                        now - last
                    );
                    last = now;
                }
                backoff.reset();
            }
        }
    }
}

#[test]
fn first_poll_allows_for_one_failure_at_any_fleet_size() {
    for backoff in &mut fleet(1000) {
        let first = backoff.first_delay();
        backoff.delay_after_failure();
        assert!(
            first + backoff.delay_after_failure() + DISCOVERY_RESPONSE_TIMEOUT
                <= Duration::from_millis(6_000)
        );
        // A watch whose empty lines stopped is noticed after 3 s, half of the deadline. The next poll must
        // start and be answered in the other half.
        assert!(backoff.short_jitter() + DISCOVERY_RESPONSE_TIMEOUT <= Duration::from_millis(3_000));
    }
}

#[test]
fn delay_grows_and_resets_where_calls_are_counted() {
    let mut backoff = PollBackoff::new(PollSettings { fleet_size: Some(1), notified_after: None }, 7);
    assert_eq!(backoff.first_delay(), Duration::ZERO);
    let delays: Vec<_> = (0..50).map(|_| backoff.delay_after_failure()).collect();
    assert!(delays.iter().all(|delay| (MIN_POLL_DELAY..=MAX_POLL_DELAY).contains(delay)));
    assert!(delays.iter().any(|delay| *delay > MAX_POLL_DELAY / 2));
    backoff.reset();
    assert_eq!(backoff.delay_after_failure(), MIN_POLL_DELAY);
}

#[test]
fn delay_stays_within_the_drain_grace_period_where_calls_are_uncounted() {
    let mut backoff = PollBackoff::new(PollSettings { fleet_size: None, notified_after: None }, 7);
    let (first, short) = (backoff.first_delay(), backoff.short_jitter());
    assert_eq!((first, short), (Duration::ZERO, Duration::ZERO));
    assert!((0..50)
        .all(|_| (Duration::from_millis(20)..=Duration::from_millis(100))
            .contains(&backoff.delay_after_failure())));
}

#[test]
fn invalid_responses_are_backed_off_with_jitter_where_calls_are_uncounted() {
    let backoff_with = |seed| PollBackoff::new(PollSettings { fleet_size: None, notified_after: None }, seed);
    let mut backoff = backoff_with(7);
    // A single invalid response may be transient, and a drain may be waiting to be received after it.
    assert!(backoff.delay_after_invalid_response() <= Duration::from_millis(100));
    let delays: Vec<_> = (0..50).map(|_| backoff.delay_after_invalid_response()).collect();
    assert!(
        delays[10..].iter().all(|delay| (MAX_POLL_DELAY / 2..=MAX_POLL_DELAY).contains(delay)),
        "{delays:?}"
    );
    // The response to the next poll still arrives before the notification deadline.
    assert!(MAX_POLL_DELAY + 2 * DISCOVERY_RESPONSE_TIMEOUT <= NOTIFICATION_DEADLINE);
    let (mut one, mut other) = (backoff_with(1), backoff_with(2));
    assert!((0..10).any(|_| one.delay_after_invalid_response() != other.delay_after_invalid_response()));
    // The delay without a response does not grow: a node counts as notified as soon as the agent receives a
    // change after a recovery.
    assert!((0..50).all(|_| backoff.delay_after_failure() <= Duration::from_millis(100)));
    backoff.reset();
    assert!(backoff.delay_after_invalid_response() <= Duration::from_millis(100));
}
