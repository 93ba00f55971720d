//! The queue of an endpoint, its stop, and its limit on attempts in slow start.

use super::*;

#[test]
fn attempts_wait_for_a_core_in_order_and_are_lost_with_the_process() {
    let mut endpoint = SimulatedEndpoint::new(1);
    assert_eq!(endpoint.accept(AttemptId(1)), Some(AttemptId(1)));
    assert_eq!(
        (endpoint.accept(AttemptId(2)), endpoint.accept(AttemptId(3)), endpoint.in_flight()),
        (None, None, 3)
    );
    assert_eq!(
        (endpoint.finish_one(), endpoint.finish_one(), endpoint.finish_one()),
        (Some(AttemptId(2)), Some(AttemptId(3)), None)
    );
    endpoint.accept(AttemptId(4));
    endpoint.stop();
    assert_eq!((endpoint.in_flight(), endpoint.running), (0, false));
}

#[test]
fn attempts_beyond_the_slow_start_limit_are_counted() {
    let mut endpoint = SimulatedEndpoint::new(1);
    endpoint.start(0.0);
    // n = 2 * 0.2 * 1 s / 100 ms = 4, so the limit is 4 + 2 * 2 + 2 = 10.
    (0..10).for_each(|_| endpoint.count_attempt(0.0, 100.0));
    assert_eq!(endpoint.slow_start_excess_attempts, 0);
    endpoint.count_attempt(1.0, 100.0);
    assert_eq!(endpoint.slow_start_excess_attempts, 1);
    (0..100).for_each(|_| endpoint.count_attempt(2.0 * SLOW_START_DURATION, 100.0));
    assert_eq!((endpoint.slow_start_excess_attempts, endpoint.attempts), (1, 111));
}
