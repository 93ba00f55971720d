//! Graceful shutdown at SIGTERM.

use crate::common::*;
use crate::support::*;
use std::time::{Duration, Instant};

#[test]
fn sigterm_ends_the_node_once_all_is_answered() {
    let app = App::start(|_| Reply::Slow(Duration::from_millis(1500)));
    let mut node = Node::with(&[serving("a", &app, "north")]);
    let (mut open, mut idle) = (node.client(), node.client());
    idle.write(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(idle.read().map(|answer| answer.status()), Some(200));
    open.write(request("order", "r1").as_bytes());
    until("the attempt is out", || app.seen() == 1);
    node.terminate();
    until("new clients are told to leave", || {
        let mut client = node.client();
        client.write(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        client.read().is_some_and(|answer| answer.header("connection") == Some("close"))
    });
    let answer = open.read().expect("what was taken is answered");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(idle.read().is_none());
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn after_sigterm_requests_that_came_together_are_all_answered() {
    let app = App::start(|request| match &*id_of(request) {
        "r0" => Reply::Slow(Duration::from_millis(700)),
        id => Reply::ok(id),
    });
    let mut node = Node::with(&[serving("a", &app, "north")]);
    let mut client = node.client();
    // All in one piece, so that the node has read all of them before the first is answered.
    let all: String = (0..4).map(|n| request("order", &format!("r{n}"))).collect();
    client.write(all.as_bytes());
    until("the first is out", || app.seen() == 1);
    node.terminate();
    for number in 0..4 {
        let answer = client.read().unwrap_or_else(|| panic!("no answer to request {number}"));
        assert_eq!(answer.status(), 200);
    }
    assert!(client.read().is_none());
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn after_sigterm_all_is_answered_before_the_node_may_be_killed() {
    let app = App::start(|_| Reply::Silence);
    let mut node = Node::with(&[serving("a", &app, "north")]);
    // Far longer than a node that is told to end is left to run.
    let (mut early, mut late) = (node.client(), node.client());
    early.write(request_with("order", "r1", "large", "40000m").as_bytes());
    until("the attempt is out", || app.seen() == 1);
    let told = Instant::now();
    node.terminate();
    late.write(request_with("read", "r2", "large", "40000m").as_bytes());
    assert!(early.read().is_some_and(|answer| answer.fails()));
    assert!(late.read().is_some_and(|answer| answer.status() >= 400));
    assert_eq!(node.exit_code(), Some(0));
    // It is killed no earlier than 0.7 s behind the longest deadline, or behind 3 s where that is longer.
    assert!(told.elapsed() < Duration::from_millis(3700), "{:?}", told.elapsed());
}
