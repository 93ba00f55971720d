//! Counters of what a node has done and why.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use support::*;

/// A node that serves its counters, where it does, and its discovery.
fn node(target: String, settings: &str) -> (Node, SocketAddr, Discovery) {
    // Free now, and the node's from here on.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let counters = listener.local_addr().expect("an address");
    drop(listener);
    let list = listing(1, true, &[target]);
    let discovery = Discovery::start(list.clone());
    let node = Node::spawn_with(&config(discovery.address, &list, settings, 1024), |command| {
        command.env("RELAY_METRICS", counters.to_string());
    });
    until("the node is up", || node.up() == Some(200));
    (node, counters, discovery)
}

fn counters(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).expect("it accepts");
    stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n").expect("it is written");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("text");
    text
}

#[test]
fn answers_refusals_attempts_and_what_was_not_begun_are_counted_by_reason() {
    let app = App::start(|request| match &*id_of(request) {
        "full" => Reply::Answer("503 Service Unavailable", "Srv-Declined: 1\r\n", Vec::new()),
        id => Reply::ok(id),
    });
    let (node, address, _discovery) = node(target("a", app.address, "north", "SERVING"), SETTINGS);
    assert_eq!(node.ask(&request("order", "r1")).status(), 200);
    assert!(node.ask(&request("order", "full")).refuses());
    for number in 0..3 {
        node.ask(&request_with("read", &format!("q{number}"), "small", "15000m"));
    }
    let text = counters(address);
    for line in [
        "edge_gateway_answers_total{answer=\"served\"} ",
        "edge_gateway_answers_total{answer=\"rejected\"} ",
        "edge_gateway_rejections_total{reason=\"over_quota\"} ",
        "edge_gateway_rejections_total{reason=\"attempts_failed\"} 1",
        "edge_gateway_attempts_total{outcome=\"success\"} ",
        "edge_gateway_attempts_total{outcome=\"overloaded\"} ",
    ] {
        assert!(text.contains(line), "{line} in {text}");
    }
    assert!(!text.contains("edge_gateway_violations_total{"), "{text}");
}

#[test]
fn a_drain_told_while_connecting_is_counted_as_an_attempt_not_begun() {
    // The only server does not take its connection yet, and drains before it does.
    let blocked = Blocked::new();
    let settings = SETTINGS.replace("\"connectTimeoutMs\": 1000", "\"connectTimeoutMs\": 60000");
    let settings = settings.replace("\"aimMs\": 8000", "\"aimMs\": 40000");
    let (node, address, discovery) = node(target("a", blocked.address, "north", "SERVING"), &settings);
    let mut client = node.client();
    client.write(request_with("order", "r1", "large", "40000m").as_bytes());
    until("the node connects", || connects(blocked.address));
    discovery.push(&listing(2, false, &[target("a", blocked.address, "north", "DRAINING")]));
    until("no server is left that could serve", || node.up() == Some(503));
    let released = blocked.release();
    until("the attempt was not begun", || {
        counters(address).contains("edge_gateway_attempts_denied_total{reason=\"endpoint_unavailable\"} 1")
    });
    assert_eq!(released.join().expect("no panic"), 0);
}
