//! Peers that send data without end, as fast as the node reads it. They must not delay the requests of
//! others.

mod support;

use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use support::*;

/// How late a response may be after the client's deadline.
const MAX_LATENESS: Duration = Duration::from_millis(550);
/// Number of endless streams at the same time.
const STREAMS: usize = 8;
/// Head of a response with a chunked body.
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Responses without end: what the endpoint sends once, and then again and again.
const ENDLESS_RESPONSES: [(&str, &str); 8] = [
    ("", "HTTP/1.1 103 \r\n\r\n"),
    ("", "HTTP/1.1 100 Continue\r\nLink: </style.css>; rel=preload\r\n\r\n"),
    ("", "\r\n"),
    ("HTTP/1.1 200 OK\r\n", "X-Pad: p\r\n"),
    (CHUNKED, "0"),
    (CHUNKED, "1\r\nx\r\n"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "e"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: t\r\n"),
];

/// Starts an endpoint whose responses to requests with an id that starts with `endless` have no end.
fn endless_endpoint(first: &'static str, repeated: &'static str) -> StubEndpoint {
    StubEndpoint::start(move |request| match request.request_id() {
        id if id.starts_with("endless") => Reply::Endless(first, repeated),
        id => Reply::ok(id),
    })
}

/// Starts discovery with so many entries for an endpoint that the requests of the endless streams do not use
/// up its capacity.
fn discovery_with(endpoint: &StubEndpoint) -> StubDiscovery {
    let entries: Vec<String> = (0..2 * STREAMS).map(|n| endpoint.entry(&format!("e{n}"))).collect();
    StubDiscovery::with_endpoints(&entries)
}

/// Starts a node that expects responses within the deadlines that the tests use.
fn start_node(discovery: &StubDiscovery) -> Node {
    let settings = SETTINGS.replace("\"aimMs\": 8000", "\"aimMs\": 400");
    Node::start(&NodeConfig::with_list_of(discovery).settings(&settings))
}

/// Sends requests one after another for a second. Each must be served, and before its deadline and
/// [`MAX_LATENESS`] are over.
fn assert_serves_requests_in_time(node: &Node, label: &str) {
    const DEADLINE: Duration = Duration::from_millis(1_000);
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < Duration::from_secs(1) {
        let id = format!("usual{number}");
        let sent = Instant::now();
        let response = node.send(&request_with("read", &id, "large", "1000m"));
        assert!(sent.elapsed() < DEADLINE + MAX_LATENESS, "{label}: {id} took {:?}", sent.elapsed());
        assert_eq!((response.status(), String::from_utf8_lossy(&response.body)), (200, id.into()), "{label}");
        number += 1;
    }
}

/// Sends a request with an endless response on each of several connections. Returns the threads that wait for
/// the responses of the node.
fn send_endless_requests(node: &Node) -> Vec<JoinHandle<Option<HttpMessage>>> {
    let clients = node.connect_many(STREAMS).into_iter().enumerate();
    clients
        .map(|(number, mut client)| {
            client.write(request_with("order", &format!("endless{number}"), "large", "3000m").as_bytes());
            std::thread::spawn(move || client.read_response())
        })
        .collect()
}

// An endpoint that sent interim responses without end kept the node in one poll of the attempt, so that it
// answered no client at all.
#[test]
fn endless_responses_do_not_delay_other_requests() {
    for (first, repeated) in ENDLESS_RESPONSES {
        let endpoint = endless_endpoint(first, repeated);
        let node = start_node(&discovery_with(&endpoint));
        let label = format!("{first:?} {repeated:?}");
        let sent = Instant::now();
        let endless = send_endless_requests(&node);
        assert_serves_requests_in_time(&node, &label);
        for response in endless {
            let response = response.join().expect("thread panicked").expect("a response of the node");
            assert!(response.is_failure(), "{label}: {}", response.start_line);
        }
        // The attempts failed by themselves, long before the deadline of their requests.
        assert!(sent.elapsed() < Duration::from_millis(2_500), "{label}: {:?}", sent.elapsed());
    }
}

// An attempt with an endless response ends early. If that did not count as a failure of the endpoint, it
// would look faster than all others and get most requests.
#[test]
fn endpoint_with_endless_responses_is_ejected() {
    const CLIENTS: usize = 8;
    const REQUESTS_PER_CLIENT: usize = 20;
    let delayed = || Reply::Delayed(Duration::from_millis(20));
    let endless = StubEndpoint::start(move |request| match request.request_id() {
        id if id.starts_with("first") => delayed(),
        _ => Reply::Endless("", "HTTP/1.1 103 \r\n\r\n"),
    });
    let valid = StubEndpoint::start(move |_| delayed());
    let node = Node::with_endpoints(&[endless.entry("a"), valid.entry("b")]);
    // Until it has measured the service time, the node expects a long one, and the capacity of a single
    // endpoint would not do for all clients.
    for number in 0..REQUESTS_PER_CLIENT {
        assert_eq!(node.send(&request("read", &format!("first{number}"))).status(), 200);
    }
    let (first_endless, first_valid) = (endless.request_count(), valid.request_count());
    std::thread::scope(|scope| {
        for (client_number, mut client) in node.connect_many(CLIENTS).into_iter().enumerate() {
            scope.spawn(move || {
                for number in 0..REQUESTS_PER_CLIENT {
                    let id = format!("r{client_number}-{number}");
                    assert_eq!(client.send(&request("read", &id)).status(), 200);
                }
            });
        }
    });
    // With two endpoints, one that seems equal gets half of the requests.
    let (endless, valid) = (endless.request_count() - first_endless, valid.request_count() - first_valid);
    assert!(endless < valid / 2, "{endless} requests to the endless endpoint, {valid} to the other");
}

// A client that sends without end while its request is open, or in place of a request, must not keep the node
// in one poll either.
#[test]
fn endless_input_of_clients_does_not_delay_other_requests() {
    let chunked = request("order", "chunked").replace("Content-Length: 4", "Transfer-Encoding: chunked");
    let inputs = [
        (request("order", "silent"), "noise"),
        (request("order", "silent"), "GET / HTTP/1.1\r\n\r\n"),
        (String::new(), "\r\n"),
        (String::new(), "GET /up HTTP/1.1\r\nHost: h\r\n\r\n"),
        (chunked.trim_end_matches("body").to_owned(), "0"),
    ];
    for (first, repeated) in inputs {
        let endpoint = StubEndpoint::start(|request| match request.request_id() {
            id if id.starts_with("silent") => Reply::Silence,
            id => Reply::ok(id),
        });
        let node = start_node(&discovery_with(&endpoint));
        for (number, client) in node.connect_many(STREAMS).into_iter().enumerate() {
            let first = first.replace("Req-Id: silent", &format!("Req-Id: silent{number}"));
            // Ends when the node does, or closes the connection.
            std::thread::spawn(move || write_endlessly(&mut client.stream.into_inner(), &first, repeated));
        }
        assert_serves_requests_in_time(&node, &format!("{first:?} {repeated:?}"));
    }
}

// The calls to discovery are read in the same way as the responses of endpoints.
#[test]
fn endless_input_of_discovery_does_not_delay_requests() {
    let watch = [("", "HTTP/1.1 103 \r\n\r\n"), (WATCH_HEAD, "1\r\n\n\r\n"), (WATCH_HEAD, "0")];
    for (first, repeated) in watch {
        let endpoint = StubEndpoint::start(|request| Reply::ok(request.request_id()));
        let discovery = discovery_with(&endpoint);
        discovery.set_endless_response(first, repeated);
        let node = start_node(&discovery);
        assert_serves_requests_in_time(&node, &format!("{first:?} {repeated:?}"));
        assert!(discovery.answered_calls() > 0);
    }
}
