//! The memory that messages take while they are incomplete or wait for their recipient.

mod support;

use std::sync::{Arc, Barrier};
use support::*;

/// Memory that a connection may take besides the bytes of its message, in KiB.
const MAX_OVERHEAD_KIB: u64 = 64;
/// Id of the request that is sent before the memory is measured.
const WARM_UP: &str = "warm-up";

/// Formats a request of class `order` with a body of this length, from a customer of its own.
fn order_with_body(number: usize, body_length: usize) -> String {
    let request = request("order", &format!("r{number}")).replace("b4d65521", &format!("b4d6{number:04x}"));
    let head = request.replace("Content-Length: 4\r\n", &format!("Content-Length: {body_length}\r\n"));
    format!("{}{}", head.trim_end_matches("body"), "x".repeat(body_length))
}

/// Returns the resident memory of a node, in KiB, after it has served a request: its code is in memory then.
fn warm_memory_kib(node: &Node) -> u64 {
    assert_eq!(node.send(&request("order", WARM_UP)).status(), 200);
    node.memory_kib()
}

// Each piece of a body kept the whole read buffer that it was cut from, some 4 KB, until the body was
// complete.
#[test]
fn requests_in_small_pieces_take_memory_by_their_bytes() {
    const CLIENTS: usize = 60;
    const PIECES: usize = 100;
    const PIECE_LENGTH: usize = 200;
    let endpoint = StubEndpoint::start(|request| Reply::ok(&request.body.len().to_string()));
    let node = Node::start(&NodeConfig::with_list_of(&StubDiscovery::with_many_entries(&endpoint)));
    let memory_before = warm_memory_kib(&node);
    let requests: Vec<String> =
        (0..CLIENTS).map(|number| order_with_body(number, PIECES * PIECE_LENGTH)).collect();
    let mut clients = node.connect_many(CLIENTS);
    for client in &clients {
        client.stream.get_ref().set_nodelay(true).expect("failed to disable Nagle's algorithm");
    }
    let mut health_checks = node.connect();
    let mut written = 0;
    while written < requests[0].len() - PIECE_LENGTH {
        for (client, request) in clients.iter_mut().zip(&requests) {
            client.write(&request.as_bytes()[written..written + PIECE_LENGTH]);
        }
        written += PIECE_LENGTH;
        // Gives the node the time to read each piece before the next one arrives.
        health_checks.write(HEALTH_CHECK);
        assert!(health_checks.read_response().is_some());
    }
    wait_until("the node has read the pieces", || !has_unread_data(node.address));
    let memory_kib = node.peak_memory_kib() - memory_before;
    let max_kib = (CLIENTS * written) as u64 / 1024 + CLIENTS as u64 * MAX_OVERHEAD_KIB;
    assert!(memory_kib <= max_kib, "{memory_kib} KiB, at most {max_kib} KiB expected");
    for (client, request) in clients.iter_mut().zip(&requests) {
        client.write(&request.as_bytes()[written..]);
        let response = client.read_response().expect("a response of the node");
        assert_eq!((response.status(), response.body), (200, b"20000".to_vec()));
    }
}

// Each chunk of a response was kept apart, with the read buffer that it was cut from: a body in chunks of one
// byte took twenty times its length.
#[test]
fn responses_in_small_chunks_take_memory_by_their_bytes() {
    const RESPONSES: usize = 32;
    const BODY_LENGTH: usize = 60_000;
    let barrier = Arc::new(Barrier::new(RESPONSES + 1));
    let endpoint_barrier = barrier.clone();
    let endpoint = StubEndpoint::start(move |request| {
        if request.request_id() == WARM_UP {
            return Reply::ok("x");
        }
        let mut response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        response.extend(b"1\r\nx\r\n".repeat(BODY_LENGTH));
        Reply::Paused(response, endpoint_barrier.clone(), b"0\r\n\r\n")
    });
    let node = Node::start(&NodeConfig::with_list_of(&StubDiscovery::with_many_entries(&endpoint)));
    let memory_before = warm_memory_kib(&node);
    let mut clients = node.connect_many(RESPONSES);
    for (number, client) in clients.iter_mut().enumerate() {
        client.write(order_with_body(number, 4).as_bytes());
    }
    // All responses are written but for their ends.
    barrier.wait();
    wait_until("the node has read the chunks", || !has_unread_data_from(endpoint.address));
    let memory_kib = node.peak_memory_kib() - memory_before;
    // Each response has a connection to a client and one to the endpoint.
    let max_kib = (RESPONSES * BODY_LENGTH) as u64 / 1024 + 2 * RESPONSES as u64 * MAX_OVERHEAD_KIB;
    assert!(memory_kib <= max_kib, "{memory_kib} KiB, at most {max_kib} KiB expected");
    barrier.wait();
    for mut client in clients {
        let response = client.read_response().expect("a response of the node");
        assert_eq!((response.status(), response.body.len()), (200, BODY_LENGTH));
    }
}

