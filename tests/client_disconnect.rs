//! Clients that disconnect during a request, by a close, a half-close or a reset, and clients that pipeline
//! requests.

mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;
use support::*;

/// Waits until the node has closed the connection of a client.
fn wait_until_closed(node: &Node, client: SocketAddr) {
    wait_until("the client's connection is closed", || !is_connection_open(node.address, client));
}

#[test]
fn cancels_pending_request_on_any_disconnect() {
    let next_request = request("order", "r2");
    let half_request = &next_request[..next_request.len() / 2];
    let many_requests = request("read", "r3").repeat(3000);
    // What the client sends after its request, and whether it closes only its sending direction.
    for (sent_after_request, half_closes) in [
        ("", false),
        (&*next_request, false),
        (half_request, false),
        (&*many_requests, false),
        ("", true),
        (&*next_request, true),
        (&*many_requests, true),
    ] {
        let PendingConnection { endpoint, discovery: _discovery, node, mut client } =
            PendingConnection::start("\"cancel\": true");
        let address = client.address();
        client.write(sent_after_request.as_bytes());
        client.finish_sending();
        let half_closed = half_closes.then_some(client);
        wait_until_closed(&node, address);
        wait_until("the connection attempt is cancelled", || !is_connecting_to(endpoint.address));
        drop(half_closed);
    }
}

#[test]
fn cancels_attempts_on_disconnect() {
    let endpoint = StubEndpoint::start(|_| Reply::Silence);
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    let mut client = node.connect();
    client.write(request("order", "r1").as_bytes());
    wait_until("the attempt is in flight", || endpoint.request_count() == 1);
    drop(client);
    wait_until("the attempt's connection is closed", || endpoint.open_connections() == 0);
}

#[test]
fn does_not_write_request_after_disconnect_without_cancellation() {
    let PendingConnection { endpoint, discovery: _discovery, node, client } =
        PendingConnection::start("\"cancel\": false");
    let address = client.address();
    drop(client);
    wait_until_closed(&node, address);
    assert_eq!(endpoint.release().join().expect("thread panicked"), 0);
}

#[test]
fn answers_pipelined_requests_in_order() {
    let endpoint = StubEndpoint::start(|request| {
        std::thread::sleep(Duration::from_millis(20));
        Reply::ok(request.header("req-id").expect("request without Req-Id"))
    });
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    let mut client = node.connect();
    let id = |n: usize| format!("r{n}");
    // The first request is written alone, so that the others arrive while it is in flight. The others are
    // written in two pieces, the second of which starts in the middle of a request.
    client.write(request("order", &id(0)).as_bytes());
    wait_until("the first request is in flight", || endpoint.request_count() == 1);
    let others: String = (1..40).map(|n| request(["order", "read", "edit"][n % 3], &id(n))).collect();
    let (first_piece, second_piece) = others.split_at(others.len() - 100);
    client.write(first_piece.as_bytes());
    for n in 0..40 {
        if n == 20 {
            client.write(second_piece.as_bytes());
        }
        assert_eq!(client.read_response().expect("no response").body, id(n).as_bytes());
    }
}

#[test]
fn closes_after_response_when_pipelined_data_exceeds_limit() {
    let endpoint = StubEndpoint::start(|_| Reply::Delayed(Duration::from_millis(300)));
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    let mut client = node.connect();
    client.write(request("order", "r1").as_bytes());
    wait_until("the first request is in flight", || endpoint.request_count() == 1);
    client.write(request("read", "r2").repeat(3000).as_bytes());
    let response = client.read_response().expect("no response");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(client.read_response().is_none());
    assert_eq!(endpoint.request_count(), 1);
}

