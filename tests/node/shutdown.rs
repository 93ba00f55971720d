//! Graceful shutdown at SIGTERM.

use crate::support::*;
use std::time::{Duration, Instant};

#[test]
fn sigterm_exits_after_requests_in_flight() {
    let endpoint = StubEndpoint::start(|_| Reply::Delayed(Duration::from_millis(1500)));
    let mut node = Node::with_endpoints(&[endpoint.entry("a")]);
    let (mut waiting, mut idle) = (node.connect(), node.connect());
    idle.write(HEALTH_CHECK);
    assert_eq!(idle.read_response().map(|response| response.status()), Some(200));
    waiting.write(request("order", "r1").as_bytes());
    wait_until("the attempt is in flight", || endpoint.request_count() == 1);
    node.terminate();
    wait_until("new clients are told to close", || {
        let mut client = node.connect();
        client.write(HEALTH_CHECK);
        client.read_response().is_some_and(|response| response.header("connection") == Some("close"))
    });
    let response = waiting.read_response().expect("no response to the request in flight");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(idle.read_response().is_none());
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn sigterm_answers_pipelined_requests() {
    let endpoint = StubEndpoint::start(|request| match request.request_id() {
        "r0" => Reply::Delayed(Duration::from_millis(700)),
        id => Reply::ok(id),
    });
    let mut node = Node::with_endpoints(&[endpoint.entry("a")]);
    let mut client = node.connect();
    // Written at once, so that the node has read all requests before it answers the first.
    let pipelined: String = (0..4).map(|n| request("order", &format!("r{n}"))).collect();
    client.write(pipelined.as_bytes());
    wait_until("the first request is in flight", || endpoint.request_count() == 1);
    node.terminate();
    for number in 0..4 {
        let response = client.read_response().unwrap_or_else(|| panic!("no response to request {number}"));
        assert_eq!(response.status(), 200);
    }
    assert!(client.read_response().is_none());
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn sigterm_answers_before_shutdown_deadline() {
    /// The time from SIGTERM to the earliest kill of the process: the longest deadline, of which at most 3 s
    /// count, and 0.7 s.
    const EARLIEST_KILL: Duration = Duration::from_millis(3700);
    let endpoint = StubEndpoint::start(|_| Reply::Silence);
    let mut node = Node::with_endpoints(&[endpoint.entry("a")]);
    // The deadlines of both requests, 40 s, are far longer than a node may take to shut down.
    let (mut early, mut late) = (node.connect(), node.connect());
    early.write(request_with("order", "r1", "large", "40000m").as_bytes());
    wait_until("the attempt is in flight", || endpoint.request_count() == 1);
    let terminated = Instant::now();
    node.terminate();
    late.write(request_with("read", "r2", "large", "40000m").as_bytes());
    assert!(early.read_response().is_some_and(|response| response.is_failure()));
    assert!(late.read_response().is_some_and(|response| response.status() >= 400));
    assert_eq!(node.exit_code(), Some(0));
    assert!(terminated.elapsed() < EARLIEST_KILL, "exits after {:?}", terminated.elapsed());
}
