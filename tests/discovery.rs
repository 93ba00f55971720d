//! Discovery agents that write lists and events slowly, on several lines, incompletely or not at all, or
//! whose responses are invalid.

mod support;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::*;

/// A discovery agent whose list has one endpoint, and another endpoint that a test puts in its place.
struct EndpointReplacement {
    old: StubEndpoint,
    new: StubEndpoint,
    discovery: StubDiscovery,
}

impl EndpointReplacement {
    /// Starts an agent and endpoints that respond with `old` and `new`.
    fn start() -> Self {
        let old = StubEndpoint::start(|_| Reply::ok("old"));
        let new = StubEndpoint::start(|_| Reply::ok("new"));
        let discovery = StubDiscovery::with_endpoints(&[old.entry("a")]);
        Self { old, new, discovery }
    }

    /// Returns the configuration of a node that knows the list with the old endpoint.
    fn config(&self) -> NodeConfig {
        NodeConfig::with_list_of(&self.discovery)
    }

    /// Returns the delta that replaces the old endpoint with the new one.
    fn delta(&self) -> String {
        delta(2, &[self.old.entry_with_state("a", "DELETED"), self.new.entry("b")])
    }

    /// Returns the complete list with the new endpoint.
    fn snapshot(&self) -> String {
        snapshot(2, &[self.new.entry("b")])
    }
}

/// Waits until a node forwards to the new endpoint.
fn wait_until_replaced(node: &Node) {
    wait_until("the new endpoint is used", || node.send(&request("read", "r")).body == b"new");
}

/// Formats a JSON text on several lines.
fn indented(json: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(json).expect("invalid JSON");
    serde_json::to_string_pretty(&value).expect("failed to serialize JSON")
}

#[test]
fn accepts_indented_delta() {
    for in_one_chunk in [true, false] {
        let replacement = EndpointReplacement::start();
        let discovery = &replacement.discovery;
        // In mode `subscribe` calls are made one at a time. In `automatic` a slow response leads to a second
        // watch.
        let settings = SETTINGS.replace("automatic", "subscribe");
        let node = Node::start(&replacement.config().settings(&settings));
        wait_until("discovery is watched", || discovery.watch_calls() == 1);
        let delta = indented(&replacement.delta());
        if in_one_chunk {
            discovery.push(&delta);
        } else {
            delta.lines().for_each(|line| discovery.push(line));
        }
        wait_until_replaced(&node);
        let counts = (discovery.list_calls(), discovery.watch_calls());
        assert_eq!(counts, (0, 1));
    }
}

#[test]
fn does_not_wait_for_truncated_event() {
    let replacement = EndpointReplacement::start();
    let discovery = &replacement.discovery;
    let node = Node::start(&replacement.config());
    let event = indented(&replacement.delta());
    discovery.set_list(replacement.snapshot());
    discovery.push_text(&event[..event.len() / 2]);
    wait_until_replaced(&node);
    assert_eq!(discovery.list_calls(), 1);
}

#[test]
fn unanswered_call_does_not_block_others() {
    let replacement = EndpointReplacement::start();
    let discovery = &replacement.discovery;
    discovery.set_silent(true);
    let node = Node::start(&replacement.config());
    wait_until("an unanswered call is closed", || discovery.unanswered_calls().closed > 0);
    // The node made other calls while the unanswered one was open.
    assert!(discovery.unanswered_calls().total >= 2);
    discovery.set_silent(false);
    wait_until("discovery is watched", || discovery.watch_calls() == 1);
    wait_until("all unanswered calls are closed", || {
        let calls = discovery.unanswered_calls();
        calls.total == calls.closed
    });
    discovery.push(&replacement.delta());
    wait_until_replaced(&node);
}

#[test]
fn reopens_silent_watch_before_notification_deadline() {
    let replacement = EndpointReplacement::start();
    let discovery = &replacement.discovery;
    let _node = Node::start(&replacement.config());
    wait_until("discovery is watched", || discovery.watch_calls() == 1);
    let last_byte = Instant::now();
    wait_until("the watch is reopened", || discovery.watch_calls() == 2);
    // A node must know of a change 6 s after it, even if it was not told. The response to the new watch takes
    // part of that time.
    assert!(last_byte.elapsed() < Duration::from_millis(4500), "{:?}", last_byte.elapsed());
}

