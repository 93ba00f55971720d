//! Forwarding of requests to an endpoint and of its responses to the client.

use crate::support::*;
use std::time::Duration;

#[test]
fn forwards_request_and_response_unchanged() {
    let body: Vec<u8> = (0..50_000u32).map(|n| (n * 7 % 251) as u8).collect();
    let response_body = body.clone();
    let endpoint = StubEndpoint::start(move |_| {
        Reply::Response("200 OK", "Content-Type: text/x-map\r\n", response_body.clone())
    });
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    let response = node.send(&request("edit", "r1"));
    assert_eq!((response.status(), response.header("content-type")), (200, Some("text/x-map")));
    assert!(response.body == body);
    let request = endpoint.requests()[0].clone();
    assert_eq!(request.start_line, "POST /api?q=1 HTTP/1.1");
    assert_eq!((request.header("req-id"), request.header("idempotency-key")), (Some("r1"), Some("k1")));
    assert_eq!(request.body, b"body");
    let deadline_ms = request.deadline_ms();
    assert!(deadline_ms > 0.0 && deadline_ms < 15_000.0, "less than 15 s expected: {deadline_ms} ms");
}

#[test]
fn reuses_connections_on_both_sides() {
    let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    let mut client = node.connect();
    for number in 0..5 {
        assert_eq!(client.send(&request("order", &format!("r{number}"))).status(), 200);
        wait_out_connection_quarantine();
    }
    assert_eq!((endpoint.request_count(), endpoint.accepted_connections()), (5, 1));
}

#[test]
fn ignores_malformed_usage_and_load_headers() {
    let headers = "Api-Usage: plenty\r\nSrv-Load: {\"util\":\r\n";
    let endpoint = StubEndpoint::start(move |_| Reply::Response("200 OK", headers, b"x".to_vec()));
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    for number in 0..3 {
        assert_eq!(node.send(&request("read", &format!("r{number}"))).status(), 200);
    }
}

#[test]
fn accepts_response_followed_by_close() {
    let endpoint = StubEndpoint::start(|_| {
        Reply::BytesThenClose(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
    });
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    for number in 0..3 {
        assert_eq!(node.send(&request("order", &format!("r{number}"))).status(), 200);
    }
    assert_eq!(endpoint.accepted_connections(), 3);
}

#[test]
fn closes_idle_connections_before_the_endpoint_does() {
    let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
    let discovery = StubDiscovery::with_endpoints(&[endpoint.entry("a")]);
    let settings = SETTINGS.replace("\"keepaliveMs\": 15000", "\"keepaliveMs\": 1000");
    let node = Node::start(&NodeConfig::with_list_of(&discovery).settings(&settings));
    assert_eq!(node.send(&request("order", "r1")).status(), 200);
    wait_until("the idle connection is closed", || endpoint.open_connections() == 0);
}

#[test]
fn fails_duplicate_of_request_in_flight() {
    let endpoint = StubEndpoint::start(|_| Reply::Delayed(Duration::from_millis(500)));
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    let mut client = node.connect();
    client.write(request("order", "r1").as_bytes());
    wait_until("the attempt is in flight", || endpoint.request_count() == 1);
    assert!(node.send(&request("order", "r1")).is_failure());
    assert_eq!(client.read_response().map(|response| response.status()), Some(200));
    assert_eq!(endpoint.request_count(), 1);
}

#[test]
fn times_out_silent_endpoint_with_one_response() {
    let endpoint = StubEndpoint::start(|_| Reply::Silence);
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    let mut client = node.connect();
    assert!(client.send(&request_with("order", "r1", "large", "2500m")).is_failure());
    wait_until("the attempt's connection is closed", || endpoint.open_connections() == 0);
    assert_eq!(endpoint.request_count(), 1);
    // There was only one response: the next one on the connection belongs to the health check.
    client.write(HEALTH_CHECK);
    assert_eq!(client.read_response().map(|response| response.body), Some(b"up".to_vec()));
}
