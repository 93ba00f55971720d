use super::*;
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

fn pool(capacity: usize) -> MemoryPool {
    MemoryPool { reserved: Gauge::default(), ..MemoryPool::new(MessageKind::Request, capacity) }
}

fn poll<F: Future>(future: std::pin::Pin<&mut F>) -> Poll<F::Output> {
    future.poll(&mut Context::from_waker(Waker::noop()))
}

#[test]
fn bytes_hold_their_reservation_until_the_last_clone_is_dropped() {
    let pool = pool(10);
    let reservation = pool.try_reserve(6).expect("6 bytes are free");
    let bytes = reservation.attach_to(b"sixsix".to_vec());
    let part = bytes.slice(..1);
    assert_eq!(pool.reserved.get(), 6);
    drop(bytes);
    assert!(pool.try_reserve(5).is_none());
    drop(part);
    assert_eq!(pool.reserved.get(), 0);
    assert!(pool.try_reserve(10).is_some());
}

#[test]
fn reservations_grow_and_shrink_within_the_capacity() {
    let pool = pool(10);
    let mut reservation = pool.try_reserve(4).expect("4 bytes are free");
    assert!(!reservation.try_grow(&pool, 11));
    assert!(reservation.try_grow(&pool, 10));
    assert!(pool.try_reserve(1).is_none());
    reservation.shrink(3);
    assert_eq!((reservation.bytes(), pool.reserved.get()), (3, 3));
    assert!(pool.try_reserve(7).is_some());
}

#[test]
fn waits_until_enough_bytes_are_free() {
    let pool = pool(10);
    let reserved = pool.try_reserve(4).expect("4 bytes are free");
    let mut waiting = pin!(pool.reserve(8));
    assert!(poll(waiting.as_mut()).is_pending());
    drop(reserved);
    let Poll::Ready(reservation) = poll(waiting.as_mut()) else { panic!("8 bytes are free") };
    assert_eq!(reservation.bytes(), 8);
}

// A message that is longer than the pool would wait forever.
#[test]
fn reservations_are_at_most_the_capacity() {
    let pool = pool(10);
    let mut reservation = pin!(pool.reserve(11));
    let Poll::Ready(reservation) = poll(reservation.as_mut()) else { panic!("the pool is free") };
    assert_eq!(reservation.bytes(), 10);
}

#[test]
fn lower_capacity_takes_free_bytes_only() {
    let pool = pool(10);
    let reserved = pool.try_reserve(8).expect("8 bytes are free");
    pool.resize(5);
    assert!(pool.try_reserve(1).is_none());
    pool.resize(12);
    assert!(pool.try_reserve(4).is_some_and(|reservation| reservation.bytes() == 4));
    drop(reserved);
    assert!(pool.try_reserve(13).is_none());
    assert!(pool.try_reserve(12).is_some());
}
