//! Which failures of an attempt lead to a retry, and which endpoint gets the retry.

use crate::support::*;
use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Replies to the first request with `first` and to all others with 200. Clones share the count of requests.
fn first_then_ok(first: fn() -> Reply) -> impl Fn(&HttpMessage) -> Reply + Clone + Send + Sync + 'static {
    let count = Arc::new(AtomicUsize::new(0));
    move |_| if count.fetch_add(1, Ordering::SeqCst) == 0 { first() } else { Reply::ok("second") }
}

/// Starts a node with two endpoints, the second of which is in another zone.
fn start_node_with_two_zones(endpoints: &[StubEndpoint; 2]) -> Node {
    Node::with_endpoints(&[endpoints[0].entry("a"), endpoints[1].entry_in_zone("b", "south")])
}

/// Returns the total number of requests that the endpoints received.
fn total_requests(endpoints: &[StubEndpoint]) -> usize {
    endpoints.iter().map(StubEndpoint::request_count).sum()
}

#[test]
fn does_not_retry_non_idempotent_request_after_reset() {
    let endpoints = [StubEndpoint::start(|_| Reply::Close), StubEndpoint::start(|_| Reply::Close)];
    let node = start_node_with_two_zones(&endpoints);
    // A rejection would be wrong as well: it tells the client that a retry is safe.
    assert!(node.send(&request("order", "r1")).is_failure());
    assert_eq!(total_requests(&endpoints), 1);
}

#[test]
fn broken_pooled_connection_counts_as_reset() {
    let endpoint = StubEndpoint::start(|request| match request.request_id() {
        "r1" => Reply::ok("x"),
        _ => Reply::Close,
    });
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    let mut client = node.connect();
    assert_eq!(client.send(&request("order", "r1")).status(), 200);
    wait_out_connection_quarantine();
    assert!(client.send(&request("order", "r2")).is_failure());
    assert_eq!((endpoint.request_count(), endpoint.accepted_connections()), (2, 1));
}

#[test]
fn retries_idempotent_request_after_reset() {
    let reply = first_then_ok(|| Reply::Close);
    let endpoints = [StubEndpoint::start(reply.clone()), StubEndpoint::start(reply)];
    let response = start_node_with_two_zones(&endpoints).send(&request("read", "r1"));
    assert_eq!((response.status(), response.body.as_slice()), (200, &b"second"[..]));
    assert_eq!(total_requests(&endpoints), 2);
}

#[test]
fn retries_request_with_key_in_its_zone() {
    let reply = first_then_ok(|| Reply::Close);
    let endpoints: Vec<_> = (0..4).map(|_| StubEndpoint::start(reply.clone())).collect();
    let zone = |n: usize| if n < 2 { "north" } else { "south" };
    let entries: Vec<_> = endpoints
        .iter()
        .enumerate()
        .map(|(n, endpoint)| endpoint.entry_in_zone(&format!("s{n}"), zone(n)))
        .collect();
    let node = Node::with_endpoints(&entries);
    assert_eq!(node.send(&request("edit", "r1")).status(), 200);
    let requests_by_zone = [total_requests(&endpoints[..2]), total_requests(&endpoints[2..])];
    assert!(
        requests_by_zone == [2, 0] || requests_by_zone == [0, 2],
        "both attempts in one zone expected: {requests_by_zone:?}"
    );
}

#[test]
fn retries_overloaded_non_idempotent_request_elsewhere() {
    let reply = first_then_ok(Reply::overloaded);
    let endpoints = [StubEndpoint::start(reply.clone()), StubEndpoint::start(reply)];
    assert_eq!(start_node_with_two_zones(&endpoints).send(&request("order", "r1")).status(), 200);
    assert_eq!(total_requests(&endpoints), 2);
}

#[test]
fn does_not_retry_non_idempotent_request_after_plain_503() {
    let endpoint = StubEndpoint::start(|_| Reply::Response("503 Service Unavailable", "", Vec::new()));
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    assert!(node.send(&request("order", "r1")).is_failure());
    assert_eq!(endpoint.request_count(), 1);
}

#[test]
fn rejects_request_that_reached_no_endpoint() {
    let node = Node::with_endpoints(&[list_entry("a", unused_address(), "north", "SERVING")]);
    assert!(node.send(&request("order", "r1")).is_rejection());
}

#[test]
fn truncated_responses_fail() {
    let closed_responses: [&'static [u8]; 3] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 2",
    ];
    let reset_responses: [&'static [u8]; 2] =
        [b"HTTP/1.1 200 OK\r\n\r\nwithout an end", b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort"];
    let endpoints = closed_responses
        .map(|bytes| StubEndpoint::start(move |_| Reply::BytesThenClose(bytes)))
        .into_iter()
        .chain(reset_responses.map(|bytes| StubEndpoint::start(move |_| Reply::BytesThenReset(bytes))));
    for endpoint in endpoints {
        let node = Node::with_endpoints(&[endpoint.entry("a")]);
        assert!(node.send(&request("order", "r1")).is_failure());
        assert_eq!(endpoint.request_count(), 1);
    }
}

#[test]
fn uses_new_connection_where_pooled_ones_break() {
    // Each connection serves one request and is closed when it gets a second one.
    let seen_peers = Mutex::new(HashSet::new());
    let endpoint = StubEndpoint::start(move |request| {
        let peer = request.header("peer").expect("request without peer address").to_owned();
        if seen_peers.lock().expect("mutex poisoned").insert(peer) {
            Reply::ok("x")
        } else {
            Reply::Close
        }
    });
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    for number in 0..10 {
        // These requests are idempotent: the node learns from them that reused connections fail.
        node.send(&request("read", &format!("r{number}")));
        wait_out_connection_quarantine();
    }
    for number in 0..10 {
        assert_eq!(node.send(&request("order", &format!("o{number}"))).status(), 200, "{number}");
        wait_out_connection_quarantine();
    }
}

/// Starts one of several endpoints that share `first`. The first request that any of them receives gets no
/// response. The body of every later response tells whether the connection of that first request is closed:
/// `shut` or `open`. Returns the endpoint's list entry.
fn start_cancellation_observer(uid: &str, first: Arc<Mutex<Option<TcpStream>>>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port");
    let entry =
        list_entry(uid, listener.local_addr().expect("failed to get the local address"), "north", "SERVING");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut stream = BufReader::new(stream);
            if read_message(&mut stream).is_none() {
                continue;
            }
            let mut stream = stream.into_inner();
            let mut first = first.lock().expect("mutex poisoned");
            match first.as_ref() {
                Some(first) => {
                    let state = if is_closed_by_peer(first) { "shut" } else { "open" };
                    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{state}");
                    let _ = stream.write_all(response.as_bytes());
                }
                None => *first = Some(stream),
            }
        }
    });
    entry
}

#[test]
fn cancels_attempt_before_writing_its_retry() {
    let first = Arc::default();
    let entries = ["a", "b"].map(|uid| start_cancellation_observer(uid, Arc::clone(&first)));
    let discovery = StubDiscovery::with_endpoints(&entries);
    let settings = SETTINGS.replace("\"aimMs\": 8000", "\"aimMs\": 500");
    let node = Node::start(&NodeConfig::with_list_of(&discovery).settings(&settings));
    assert_eq!(node.send(&request("read", "r1")).body, b"shut");
}
