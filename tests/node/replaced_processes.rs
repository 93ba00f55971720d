//! Endpoints whose process has gone, with a new one at the same address.

use crate::support::*;
use std::sync::mpsc::channel;
use std::sync::Mutex;

/// Replaces the start time of an entry of the endpoint list.
fn started_at(entry: &str, unix_ms: u64) -> String {
    entry.replace("\"boot_ms\":0", &format!("\"boot_ms\":{unix_ms}"))
}

/// Returns the connections on which an endpoint got its requests.
fn peers(endpoint: &StubEndpoint) -> Vec<String> {
    endpoint.requests().iter().filter_map(|request| request.header("peer").map(str::to_owned)).collect()
}

/// Pushes changed entries of the endpoint list, and waits until the node has applied them.
fn apply_delta(discovery: &StubDiscovery, counters: &Counters, entries: &[String]) {
    let lists = counters.applied_lists();
    discovery.push(&delta(2, entries));
    wait_until("the delta is applied", || counters.applied_lists() > lists);
}

// Reported from other deployments: a new process was taken for the old one at its address. A connection to the
// old one must not carry requests for the new one, whether or not the name is the same.
#[test]
fn does_not_reuse_connection_to_process_that_has_gone() {
    for new_name in ["a", "b"] {
        let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
        let old = started_at(&endpoint.entry("a"), 1_000);
        let discovery = StubDiscovery::with_endpoints(std::slice::from_ref(&old));
        let (node, counters) = Counters::start_node(&NodeConfig::with_list_of(&discovery));
        discovery.wait_for_watch();
        assert_eq!(node.send(&request("order", "first")).status(), 200);
        let mut changes = vec![started_at(&endpoint.entry(new_name), 2_000)];
        if new_name != "a" {
            changes.push(old.replace("SERVING", "DELETED"));
        }
        apply_delta(&discovery, &counters, &changes);
        assert_eq!(node.send(&request("order", "second")).status(), 200);
        let peers = peers(&endpoint);
        assert_ne!(peers[0], peers[1], "{new_name}");
        wait_until("the old connection is closed", || endpoint.open_connections() == 1);
    }
}

// The response of a process that has gone from the list meanwhile is still that of its request, but its
// connection is not used for the new process.
#[test]
fn serves_response_of_process_that_was_replaced_during_request() {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let endpoint = StubEndpoint::start(move |request| {
        if request.request_id() == "first" {
            let _ = released.lock().expect("mutex poisoned").recv_timeout(CONDITION_TIMEOUT);
        }
        Reply::ok(request.request_id())
    });
    let discovery = StubDiscovery::with_endpoints(&[started_at(&endpoint.entry("a"), 1_000)]);
    let (node, counters) = Counters::start_node(&NodeConfig::with_list_of(&discovery));
    discovery.wait_for_watch();
    let mut client = node.connect();
    client.write(request("order", "first").as_bytes());
    wait_until("the attempt is in flight", || endpoint.request_count() == 1);
    apply_delta(&discovery, &counters, &[started_at(&endpoint.entry("a"), 2_000)]);
    release.send(()).expect("the endpoint has stopped waiting");
    assert_eq!(client.read_response().map(|response| response.body), Some(b"first".to_vec()));
    assert_eq!(node.send(&request("order", "second")).body, b"second");
    let peers = peers(&endpoint);
    assert_ne!(peers[0], peers[1]);
}

// The list still has the old process when the new one comes up at its address, in another zone. A request that
// the old one may have executed must not be sent to that address again.
#[test]
fn does_not_send_to_listed_process_whose_address_has_a_newer_one() {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let endpoint = StubEndpoint::start(move |request| {
        if request.request_id() != "keyed" {
            return Reply::ok("x");
        }
        let _ = released.lock().expect("mutex poisoned").recv_timeout(CONDITION_TIMEOUT);
        Reply::Close
    });
    let discovery = StubDiscovery::with_endpoints(&[endpoint.entry("a")]);
    let (node, counters) = Counters::start_node(&NodeConfig::with_list_of(&discovery));
    discovery.wait_for_watch();
    let mut client = node.connect();
    client.write(request("edit", "keyed").as_bytes());
    wait_until("the attempt is in flight", || endpoint.request_count() == 1);
    apply_delta(&discovery, &counters, &[started_at(&endpoint.entry_in_zone("b", "south"), 1_000)]);
    release.send(()).expect("the endpoint has stopped waiting");
    let response = client.read_response().expect("no response");
    drop(release);
    assert!(response.is_failure(), "{response:?}");
    assert_eq!(endpoint.request_count(), 1);
    // The new process serves other requests.
    assert_eq!(node.send(&request("edit", "other")).status(), 200);
}
