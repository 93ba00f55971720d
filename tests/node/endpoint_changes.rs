//! Endpoints that drain, move, restart or are removed while they have connections or requests in flight.

use crate::support::*;
use std::sync::mpsc::channel;
use std::sync::Mutex;

#[test]
fn rejects_when_endpoint_drains_while_connecting() {
    let PendingConnection { endpoint, discovery, node, mut client } =
        PendingConnection::start("\"cancel\": true");
    discovery.push(&delta(2, &[endpoint.entry_with_state("a", "DRAINING")]));
    wait_until("the delta is applied", || node.health() == Some(503));
    let bytes_written = endpoint.release();
    // Nothing was written, so the client can safely retry.
    assert!(client.read_response().expect("no response").is_rejection());
    assert_eq!(bytes_written.join().expect("thread panicked"), 0);
}

#[test]
fn does_not_use_connection_to_moved_or_restarted_endpoint() {
    for restarts in [true, false] {
        let PendingConnection { endpoint: blocked, discovery, node, mut client } =
            PendingConnection::start("\"cancel\": true");
        let endpoint = StubEndpoint::start(|_| Reply::ok("moved"));
        let changed = if restarts {
            let entry = blocked.entry_with_state("a", "SERVING");
            entry.replace("\"boot_ms\":0", "\"boot_ms\":1000")
        } else {
            endpoint.entry("a")
        };
        // A response from the endpoint that the delta adds shows that the delta is applied.
        discovery.push(&delta(2, &[changed, endpoint.entry("b")]));
        wait_until("the delta is applied", || node.send(&request("read", "r")).body == b"moved");
        let bytes_written = blocked.release();
        let response = client.read_response().expect("no response");
        assert_eq!(bytes_written.join().expect("thread panicked"), 0);
        assert!(response.body == b"moved" || response.is_rejection(), "{response:?}");
    }
}

#[test]
fn does_not_forward_to_draining_endpoint() {
    let endpoints = [StubEndpoint::start(|_| Reply::ok("x")), StubEndpoint::start(|_| Reply::ok("x"))];
    let discovery = StubDiscovery::with_endpoints(&[endpoints[0].entry("a"), endpoints[1].entry("b")]);
    let node = Node::start(&NodeConfig::with_list_of(&discovery));
    node.send(&request("read", "r0"));
    discovery.push(&delta(2, &[endpoints[0].entry_with_state("a", "DRAINING")]));
    wait_until("idle connections to the draining endpoint are closed", || {
        node.send(&request("read", "r"));
        endpoints[0].open_connections() == 0 && endpoints[1].request_count() > 0
    });
    let requests_before = endpoints[0].request_count();
    for number in 0..20 {
        assert_eq!(node.send(&request("read", &format!("d{number}"))).status(), 200);
    }
    assert_eq!(endpoints[0].request_count(), requests_before);
}

#[test]
fn removed_endpoint_finishes_requests_in_flight() {
    for state in ["DRAINING", "DELETED"] {
        let (release, released) = channel::<()>();
        let released = Mutex::new(released);
        let endpoint = StubEndpoint::start(move |_| {
            let _ = released.lock().expect("mutex poisoned").recv_timeout(CONDITION_TIMEOUT);
            Reply::ok("done")
        });
        let discovery = StubDiscovery::with_endpoints(&[endpoint.entry("a")]);
        // An idle connection would stay open longer than a test waits.
        let settings = SETTINGS.replace("\"keepaliveMs\": 15000", "\"keepaliveMs\": 120000");
        let node = Node::start(&NodeConfig::with_list_of(&discovery).settings(&settings));
        let mut client = node.connect();
        client.write(request("order", "r1").as_bytes());
        wait_until("the attempt is in flight", || endpoint.request_count() == 1);
        discovery.push(&delta(2, &[endpoint.entry_with_state("a", state)]));
        wait_until("the delta is applied", || node.health() == Some(503));
        release.send(()).expect("the endpoint has stopped waiting");
        assert_eq!(client.read_response().map(|response| response.body), Some(b"done".to_vec()), "{state}");
        // The connection is not pooled after the response.
        wait_until("the endpoint's connection is closed", || endpoint.open_connections() == 0);
    }
}