#[test]
fn is_not_ready_with_known_list_before_first_response() {
    let replacement = EndpointReplacement::start();
    let discovery = &replacement.discovery;
    let draining = replacement.old.entry_with_state("a", "DRAINING");
    discovery.set_silent(true);
    let node = Node::spawn(&replacement.config());
    assert_eq!(node.health(), Some(503));
    discovery.set_silent(false);
    discovery.push(&delta(2, &[draining]));
    // With the delta the only endpoint drains, so the node is still not ready.
    for _ in 0..20 {
        assert_eq!(node.health(), Some(503));
    }
    discovery.push(&delta(3, &[replacement.new.entry("b")]));
    node.wait_until_ready();
}

#[test]
fn serves_with_known_list_while_discovery_is_silent() {
    let replacement = EndpointReplacement::start();
    let discovery = &replacement.discovery;
    discovery.set_silent(true);
    let node = Node::start(&replacement.config());
    assert_eq!(node.send(&request("read", "r")).body, b"old");
}

#[test]
fn reads_truncated_event_from_next_watch() {
    let replacement = EndpointReplacement::start();
    let discovery = &replacement.discovery;
    let node = Node::start(&replacement.config());
    let delta = replacement.delta();
    discovery.push_text(&delta[..delta.len() - 10]);
    discovery.close_watches();
    wait_until("a second watch is open", || discovery.watch_calls() == 2);
    assert_eq!(node.send(&request("read", "r")).body, b"old");
    discovery.push(&delta);
    wait_until_replaced(&node);
    assert_eq!(discovery.list_calls(), 0);
}

#[test]
fn does_not_wait_for_truncated_list() {
    let replacement = EndpointReplacement::start();
    let discovery = &replacement.discovery;
    discovery.truncate_next_list();
    let started = Instant::now();
    let node = Node::start(&NodeConfig::new(discovery.address));
    assert_eq!(node.send(&request("read", "r")).body, b"old");
    // The node must not wait for the 3 s that a remote list service may take.
    assert!(started.elapsed() < Duration::from_millis(2500), "{:?}", started.elapsed());
    assert_eq!(discovery.list_calls(), 1);
}

#[test]
fn uses_known_list_while_agent_is_unreachable() {
    for mode in ["automatic", "subscribe"] {
        let replacement = EndpointReplacement::start();
        let discovery = &replacement.discovery;
        let settings = SETTINGS.replace("automatic", mode);
        // The endpoint is dropped at once, so that nothing listens at its address.
        let unreachable = BlockedEndpoint::new().address;
        let node =
            Node::start(&NodeConfig::new(unreachable).known_list(&discovery.list()).settings(&settings));
        assert_eq!(node.send(&request("read", "r")).body, b"old");
        let config = replacement.config().settings(&settings);
        discovery.set_list(replacement.snapshot());
        node.reload(&config);
        wait_until_replaced(&node);
    }
}

/// Formats a list of `count` endpoints in 16 zones, all with the address of one stub endpoint.
fn long_list(count: usize) -> String {
    let endpoint = StubEndpoint::start(|_| Reply::ok("old"));
    let entry = |n| endpoint.entry_in_zone(&format!("s-{n:08x}"), &format!("zone-{}", n % 16));
    snapshot(7, &(0..count).map(entry).collect::<Vec<_>>())
}

#[test]
fn reads_list_of_47_000_endpoints_within_64_mb() {
    const ENDPOINTS: usize = 47_000;
    let discovery = StubDiscovery::start(long_list(ENDPOINTS));
    let node = Node::start(&NodeConfig::new(discovery.address).memory_mb(64));
    assert_eq!(node.send(&request("read", "r")).body, b"old");
    assert_eq!(discovery.list_calls(), 1);
    assert!(node.peak_memory_kib() < 64 << 10, "{} KiB", node.peak_memory_kib());
    // Another complete list replaces the first one, as after a watch that was lost for a long time.
    wait_until("discovery is watched", || discovery.watch_calls() == 1);
    discovery.push(&long_list(ENDPOINTS));
    discovery.push(&snapshot(8, &[StubEndpoint::start(|_| Reply::ok("new")).entry_in_zone("z", "")]));
    wait_until("the last list is applied", || node.send(&request("read", "r")).body == b"new");
    assert!(node.peak_memory_kib() < 64 << 10, "{} KiB", node.peak_memory_kib());
}

