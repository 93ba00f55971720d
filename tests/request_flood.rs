//! Clients that send small requests at full speed, under ever new names: the memory of the node stays within
//! its limit, and others get their answers in time.

mod support;

use std::io::Write;
use std::net::Shutdown;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// The least memory that a node is given, in MiB.
const MEMORY_MB: u32 = 32;
/// The fewest file descriptors that a node is given.
const DESCRIPTORS: usize = 256;
/// Number of clients that send at full speed at the same time.
const FLOODING_CLIENTS: usize = 4;
/// Number of requests that a client sends at once; they fit into what the node reads ahead.
const REQUESTS_AT_ONCE: usize = 200;
/// How long a client sends without waiting for answers.
const CONTINUOUS_FLOOD_TIME: Duration = Duration::from_secs(2);
/// Longest time that another client may wait for its answer.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(1_500);
/// Pause between two requests of the usual client.
const USUAL_INTERVAL: Duration = Duration::from_millis(50);

/// Starts a node with the least memory before an endpoint that serves everything at once.
fn start_small_node(settings: &str) -> (StubEndpoint, StubDiscovery, Node) {
    let endpoint = StubEndpoint::start(|request| Reply::ok(request.request_id()));
    let discovery = StubDiscovery::with_many_entries(&endpoint);
    let config = NodeConfig::with_list_of(&discovery).settings(settings);
    let node = Node::start(&config.memory_mb(MEMORY_MB).sockets(DESCRIPTORS));
    (endpoint, discovery, node)
}

/// Sends the requests with the numbers that `next` still gives, some at once. Opens a new connection whenever
/// the node closes one.
fn flood(node: &Node, next: &AtomicUsize, count: usize, request: impl Fn(usize) -> String) {
    let mut client = node.connect();
    loop {
        let first = next.fetch_add(REQUESTS_AT_ONCE, Ordering::Relaxed);
        if first >= count {
            return;
        }
        let requests: String = (first..first + REQUESTS_AT_ONCE).map(&request).collect();
        client.write(requests.as_bytes());
        if (0..REQUESTS_AT_ONCE).any(|_| client.read_response().is_none()) {
            client = node.connect();
        }
    }
}

/// Floods the node with `count` requests, and asserts what [`assert_serves_others`] does.
fn assert_withstands_flood(node: &Node, count: usize, request: impl Fn(usize) -> String + Sync) {
    let next = AtomicUsize::new(0);
    assert_serves_others(node, || {
        thread::scope(|scope| {
            for _ in 0..FLOODING_CLIENTS {
                scope.spawn(|| flood(node, &next, count, &request));
            }
        });
    });
}

/// Sends the same input again and again on one connection, without waiting for answers, for
/// [`CONTINUOUS_FLOOD_TIME`]. Opens a new connection whenever the node closes it.
fn flood_continuously(node: &Node, input: &[u8]) {
    let end = Instant::now() + CONTINUOUS_FLOOD_TIME;
    while Instant::now() < end {
        let client = node.connect();
        let stream = client.stream.get_ref();
        stream.set_write_timeout(Some(CONTINUOUS_FLOOD_TIME)).expect("failed to set the write timeout");
        thread::scope(|scope| {
            scope.spawn(|| std::io::copy(&mut &*stream, &mut std::io::sink()));
            while Instant::now() < end && (&*stream).write_all(input).is_ok() {}
            let _ = stream.shutdown(Shutdown::Both);
        });
    }
}

/// Runs `flood` while a usual client sends one request after another. Each of those must be served in time,
/// also the one after the flood, and the node must stay within its memory.
fn assert_serves_others(node: &Node, flood: impl FnOnce() + Send) {
    thread::scope(|scope| {
        let flood = scope.spawn(flood);
        let mut number = 0;
        let mut is_over = false;
        while !is_over {
            is_over = flood.is_finished();
            let id = format!("usual{number}");
            let sent = Instant::now();
            assert_eq!(node.send(&request_with("read", &id, "large", "15000m")).body, id.as_bytes());
            assert!(sent.elapsed() <= MAX_RESPONSE_TIME, "{id} took {:?}", sent.elapsed());
            number += 1;
            thread::sleep(USUAL_INTERVAL);
        }
    });
    let memory_kib = node.peak_memory_kib();
    assert!(memory_kib <= u64::from(MEMORY_MB) << 10, "{memory_kib} KiB");
}