// A connection kept a copy of the longest response that it had carried, for as long as it stayed open.
#[test]
fn idle_connections_keep_no_copy_of_responses() {
    const CLIENTS: usize = 100;
    const BODY_LENGTH: usize = 64 << 10;
    let endpoint = StubEndpoint::start(|request| match request.request_id() {
        WARM_UP => Reply::ok("x"),
        _ => Reply::ok(&"x".repeat(BODY_LENGTH)),
    });
    let node = Node::start(&NodeConfig::with_list_of(&StubDiscovery::with_many_entries(&endpoint)));
    let memory_before = warm_memory_kib(&node);
    let mut clients = node.connect_many(CLIENTS);
    for (number, client) in clients.iter_mut().enumerate() {
        let response = client.send(&order_with_body(number, BODY_LENGTH));
        assert_eq!((response.status(), response.body.len()), (200, BODY_LENGTH));
    }
    let memory_kib = node.memory_kib() - memory_before;
    let connections = CLIENTS + endpoint.open_connections();
    let max_kib = connections as u64 * MAX_OVERHEAD_KIB;
    assert!(memory_kib <= max_kib, "{memory_kib} KiB, at most {max_kib} KiB expected");
}

/// Memory limit of a node that cannot hold the messages of all its clients at once, in MiB.
const SMALL_MEMORY_MB: u32 = 24;
/// Number of clients with an open request at once: a third of the descriptors.
const MANY_CLIENTS: usize = 341;

/// Starts a node with little memory.
fn start_small_node(discovery: &StubDiscovery, descriptors: usize) -> Node {
    Node::start(&NodeConfig::with_list_of(discovery).memory_mb(SMALL_MEMORY_MB).sockets(descriptors))
}

fn assert_stayed_within_memory_limit(node: &Node) {
    let memory_kib = node.peak_memory_kib();
    assert!(memory_kib <= u64::from(SMALL_MEMORY_MB) << 10, "{memory_kib} KiB");
}

// All bodies together took more than the memory limit, over which a node is killed.
#[test]
fn requests_beyond_the_memory_limit_are_rejected() {
    const BODY_LENGTH: usize = 64 << 10;
    let endpoint = StubEndpoint::start(|request| Reply::ok(&request.body.len().to_string()));
    let node = start_small_node(&StubDiscovery::with_many_entries(&endpoint), 1024);
    let mut clients = node.connect_many(MANY_CLIENTS);
    for (number, client) in clients.iter_mut().enumerate() {
        let request = order_with_body(number, BODY_LENGTH);
        client.write(&request.as_bytes()[..request.len() - 1]);
    }
    wait_until("the node has read the requests", || !has_unread_data(node.address));
    assert_eq!(node.send(&request("read", "usual")).status(), 200);
    for client in &mut clients {
        client.write(b"x");
    }
    for mut client in clients {
        let response = client.read_response().expect("a response of the node");
        match response.status() {
            200 => assert_eq!(response.body, BODY_LENGTH.to_string().as_bytes()),
            status => assert_eq!((status, response.header("retry-after").is_some()), (503, true)),
        }
        // The request was read to its end, so that the connection can carry another one.
        assert_eq!(client.send(&request("read", "next")).status(), 200);
    }
    assert_stayed_within_memory_limit(&node);
}
