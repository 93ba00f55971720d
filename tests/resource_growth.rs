//! Memory, file descriptors and connections that must not accumulate over many requests and endpoint changes.

mod support;

use support::*;

#[test]
fn new_connections_and_customers_leak_nothing() {
    const REQUESTS: u64 = 3_000;
    const REQUESTS_PER_SAMPLE: u64 = 1_000;
    /// Memory that may be used for the records of customers, which are kept until the quota is refilled.
    const MAX_RECORDS_KIB: u64 = 8_000;
    let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
    let discovery = StubDiscovery::with_endpoints(&[endpoint.entry("a")]);
    let node = Node::start(&NodeConfig::with_list_of(&discovery).sockets(128));
    assert_eq!(node.send(&request_of_customer(0)).status(), 200);
    let descriptors = node.descriptors();
    let mut clients = Vec::new();
    let mut memory_kib = Vec::new();
    for number in 1..=REQUESTS {
        let mut client = node.connect();
        assert_eq!(client.send(&request_of_customer(number)).status(), 200);
        // The client keeps its connection open after its only request.
        clients.push(client);
        if number % REQUESTS_PER_SAMPLE == 0 {
            memory_kib.push(node.memory_kib());
        }
        assert!(node.descriptors() <= 128);
    }
    assert!(memory_kib[2] < memory_kib[0] + MAX_RECORDS_KIB, "memory in KiB: {memory_kib:?}");
    drop(clients);
    wait_until("the descriptors are closed", || node.descriptors() <= descriptors + 1);
}

#[test]
fn replaced_endpoints_leak_no_connections() {
    let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
    let uid = |n: u64| format!("s{n}");
    let discovery = StubDiscovery::with_endpoints(&[endpoint.entry(&uid(0))]);
    let (node, counters) = Counters::start_node(&NodeConfig::with_list_of(&discovery).sockets(128));
    let mut client = node.connect();
    assert_eq!(client.send(&request_of_customer(0)).status(), 200);
    let descriptors = node.descriptors();
    assert_eq!(counters.applied_lists(), 0);
    for n in 1..=200 {
        let is_checkpoint = n % 20 == 0;
        if is_checkpoint {
            // This request races with the deltas pushed before it: each of its attempts may find its endpoint
            // removed before it is sent, and then the request is rejected.
            let response = client.send(&request_of_customer(n - 1));
            assert!(response.status() == 200 || is_rejection_with_retry_after(&response), "{response:?}");
        }
        // The new endpoint has the address of the removed one.
        let removed = endpoint.entry_with_state(&uid(n - 1), "DELETED");
        discovery.push(&delta(n + 1, &[removed, endpoint.entry(&uid(n))]));
        if is_checkpoint {
            wait_until("all deltas are applied", || counters.applied_lists() == n);
            // The racing request was answered before this endpoint was added, and opened no connection to it.
            let accepted = endpoint.accepted_connections();
            wait_until("the new endpoint has a connection of its own", || {
                assert_eq!(client.send(&request_of_customer(n)).status(), 200);
                endpoint.accepted_connections() > accepted
            });
        }
    }
    wait_until("only the connection to the last endpoint is open", || endpoint.open_connections() <= 1);
    wait_until("the descriptors are closed", || node.descriptors() <= descriptors + 1);
}

/// Whether a response is a rejection whose `Retry-After` is greater than 0.
fn is_rejection_with_retry_after(response: &HttpMessage) -> bool {
    let retry_after = response.header("retry-after").map(str::parse::<f64>);
    response.is_rejection() && matches!(retry_after, Some(Ok(seconds)) if seconds > 0.0)
}