/// Formats a request of class `read`, from a customer of the plan `small` with this number.
fn request_of_small_customer(number: usize, units: u32, deadline: &str) -> String {
    let request = request_with("read", &format!("n{number}"), "small", deadline);
    let customer = format!("{number:016x}");
    request.replace("00000000b4d65521", &customer).replace("units=1", &format!("units={units}"))
}

// Each customer that exceeded its slice got a record, although its request was rejected, and the records of
// some seconds took the node over its memory limit.
#[test]
fn rejected_requests_of_new_customers_take_no_memory() {
    let (_endpoint, _discovery, node) = start_small_node(SETTINGS);
    assert_withstands_flood(&node, 100_000, |number| request_of_small_customer(number, 4, "60m"));
}

// The same where the requests are served, with what is kept of served requests: hedges, timers and records.
#[test]
fn served_requests_of_new_customers_take_no_memory() {
    let capped_plan = r#""contracts": [{"name": "capped", "refill": 100, "mostAtOnce": 100, "worthFactor": 1,
                          "capRate": 1000, "capDepth": 10},"#;
    let settings = SETTINGS
        .replace("\"secondCopies\": false", "\"secondCopies\": true")
        .replace("\"contracts\": [", capped_plan);
    let (endpoint, _discovery, node) = start_small_node(&settings);
    assert_withstands_flood(&node, 60_000, |number| {
        request_of_small_customer(number, 1, "15000m").replace("Api-Plan: small", "Api-Plan: capped")
    });
    assert!(endpoint.request_count() > 30_000, "{} requests were forwarded", endpoint.request_count());
}

// Requests that are answered with an error must not cost others their answers.
#[test]
fn invalid_requests_at_full_speed_delay_no_others() {
    let (_endpoint, _discovery, node) = start_small_node(SETTINGS);
    assert_withstands_flood(&node, 60_000, |number| {
        let request = request_of_small_customer(number, 1, "60m");
        match number % 4 {
            0 => request,
            1 => request.replace("units=1", "units=9"),
            2 => request.replace("Req-Id", "Other-Id"),
            _ => format!("noise {number}\r\n\r\n"),
        }
    });
}

// Reported from other deployments: one client that sends small or invalid requests on one connection, as fast
// as it can, kept others from their answers.
#[test]
fn one_client_at_full_speed_delays_no_others() {
    let (_endpoint, _discovery, node) = start_small_node(SETTINGS);
    let health_checks = HEALTH_CHECK.repeat(REQUESTS_AT_ONCE);
    let rejected = request_of_small_customer(1, 4, "60m").repeat(REQUESTS_AT_ONCE);
    let served = request("read", "same").repeat(REQUESTS_AT_ONCE);
    let invalid = request("read", "same").replace("units=1", "units=9").repeat(REQUESTS_AT_ONCE);
    let empty_lines = "\r\n".repeat(REQUESTS_AT_ONCE);
    let tiny = request("read", "same").replace("units=1", "units=0.0001").repeat(REQUESTS_AT_ONCE);
    let noise = "noise\r\n\r\n".repeat(REQUESTS_AT_ONCE);
    let texts = [rejected, served, invalid, tiny, empty_lines, noise];
    for input in texts.iter().map(String::as_bytes).chain([&*health_checks]) {
        assert_serves_others(&node, || flood_continuously(&node, input));
    }
}

// A single request of far less than a unit was served, and taught the node that requests take minutes: it
// rejected all others of the class from then on.
#[test]
fn requests_of_tiny_units_teach_the_node_nothing() {
    let (_endpoint, _discovery, node) = start_small_node(SETTINGS);
    let tiny = request("read", "tiny").replace("units=1", "units=0.0001");
    assert_eq!(node.send(&tiny).status(), 400);
    assert_serves_others(&node, || ());
}
