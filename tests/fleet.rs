//! A node in a large fleet: idle clients while discovery is down, quick restarts, long lists.

mod support;

use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::*;

/// Descriptors of a small node.
const SOCKETS: usize = 96;

/// How long one who asks may have to wait, at the most, for a connection to be taken.
const SOON: Duration = Duration::from_secs(3);

#[test]
fn idle_clients_that_fill_the_descriptors_keep_nothing_from_going_on_while_discovery_is_down() {
    for mode in ["automatic", "subscribe"] {
        let (old, new) = (App::start(|_| Reply::ok("old")), App::start(|_| Reply::ok("new")));
        let list = listing(1, true, &[target("a", old.address, "north", "SERVING")]);
        let discovery = Discovery::start(list.clone());
        let settings = SETTINGS.replace("automatic", mode);
        let node = Node::start(&config(discovery.address, &list, &settings, SOCKETS));
        discovery.fall_silent(true);
        discovery.hang_up();
        // More than there are descriptors: some say nothing, some have asked once, some ask again and again.
        let mut clients: Vec<_> = (0..2 * SOCKETS).map(|_| node.client()).collect();
        for (n, client) in clients.iter_mut().enumerate().filter(|(n, _)| n % 3 > 0) {
            for again in 0..n % 3 {
                client.write(request("read", &format!("c{n}-{again}")).as_bytes());
                let _ = client.read();
            }
        }
        let soon = |what: &str, mut holds: Box<dyn FnMut() -> bool + '_>| {
            let asked = Instant::now();
            until(what, &mut *holds);
            assert!(asked.elapsed() < SOON, "{mode}: {what} took {:?}", asked.elapsed());
        };
        for n in 0..5 {
            soon("it is up", Box::new(|| node.up() == Some(200)));
            let body = || node.ask(&request("read", &format!("r{n}"))).body;
            soon("it serves", Box::new(|| body() == b"old"));
        }
        assert!(node.descriptors() <= SOCKETS, "{} descriptors", node.descriptors());
        // The other server takes over while discovery is down, and more clients come.
        let gone = target("a", old.address, "north", "DELETED");
        discovery.set(listing(2, true, &[target("b", new.address, "north", "SERVING")]));
        let more: Vec<_> = (0..SOCKETS).map(|_| node.client()).collect();
        discovery.fall_silent(false);
        let back = Instant::now();
        until("it is watched anew", || discovery.watched.load(std::sync::atomic::Ordering::SeqCst) >= 2);
        discovery.push(&listing(2, false, &[gone, target("b", new.address, "north", "SERVING")]));
        until("the new server is used", || node.ask(&request("read", "n")).body == b"new");
        assert!(back.elapsed() < Duration::from_secs(6), "{mode}: {:?}", back.elapsed());
        drop((clients, more));
    }
}

#[test]
fn a_node_that_starts_is_ready_soon_whatever_discovery_and_clients_do() {
    let app = App::start(|_| Reply::ok("done"));
    let list = listing(1, true, &[target("a", app.address, "north", "SERVING")]);
    for (mode, nodes) in [("automatic", 1), ("subscribe", 1), ("subscribe", 350)] {
        for known in ["null", &list] {
            for silent in [true, false] {
                // A node that knows no list and hears none has nothing to be ready with.
                let discovery = Discovery::start(list.clone());
                discovery.fall_silent(silent);
                let settings = SETTINGS
                    .replace("automatic", mode)
                    .replace("\"balancers\": 1", &format!("\"balancers\": {nodes}"));
                let begun = Instant::now();
                let node = Node::spawn(&config(discovery.address, known, &settings, SOCKETS));
                let crowd: Vec<_> = (0..2 * SOCKETS).map(|_| node.client()).collect();
                let mut back = begun;
                if silent && known == "null" {
                    assert_eq!(node.up(), Some(503));
                    discovery.fall_silent(false);
                    back = Instant::now();
                }
                until("it is up", || node.up() == Some(200));
                assert!(
                    back.elapsed() < Duration::from_secs(6),
                    "{mode}, {nodes} nodes, silent {silent}: {:?}",
                    back.elapsed()
                );
                drop(crowd);
            }
        }
    }
}

