//! The metrics that a node exports.

mod support;

use support::*;

/// Starts a node that exports metrics, with one endpoint.
fn start_node(entry: String, settings: &str) -> (Node, Counters, StubDiscovery) {
    let discovery = StubDiscovery::with_endpoints(&[entry]);
    let (node, counters) = Counters::start_node(&NodeConfig::with_list_of(&discovery).settings(settings));
    (node, counters, discovery)
}

#[test]
fn counts_answers_rejections_and_attempts() {
    let endpoint = StubEndpoint::start(|request| match request.request_id() {
        "full" => Reply::overloaded(),
        id => Reply::ok(id),
    });
    let (node, counters, _discovery) = start_node(endpoint.entry("a"), SETTINGS);
    assert_eq!(node.send(&request("order", "r1")).status(), 200);
    assert!(node.send(&request("order", "full")).is_rejection());
    for number in 0..3 {
        node.send(&request_with("read", &format!("q{number}"), "small", "15000m"));
    }
    let text = counters.text();
    for line in [
        "edge_gateway_answers_total{answer=\"served\"} ",
        "edge_gateway_answers_total{answer=\"rejected\"} ",
        "edge_gateway_rejections_total{reason=\"over_quota\"} ",
        "edge_gateway_rejections_total{reason=\"attempts_failed\"} 1",
        "edge_gateway_attempts_total{outcome=\"success\"} ",
        "edge_gateway_attempts_total{outcome=\"overloaded\"} ",
    ] {
        assert!(text.contains(line), "{line} expected in {text}");
    }
    assert!(!text.contains("edge_gateway_violations_total{"), "no violations expected in {text}");
}

#[test]
fn counts_denied_attempt_when_endpoint_drains_while_connecting() {
    // The only endpoint drains before the node's connection to it is established.
    let blocked = BlockedEndpoint::new();
    let settings = SETTINGS
        .replace("\"connectTimeoutMs\": 1000", "\"connectTimeoutMs\": 60000")
        .replace("\"aimMs\": 8000", "\"aimMs\": 40000");
    let (node, counters, discovery) = start_node(blocked.entry_with_state("a", "SERVING"), &settings);
    let mut client = node.connect();
    client.write(request_with("order", "r1", "large", "40000m").as_bytes());
    wait_until("the node connects to the endpoint", || is_connecting_to(blocked.address));
    discovery.push(&delta(2, &[blocked.entry_with_state("a", "DRAINING")]));
    wait_until("the delta is applied", || node.health() == Some(503));
    let bytes_written = blocked.release();
    wait_until("the denied attempt is counted", || {
        counters.text().contains("edge_gateway_attempts_denied_total{reason=\"endpoint_unavailable\"} 1")
    });
    assert_eq!(bytes_written.join().expect("thread panicked"), 0);
}