#[test]
fn backs_off_from_unusable_responses() {
    const CALLS: usize = 9;
    let response = |status: &str, body: &str, length: usize| {
        format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
    };
    let list = long_list(1100);
    let invalid_responses = [
        ("too long", response("200 OK", &list, list.len())),
        ("unreadable", response("200 OK", "nonsense", 8)),
        ("truncated", response("200 OK", &list[..1000], list.len())),
        ("rejected", response("503 Service Unavailable", "", 0)),
    ];
    for (kind, raw_response) in invalid_responses {
        let replacement = EndpointReplacement::start();
        let discovery = &replacement.discovery;
        discovery.set_raw_response(Some(raw_response));
        // With 1 MB of memory the node accepts little more than a thousand endpoints.
        let node = Node::spawn(&NodeConfig::new(discovery.address).memory_mb(1));
        wait_until("some calls were made", || discovery.answered_calls() > 0);
        let started = Instant::now();
        wait_until("more calls were made", || discovery.answered_calls() >= CALLS);
        // Every delay after the first is at least half of its upper bound. The bounds are 50, 100, 200, 400
        // and 800 ms, and 1.5 s from then on.
        assert!(started.elapsed() > Duration::from_millis(2500), "{kind}: {:?}", started.elapsed());
        discovery.set_raw_response(None);
        node.wait_until_ready();
    }
}

#[test]
fn does_not_fetch_snapshot_when_watch_is_rejected() {
    for mode in ["automatic", "subscribe"] {
        let replacement = EndpointReplacement::start();
        let discovery = &replacement.discovery;
        discovery.set_raw_response(Some(
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_vec(),
        ));
        let settings = SETTINGS.replace("automatic", mode);
        let node = Node::spawn(&replacement.config().settings(&settings));
        wait_until("some calls were rejected", || discovery.watch_calls() >= 4);
        discovery.set_raw_response(None);
        discovery.push(&replacement.delta());
        wait_until_replaced(&node);
        assert_eq!(discovery.list_calls(), 0, "{mode}");
    }
}

#[test]
fn reads_slow_list() {
    for settings in [SETTINGS.to_owned(), SETTINGS.replace("automatic", "subscribe")] {
        let replacement = EndpointReplacement::start();
        let discovery = &replacement.discovery;
        // Longer than the node waits at first for the rest of a list, 250 ms.
        discovery.set_delay(Duration::from_millis(400));
        let started = Instant::now();
        let node = Node::start(&NodeConfig::new(discovery.address).settings(&settings));
        assert_eq!(node.send(&request("read", "r")).body, b"old");
        // A node must know of a change 6 s after it, even if it was not told.
        assert!(started.elapsed() < Duration::from_secs(6), "{:?}", started.elapsed());
    }
}

#[test]
fn abandoned_calls_do_not_starve_serial_agent() {
    let replacement = EndpointReplacement::start();
    let discovery = &replacement.discovery;
    // Longer than the time between the node's calls. The agent also answers calls that the node has
    // abandoned.
    discovery.serialize_calls(Duration::from_millis(450));
    let node = Node::start(&NodeConfig::new(discovery.address));
    assert_eq!(node.send(&request("read", "r")).body, b"old");
}

#[test]
fn skips_endpoints_without_address() {
    let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
    let without_address =
        |uid: &str| endpoint.entry(uid).replace(&format!("\"{}\"", endpoint.address), "null");
    let mut entries: Vec<String> = (0..9).map(|number| without_address(&format!("n{number}"))).collect();
    entries.push(endpoint.entry("a"));
    let node = Node::with_endpoints(&entries);
    for number in 0..20 {
        assert_eq!(node.send(&request("order", &format!("r{number}"))).status(), 200);
    }
}