#[test]
fn a_thousand_nodes_and_a_thousand_servers_are_no_more_than_a_list() {
    const MANY: usize = 1024;
    let (old, new) = (App::start(|_| Reply::ok("old")), App::start(|_| Reply::ok("new")));
    let uid = |n: usize| format!("server-{n}");
    let all = |app: &App| -> Vec<String> {
        (0..MANY).map(|n| target(&uid(n), app.address, "north", "SERVING")).collect()
    };
    let list = listing(1, true, &all(&old));
    let discovery = Discovery::start(list.clone());
    let settings = SETTINGS
        .replace("\"balancers\": 1", &format!("\"balancers\": {MANY}"))
        .replace("\"rank\": 0", &format!("\"rank\": {}", MANY - 1));
    let node = Node::start(&config(discovery.address, &list, &settings, 256));
    let wide = |id: &str| {
        request("read", id).replace("spread=1,first=0", &format!("spread={MANY},first={}", MANY - 1))
    };
    assert!(wide("w").contains(&format!("spread={MANY}")));
    assert_eq!(node.ask(&wide("w0")).body, b"old");
    // All of them move in one change on the watch, and all come again in one whole list.
    discovery.push(&listing(2, false, &all(&new)));
    until("the change is taken", || node.ask(&wide("w1")).body == b"new");
    discovery.push(&listing(3, true, &all(&old)));
    until("the list is taken", || node.ask(&wide("w2")).body == b"old");
    assert!(node.memory() < 32 << 10, "{} KB", node.memory());
}

#[test]
fn a_request_that_waited_for_room_is_told_no_more_time_than_its_client_has_left() {
    const WAIT_MS: f64 = 5_000.0;
    const SLACK_MS: f64 = 150.0;
    let came: Arc<Mutex<Vec<(Instant, Message)>>> = Arc::default();
    let seen = came.clone();
    let app = App::start(move |request| {
        seen.lock().expect("no panic").push((Instant::now(), request.clone()));
        Reply::ok("x")
    });
    let list = listing(1, true, &[target("a", app.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 64));
    for round in 0..6 {
        // More than the node takes; some wait in the kernel's queue, and the client behind them.
        let crowd: Vec<_> = (0..60).filter_map(|_| TcpStream::connect(node.address).ok()).collect();
        let mut client = node.client();
        let sent = Instant::now();
        client.write(request_with("order", &format!("r{round}"), "large", "5000m").as_bytes());
        assert_eq!(client.read().expect("an answer").status(), 200);
        let (at, request) = came.lock().expect("no panic").last().expect("a request").clone();
        let told_ms = told_ms(&request);
        let waited_ms = (at - sent).as_secs_f64() * 1_000.0;
        assert!(told_ms <= WAIT_MS - waited_ms + SLACK_MS, "{told_ms} ms told after {waited_ms} ms");
        drop(crowd);
    }
}

#[test]
fn a_crowd_that_has_gone_costs_later_clients_no_time() {
    let app = App::start(|_| Reply::ok("x"));
    let list = listing(1, true, &[target("a", app.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 64));
    let before = node.descriptors();
    // One of these fills the node to the last place and leaves nobody waiting.
    for count in 25..34 {
        let crowd: Vec<_> = (0..count).filter_map(|_| TcpStream::connect(node.address).ok()).collect();
        until("most of it is there", || node.descriptors() >= before + 20);
        drop(crowd);
        until("it has gone", || node.descriptors() <= before + 4);
        let gone = Instant::now();
        until("nobody has come for a while", || gone.elapsed() > Duration::from_millis(400));
        for number in 0..3 {
            let id = format!("r{count}-{number}");
            assert_eq!(node.ask(&request_with("order", &id, "large", "5000m")).status(), 200);
        }
    }
    for request in &*app.requests.lock().expect("no panic") {
        let told_ms = told_ms(request);
        assert!(told_ms >= 4_800.0, "{told_ms} ms told to {}", id_of(request));
    }
}
