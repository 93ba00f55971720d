//! Limits on request bodies, client connections and file descriptors.

use crate::support::*;

#[test]
fn rejects_oversized_body() {
    let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    let head = request("order", "r1").replace("Content-Length: 4\r\n", "Content-Length: 65537\r\n");
    assert_eq!(node.send(head.trim_end_matches("body")).status(), 413);
    assert_eq!(endpoint.request_count(), 0);
}

#[test]
fn times_out_incomplete_body() {
    let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    let mut slow = node.connect();
    slow.write(request_with("order", "r1", "large", "300m").trim_end_matches("dy").as_bytes());
    assert_eq!(node.send(&request("order", "r2")).status(), 200);
    assert_eq!(slow.read_response().map(|response| response.status()), Some(408));
    assert_eq!(endpoint.request_count(), 1);
}

#[test]
fn closes_idle_connections_at_descriptor_limit() {
    const DESCRIPTORS: usize = 40;
    let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
    let discovery = StubDiscovery::with_endpoints(&[endpoint.entry("a")]);
    let mut node = Node::start(&NodeConfig::with_list_of(&discovery).sockets(DESCRIPTORS));
    let mut clients = Vec::new();
    for number in 0..60 {
        let mut client = node.connect();
        if number % 2 == 0 {
            client.write(b"GET /api HTTP/1.1\r\nReq-Id: ha");
        }
        clients.push(client);
        assert!(node.descriptors() <= DESCRIPTORS);
    }
    assert_eq!(node.send(&request("read", "r1")).status(), 200);
    assert!(node.is_running());
}

#[test]
fn attempts_stay_within_descriptor_limit() {
    const DESCRIPTORS: usize = 40;
    let endpoint = StubEndpoint::start(|_| Reply::Silence);
    let discovery = StubDiscovery::with_endpoints(&[endpoint.entry("a")]);
    let mut node = Node::start(&NodeConfig::with_list_of(&discovery).sockets(DESCRIPTORS));
    let idle_descriptors = node.descriptors();
    let mut clients = node.connect_many(20);
    for (number, client) in clients.iter_mut().enumerate() {
        client.write(request_with("read", &format!("r{number}"), "large", "1500m").as_bytes());
    }
    for client in &mut clients {
        assert!(node.descriptors() <= DESCRIPTORS);
        assert!(client.read_response().is_some_and(|response| response.status() >= 400));
    }
    drop(clients);
    wait_until("all sockets of the attempts are closed", || {
        node.descriptors() <= idle_descriptors && endpoint.open_connections() == 0
    });
    assert!(node.is_running());
}