#[test]
fn does_not_forward_for_clients_disconnected_before_reading() {
    let endpoint = StubEndpoint::start(|_| Reply::ok("done"));
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    // Opens a connection to the endpoint, so that no request waits for a new one.
    assert_eq!(node.send(&request("order", "before")).status(), 200);
    let mut reused = node.connect();
    assert_eq!(reused.send(&request("read", "reused")).status(), 200);
    let mut addresses = Vec::new();
    let mut half_closed = Vec::new();
    node.while_stopped(|| {
        for (n, class) in ["read", "edit", "order"].into_iter().enumerate() {
            // New connections that are closed completely, or only in their sending direction.
            for half_closes in [false, true] {
                let mut client = node.connect();
                client.write(request(class, &format!("new-{n}-{half_closes}")).as_bytes());
                addresses.push(client.address());
                client.finish_sending();
                half_closed.extend(half_closes.then_some(client));
            }
        }
        reused.write(request("order", "second").as_bytes());
        addresses.push(reused.address());
        reused.finish_sending();
    });
    for address in addresses {
        wait_until_closed(&node, address);
    }
    assert_eq!(node.send(&request("order", "after")).status(), 200);
    let requests = endpoint.requests();
    let forwarded: Vec<_> = requests.iter().map(HttpMessage::request_id).collect();
    assert_eq!(forwarded, ["before", "reused", "after"]);
}

#[test]
fn does_not_retry_for_disconnected_client() {
    for cancel_setting in ["\"cancel\": true", "\"cancel\": false"] {
        // The gate opens once the client has disconnected. The endpoint then rejects the first attempt,
        // after which a retry would be safe.
        let gate = Arc::new((Mutex::new(false), Condvar::new()));
        let endpoint_gate = gate.clone();
        let endpoint = StubEndpoint::start(move |request| {
            if request.request_id() != "abandoned" {
                return Reply::ok("done");
            }
            let (open, opened) = &*endpoint_gate;
            drop(
                opened
                    .wait_while(open.lock().expect("mutex poisoned"), |open| !*open)
                    .expect("mutex poisoned"),
            );
            Reply::overloaded()
        });
        let discovery = StubDiscovery::with_endpoints(&[endpoint.entry("a"), endpoint.entry("b")]);
        let settings = SETTINGS.replace("\"cancel\": true", cancel_setting);
        let node = Node::start(&NodeConfig::with_list_of(&discovery).settings(&settings));
        let mut client = node.connect();
        client.write(request("order", "abandoned").as_bytes());
        wait_until("the first attempt is in flight", || endpoint.request_count() == 1);
        let address = client.address();
        drop(client);
        wait_until_closed(&node, address);
        *gate.0.lock().expect("mutex poisoned") = true;
        gate.1.notify_all();
        for n in 0..20 {
            assert_eq!(node.send(&request("order", &format!("n{n}"))).status(), 200);
        }
        let attempts = endpoint.requests().iter().filter(|r| r.request_id() == "abandoned").count();
        assert_eq!(attempts, 1, "no retry expected with {cancel_setting}");
    }
}

#[test]
fn notices_disconnect_during_shutdown() {
    for sent_after_request in [String::new(), request("order", "r2")] {
        let PendingConnection { endpoint, discovery: _discovery, mut node, mut client } =
            PendingConnection::start("\"cancel\": true");
        node.terminate();
        wait_until("the node shuts down", || node.health() != Some(200));
        client.write(sent_after_request.as_bytes());
        drop(client);
        wait_until("the connection attempt is cancelled", || !is_connecting_to(endpoint.address));
        assert_eq!(node.exit_code(), Some(0));
    }
}

#[test]
fn reset_during_request_leaks_no_descriptors() {
    let endpoint = StubEndpoint::start(|_| Reply::ok("done"));
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    let (complete_request, descriptors) = (request("order", "r1"), node.descriptors());
    // The reset comes in the request line, in a header, between head and body, and in the body.
    for length in [5, 40, complete_request.len() - 4, complete_request.len() - 1] {
        let mut client = node.connect();
        client.write(&complete_request.as_bytes()[..length]);
        let address = client.address();
        let socket = socket2::SockRef::from(client.stream.get_ref());
        socket.set_linger(Some(Duration::ZERO)).expect("failed to set linger");
        drop(client);
        wait_until_closed(&node, address);
    }
    wait_until("the descriptors of the connections are closed", || node.descriptors() <= descriptors);
    assert_eq!((endpoint.request_count(), node.send(&complete_request).status()), (0, 200));
}