/// Starts an agent that passes the request line and connection of each call to `answer`. Returns its address.
fn start_agent(answer: impl Fn(&str, TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port");
    let address = listener.local_addr().expect("failed to get the local address");
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let mut stream = BufReader::new(stream);
                if let Some(call) = read_message(&mut stream) {
                    answer(&call.start_line, stream.into_inner());
                }
            });
        }
    });
    address
}

#[test]
fn reads_list_that_keeps_arriving() {
    const PIECES: usize = 24;
    // No pause exceeds a timeout, but all of them together take about 4 s, longer than a response usually
    // may.
    const PAUSE: Duration = Duration::from_millis(180);
    let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
    let list = snapshot(1, &[endpoint.entry("a")]);
    let address = start_agent(move |call, mut stream| {
        let text = if is_watch(call) {
            format!("{WATCH_HEAD}{}", chunk(&format!("{list}\n")))
        } else {
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
        };
        for piece in text.as_bytes().chunks(text.len().div_ceil(PIECES)) {
            if stream.write_all(piece).is_err() {
                return;
            }
            std::thread::sleep(PAUSE);
        }
        // Keeps a watch open until the node closes it.
        let _ = stream.read(&mut [0]);
    });
    let node = Node::start(&NodeConfig::new(address));
    assert_eq!(node.send(&request("read", "r")).body, b"x");
}

#[test]
fn does_not_take_delta_for_complete_list() {
    let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
    let old_agent = StubDiscovery::start(snapshot(50, &[endpoint.entry("a")]));
    let node = Node::start(&NodeConfig::with_list_of(&old_agent));
    // The list of the new agent is empty, and its first snapshot is lost.
    let has_lost_snapshot = AtomicBool::new(false);
    let (snapshot, delta) = (snapshot(3, &[]), delta(3, &[]));
    let address = start_agent(move |call, mut stream| {
        if is_watch(call) {
            let _ = stream.write_all(format!("{WATCH_HEAD}{}", chunk(&format!("{delta}\n"))).as_bytes());
            // Empty lines are heartbeats of the watch.
            while stream.write_all(chunk("\n").as_bytes()).is_ok() {
                std::thread::sleep(Duration::from_secs(1));
            }
        } else if has_lost_snapshot.swap(true, Ordering::SeqCst) {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", snapshot.len());
            let _ = stream.write_all(format!("{head}{snapshot}").as_bytes());
        }
    });
    let started = Instant::now();
    node.reload(&NodeConfig::new(address));
    wait_until("the endpoint of the old list is removed", || node.health() == Some(503));
    assert!(started.elapsed() < Duration::from_secs(6), "{:?}", started.elapsed());
}

#[test]
fn requests_deltas_only_with_known_list() {
    let replacement = EndpointReplacement::start();
    let discovery = &replacement.discovery;
    let node = Node::start(&replacement.config());
    discovery.push(&replacement.delta());
    wait_until_replaced(&node);
    assert_eq!(discovery.list_calls(), 0);
}

#[test]
fn fetches_snapshot_after_invalid_event() {
    let replacement = EndpointReplacement::start();
    let discovery = &replacement.discovery;
    let node = Node::start(&replacement.config());
    discovery.wait_for_watch();
    discovery.set_list(replacement.snapshot());
    let list_calls = discovery.list_calls();
    discovery.push(r#"{"rev":2,"all":false,"targets":[{"uid":"#);
    wait_until("the snapshot is fetched", || discovery.list_calls() > list_calls);
    wait_until("the new endpoint is used", || node.send(&request("read", "r")).body == b"new");
}

#[test]
fn reopens_ended_or_silent_watch() {
    let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
    let discovery = StubDiscovery::with_endpoints(&[endpoint.entry("a")]);
    let _node = Node::start(&NodeConfig::with_list_of(&discovery));
    wait_until("discovery is watched", || discovery.watch_calls() == 1);
    discovery.close_watches();
    wait_until("a second watch is open", || discovery.watch_calls() == 2);
    // The second watch sends no heartbeats, so the node closes it as silent.
    wait_until("a third watch is open", || discovery.watch_calls() == 3);
}
