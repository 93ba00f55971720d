//! A node of a large fleet: connection bursts, many idle clients while discovery is down, starts without
//! discovery, and long endpoint lists.

mod support;

use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::*;

/// The limit on file descriptors of a small node.
const DESCRIPTORS: usize = 96;

/// The time within which a new connection must be accepted and its request answered.
const MAX_ACCEPT_TIME: Duration = Duration::from_secs(3);

/// The time within which a node must be ready, or must apply a change, once discovery answers.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);

/// Waits until a condition is true, and fails if that takes [`MAX_ACCEPT_TIME`] or longer.
fn wait_until_within_accept_time(what: &str, condition: impl FnMut() -> bool) {
    let started = Instant::now();
    wait_until(what, condition);
    assert!(started.elapsed() < MAX_ACCEPT_TIME, "{what} took {:?}", started.elapsed());
}

/// Opens twice as many connections as the node has descriptors. One third of the clients send no request,
/// one third send one, and one third send two.
fn connect_idle_clients(node: &Node) -> Vec<Client> {
    let mut clients = node.connect_many(2 * DESCRIPTORS);
    for (n, client) in clients.iter_mut().enumerate() {
        for number in 0..n % 3 {
            client.write(request("read", &format!("c{n}-{number}")).as_bytes());
            let _ = client.read_response();
        }
    }
    clients
}

#[test]
fn serves_with_descriptors_exhausted_while_discovery_is_down() {
    for mode in ["automatic", "subscribe"] {
        let (old, new) =
            (StubEndpoint::start(|_| Reply::ok("old")), StubEndpoint::start(|_| Reply::ok("new")));
        let discovery = StubDiscovery::with_endpoints(&[old.entry("a")]);
        let settings = SETTINGS.replace("automatic", mode);
        let node =
            Node::start(&NodeConfig::with_list_of(&discovery).settings(&settings).sockets(DESCRIPTORS));
        discovery.set_silent(true);
        discovery.close_watches();
        let clients = connect_idle_clients(&node);
        for n in 0..5 {
            wait_until_within_accept_time(&format!("{mode}: the health check succeeds"), || {
                node.health() == Some(200)
            });
            let body = || node.send(&request("read", &format!("r{n}"))).body;
            wait_until_within_accept_time(&format!("{mode}: a request is served"), || body() == b"old");
        }
        assert!(node.descriptors() <= DESCRIPTORS, "{} descriptors", node.descriptors());
        // While discovery is down, the new endpoint replaces the old one and more clients connect.
        let removed = old.entry_with_state("a", "DELETED");
        discovery.set_list(snapshot(2, &[new.entry("b")]));
        let more_clients = node.connect_many(DESCRIPTORS);
        discovery.set_silent(false);
        let answered = Instant::now();
        wait_until("the watch is reopened", || discovery.watch_calls() >= 2);
        discovery.push(&delta(2, &[removed, new.entry("b")]));
        wait_until("the new endpoint is used", || node.send(&request("read", "n")).body == b"new");
        assert!(answered.elapsed() < NOTIFICATION_DEADLINE, "{mode}: {:?}", answered.elapsed());
        drop((clients, more_clients));
    }
}

#[test]
fn is_ready_promptly_despite_silent_discovery_and_many_clients() {
    let endpoint = StubEndpoint::start(|_| Reply::ok("done"));
    let list = snapshot(1, &[endpoint.entry("a")]);
    for (mode, nodes) in [("automatic", 1), ("subscribe", 1), ("subscribe", 350)] {
        for known in ["null", &list] {
            for silent in [true, false] {
                // A node without a known list cannot be ready before discovery answers.
                let discovery = StubDiscovery::start(list.clone());
                discovery.set_silent(silent);
                let settings = SETTINGS
                    .replace("automatic", mode)
                    .replace("\"balancers\": 1", &format!("\"balancers\": {nodes}"));
                let started = Instant::now();
                let node = Node::spawn(
                    &NodeConfig::new(discovery.address)
                        .known_list(known)
                        .settings(&settings)
                        .sockets(DESCRIPTORS),
                );
                let clients = node.connect_many(2 * DESCRIPTORS);
                let mut answered = started;
                if silent && known == "null" {
                    assert_eq!(node.health(), Some(503));
                    discovery.set_silent(false);
                    answered = Instant::now();
                }
                node.wait_until_ready();
                assert!(
                    answered.elapsed() < NOTIFICATION_DEADLINE,
                    "{mode}, {nodes} nodes, silent {silent}: {:?}",
                    answered.elapsed()
                );
                drop(clients);
            }
        }
    }
}