#[test]
fn pipelined_request_gets_remaining_deadline() {
    const FIRST_RESPONSE: Duration = Duration::from_millis(600);
    const DEADLINE_MS: f64 = 5_000.0;
    const TOLERANCE_MS: f64 = 150.0;
    let endpoint = StubEndpoint::start(|request| match request.request_id() {
        "r0" => Reply::Delayed(FIRST_RESPONSE),
        id => Reply::ok(id),
    });
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    let mut client = node.connect();
    client.write(request("read", "r0").as_bytes());
    wait_until("the first request is in flight", || endpoint.request_count() == 1);
    let pipelined: String =
        (1..4).map(|n| request_with("order", &format!("r{n}"), "large", "5000m")).collect();
    client.write(pipelined.as_bytes());
    for _ in 0..4 {
        assert_eq!(client.read_response().expect("no response").status(), 200);
    }
    let limit_ms = DEADLINE_MS - FIRST_RESPONSE.as_secs_f64() * 1_000.0 + TOLERANCE_MS;
    for request in &endpoint.requests()[1..] {
        let deadline_ms = request.deadline_ms();
        assert!(deadline_ms <= limit_ms, "at most {limit_ms} ms expected: {deadline_ms} ms");
    }
}

// Reported from other deployments: a client wrote much at once and left, and its requests were sent on
// afterwards, because the end of its input was behind what had not been read.
#[test]
fn does_not_forward_for_client_that_left_much_unread() {
    for unread_requests in [40, 400] {
        let endpoint = StubEndpoint::start(|_| Reply::ok("done"));
        let node = Node::with_endpoints(&[endpoint.entry("a")]);
        assert_eq!(node.send(&request("order", "before")).status(), 200);
        let mut reused = node.connect();
        assert_eq!(reused.send(&request("read", "reused")).status(), 200);
        let requests: String = (0..unread_requests).map(|n| request("order", &format!("left-{n}"))).collect();
        let mut addresses = Vec::new();
        let mut half_closed = Vec::new();
        node.while_stopped(|| {
            for (mut client, half_closes) in
                [(node.connect(), false), (node.connect(), true), (reused, false)]
            {
                client.write(requests.as_bytes());
                client.finish_sending();
                addresses.push(client.address());
                half_closed.extend(half_closes.then_some(client));
            }
        });
        for address in addresses {
            wait_until_closed(&node, address);
        }
        assert_eq!(node.send(&request("order", "after")).status(), 200);
        let requests = endpoint.requests();
        let forwarded: Vec<_> = requests.iter().map(HttpMessage::request_id).collect();
        assert_eq!(forwarded, ["before", "reused", "after"], "{unread_requests} requests unread");
    }
}

// Reported from other deployments: a request that must not be repeated ran twice, because its id came again
// after its client had left.
#[test]
fn does_not_execute_request_again_whose_client_left() {
    for cancel_setting in ["\"cancel\": true", "\"cancel\": false"] {
        let endpoint = StubEndpoint::start(|request| match request.request_id() {
            "left" => Reply::Silence,
            id => Reply::ok(id),
        });
        let discovery = StubDiscovery::with_endpoints(&[endpoint.entry("a"), endpoint.entry("b")]);
        let settings = SETTINGS.replace("\"cancel\": true", cancel_setting);
        let node = Node::start(&NodeConfig::with_list_of(&discovery).settings(&settings));
        let mut client = node.connect();
        client.write(request("order", "left").as_bytes());
        wait_until("the attempt is in flight", || endpoint.request_count() == 1);
        let address = client.address();
        drop(client);
        wait_until_closed(&node, address);
        for _ in 0..3 {
            let response = node.send(&request("order", "left"));
            assert!(response.is_failure(), "{cancel_setting}: {response:?}");
        }
        assert_eq!(node.send(&request("order", "served")).status(), 200);
        assert!(node.send(&request("order", "served")).is_failure());
        let ids: Vec<String> =
            endpoint.requests().iter().map(|request| request.request_id().to_owned()).collect();
        assert_eq!(ids, ["left", "served"], "{cancel_setting}");
        // Where nothing was run, and where a repetition is harmless, the id may come again.
        for _ in 0..2 {
            assert_eq!(node.send(&request("read", "safe")).status(), 200);
        }
    }
}
