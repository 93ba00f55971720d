use super::*;
use std::pin::pin;

fn expired_tokens(queue: &mut TimerQueue, now: Millis) -> Vec<u64> {
    let expired = queue.take_expired(UnixMicros::from_millis(now));
    let token = |timer| if let Timer::Gateway(token) = timer { token } else { panic!("not a gateway timer") };
    expired.into_values().map(token).collect()
}

/// Whether the wakeup was notified since the last call.
fn was_woken(queue: &TimerQueue) -> bool {
    let wakeup = queue.wakeup();
    let mut notified = pin!(wakeup.notified());
    notified.as_mut().enable()
}

#[test]
fn timers_expire_in_order_of_time_and_then_of_setting() {
    let mut queue = TimerQueue::default();
    for (token, at) in [(1, 30.0), (2, 10.0), (3, 10.0), (4, 20.0), (5, 10.0)] {
        queue.set(at, Timer::Gateway(token));
    }
    assert_eq!(queue.next_expiry(), Some(UnixMicros::from_millis(10.0)));
    assert!(expired_tokens(&mut queue, 9.999).is_empty());
    assert_eq!(expired_tokens(&mut queue, 20.0), [2, 3, 5, 4]);
    assert_eq!(expired_tokens(&mut queue, 30.0), [1]);
    assert_eq!(queue.next_expiry(), None);
}

#[test]
fn a_cancelled_timer_does_not_expire() {
    let mut queue = TimerQueue::default();
    let key = queue.set(10.0, Timer::Gateway(1));
    queue.set(10.0, Timer::Gateway(2));
    queue.cancel(key);
    assert_eq!(expired_tokens(&mut queue, 10.0), [2]);
    queue.cancel(key);
}

#[test]
fn only_a_timer_that_becomes_the_first_wakes_the_sleeper() {
    let mut queue = TimerQueue::default();
    queue.set(10.0, Timer::Gateway(1));
    assert!(was_woken(&queue));
    queue.set(10.0, Timer::Gateway(2));
    queue.set(20.0, Timer::Gateway(3));
    assert!(!was_woken(&queue));
    queue.set(5.0, Timer::Gateway(4));
    assert!(was_woken(&queue));
}

#[test]
fn a_timer_key_tells_when_and_how_late_its_timer_expires() {
    let key = TimerQueue::default().set(10.0, Timer::Gateway(1));
    assert!(key.expires_after(9.999) && !key.expires_after(10.0));
    assert!(!key.is_overdue(UnixMicros::from_millis(12.0), 2_000));
    assert!(key.is_overdue(UnixMicros::from_millis(12.001), 2_000));
}