#[test]
fn handles_a_thousand_gateways_and_endpoints() {
    const COUNT: usize = 1024;
    let (old, new) = (StubEndpoint::start(|_| Reply::ok("old")), StubEndpoint::start(|_| Reply::ok("new")));
    let uid = |n: usize| format!("endpoint-{n}");
    let entries =
        |endpoint: &StubEndpoint| -> Vec<String> { (0..COUNT).map(|n| endpoint.entry(&uid(n))).collect() };
    let discovery = StubDiscovery::with_endpoints(&entries(&old));
    let settings = SETTINGS
        .replace("\"balancers\": 1", &format!("\"balancers\": {COUNT}"))
        .replace("\"rank\": 0", &format!("\"rank\": {}", COUNT - 1));
    let node = Node::start(&NodeConfig::with_list_of(&discovery).settings(&settings).sockets(256));
    let request_for_all_gateways = |id: &str| {
        request("read", id).replace("spread=1,first=0", &format!("spread={COUNT},first={}", COUNT - 1))
    };
    assert!(request_for_all_gateways("w").contains(&format!("spread={COUNT}")));
    assert_eq!(node.send(&request_for_all_gateways("w0")).body, b"old");
    // All endpoints move to another address in one delta, and back in one snapshot.
    discovery.push(&delta(2, &entries(&new)));
    wait_until("the delta is applied", || node.send(&request_for_all_gateways("w1")).body == b"new");
    discovery.push(&snapshot(3, &entries(&old)));
    wait_until("the snapshot is applied", || node.send(&request_for_all_gateways("w2")).body == b"old");
    assert!(node.memory_kib() < 32 << 10, "{} KiB", node.memory_kib());
}

#[test]
fn request_queued_for_capacity_gets_remaining_deadline() {
    const DEADLINE_MS: f64 = 5_000.0;
    const TOLERANCE_MS: f64 = 150.0;
    let received: Arc<Mutex<Vec<(Instant, HttpMessage)>>> = Arc::default();
    let endpoint_log = received.clone();
    let endpoint = StubEndpoint::start(move |request| {
        endpoint_log.lock().expect("mutex poisoned").push((Instant::now(), request.clone()));
        Reply::ok("x")
    });
    let discovery = StubDiscovery::with_endpoints(&[endpoint.entry("a")]);
    let node = Node::start(&NodeConfig::with_list_of(&discovery).sockets(64));
    for round in 0..6 {
        // More connections than the node accepts: some wait in the accept queue, and the client's connection
        // behind them.
        let burst: Vec<_> = (0..60).filter_map(|_| TcpStream::connect(node.address).ok()).collect();
        let mut client = node.connect();
        let sent = Instant::now();
        client.write(request_with("order", &format!("r{round}"), "large", "5000m").as_bytes());
        assert_eq!(client.read_response().expect("no response").status(), 200);
        let (received_at, request) =
            received.lock().expect("mutex poisoned").last().expect("no request received").clone();
        let deadline_ms = request.deadline_ms();
        let waited_ms = (received_at - sent).as_secs_f64() * 1_000.0;
        assert!(
            deadline_ms <= DEADLINE_MS - waited_ms + TOLERANCE_MS,
            "a deadline of {deadline_ms} ms after {waited_ms} ms"
        );
        drop(burst);
    }
}

#[test]
fn past_connection_burst_does_not_shorten_deadlines() {
    let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
    let discovery = StubDiscovery::with_endpoints(&[endpoint.entry("a")]);
    let node = Node::start(&NodeConfig::with_list_of(&discovery).sockets(64));
    let idle_descriptors = node.descriptors();
    // One of these counts reaches the node's limit exactly, with no connection left in the accept queue.
    for count in 25..34 {
        let burst: Vec<_> = (0..count).filter_map(|_| TcpStream::connect(node.address).ok()).collect();
        wait_until("the burst is accepted", || node.descriptors() >= idle_descriptors + 20);
        drop(burst);
        wait_until("the burst is closed", || node.descriptors() <= idle_descriptors + 4);
        let closed = Instant::now();
        wait_until("no client has connected for a while", || closed.elapsed() > Duration::from_millis(400));
        for number in 0..3 {
            let id = format!("r{count}-{number}");
            assert_eq!(node.send(&request_with("order", &id, "large", "5000m")).status(), 200);
        }
    }
    for request in &*endpoint.requests() {
        let deadline_ms = request.deadline_ms();
        assert!(deadline_ms >= 4_800.0, "{deadline_ms} ms for {}", request.request_id());
    }
}
