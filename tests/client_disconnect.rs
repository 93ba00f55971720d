//! Clients that leave while their request waits, in every way in which one can leave.

mod support;

use std::net::Shutdown;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;
use support::*;

#[test]
fn however_a_client_leaves_its_waiting_request_is_given_up() {
    let next = request("order", "r2");
    let half = &next[..next.len() / 2];
    let much = request("read", "r3").repeat(3000);
    // What it says behind its request, and whether it ends its sending only.
    for (behind, half_closes) in [
        ("", false),
        (&*next, false),
        (half, false),
        (&*much, false),
        ("", true),
        (&*next, true),
        (&*much, true),
    ] {
        let (blocked, _discovery, node, mut client) = waiting("\"cancel\": true");
        let port = client.stream.get_ref().local_addr().expect("an address");
        client.write(behind.as_bytes());
        client.stream.get_ref().shutdown(Shutdown::Write).expect("it can be ended");
        let kept = half_closes.then_some(client);
        until("its connection is closed", || !is_held(node.address, port));
        until("the one to the app server is given up", || !connects(blocked.address));
        drop(kept);
    }
}

#[test]
fn requests_that_come_ahead_of_an_answer_are_answered_in_turn() {
    let app = App::start(|request| {
        std::thread::sleep(Duration::from_millis(20));
        Reply::ok(request.header("req-id").expect("an id"))
    });
    let node = Node::with(&[target("a", app.address, "north", "SERVING")]);
    let mut client = node.client();
    let name = |n: usize| format!("r{n}");
    // The first alone, so that the others come while it is open; the last ones in two pieces.
    client.write(request("order", &name(0)).as_bytes());
    until("the first is out", || app.seen() == 1);
    let others: String = (1..40).map(|n| request(["order", "read", "edit"][n % 3], &name(n))).collect();
    let (one, two) = others.split_at(others.len() - 100);
    client.write(one.as_bytes());
    for n in 0..40 {
        if n == 20 {
            client.write(two.as_bytes());
        }
        assert_eq!(client.read().expect("an answer").body, name(n).as_bytes());
    }
}

#[test]
fn who_sends_too_much_ahead_has_an_answer_and_no_more() {
    let app = App::start(|_| Reply::Slow(Duration::from_millis(300)));
    let node = Node::with(&[target("a", app.address, "north", "SERVING")]);
    let mut client = node.client();
    client.write(request("order", "r1").as_bytes());
    until("the first is out", || app.seen() == 1);
    client.write(request("read", "r2").repeat(3000).as_bytes());
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(client.read().is_none());
    assert_eq!(app.seen(), 1);
}

#[test]
fn a_request_whose_client_had_left_before_the_node_looked_is_never_sent_on() {
    let app = App::start(|_| Reply::ok("done"));
    let node = Node::with(&[target("a", app.address, "north", "SERVING")]);
    // A connection to the app server stands, so that nothing has to come up first.
    assert_eq!(node.ask(&request("order", "before")).status(), 200);
    let mut kept = node.client();
    assert_eq!(kept.ask(&request("read", "kept")).status(), 200);
    let mut ports = Vec::new();
    let mut half_closed = Vec::new();
    node.halt(|| {
        for (n, class) in ["read", "edit", "order"].into_iter().enumerate() {
            // New connections, whole ones that end and such that end their sending only.
            for half in [false, true] {
                let mut client = node.client();
                client.write(request(class, &format!("new-{n}-{half}")).as_bytes());
                ports.push(client.stream.get_ref().local_addr().expect("an address"));
                client.stream.get_ref().shutdown(Shutdown::Write).expect("it can be ended");
                half_closed.extend(half.then_some(client));
            }
        }
        // And one that has been used.
        kept.write(request("order", "again").as_bytes());
        ports.push(kept.stream.get_ref().local_addr().expect("an address"));
        kept.stream.get_ref().shutdown(Shutdown::Write).expect("it can be ended");
    });
    for port in ports {
        until("its connection is closed", || !is_held(node.address, port));
    }
    assert_eq!(node.ask(&request("order", "after")).status(), 200);
    let seen: Vec<_> = app.requests.lock().expect("no panic").iter().map(id_of).collect();
    assert_eq!(seen, ["before", "kept", "after"]);
}

#[test]
fn a_further_attempt_is_not_made_for_a_client_that_left_during_the_first() {
    for allowed in ["\"cancel\": true", "\"cancel\": false"] {
        // The first attempt is turned away, as one that never ran, once the client has gone.
        let gate = Arc::new((Mutex::new(false), Condvar::new()));
        let held = gate.clone();
        let app = App::start(move |request| {
            if id_of(request) != "left" {
                return Reply::ok("done");
            }
            let (open, opened) = &*held;
            drop(opened.wait_while(open.lock().expect("no panic"), |open| !*open).expect("no panic"));
            Reply::Answer("503 Service Unavailable", "Srv-Declined: 1\r\n", Vec::new())
        });
        let targets =
            [target("a", app.address, "north", "SERVING"), target("b", app.address, "north", "SERVING")];
        let list = listing(1, true, &targets);
        let discovery = Discovery::start(list.clone());
        let settings = SETTINGS.replace("\"cancel\": true", allowed);
        let node = Node::start(&config(discovery.address, &list, &settings, 1024));
        let mut client = node.client();
        client.write(request("order", "left").as_bytes());
        until("the first is out", || app.seen() == 1);
        let port = client.stream.get_ref().local_addr().expect("an address");
        drop(client);
        until("its connection is closed", || !is_held(node.address, port));
        *gate.0.lock().expect("no panic") = true;
        gate.1.notify_all();
        for n in 0..20 {
            assert_eq!(node.ask(&request("order", &format!("n{n}"))).status(), 200);
        }
        let left = app.requests.lock().expect("no panic").iter().filter(|r| id_of(r) == "left").count();
        assert_eq!(left, 1, "{allowed}");
    }
}

#[test]
fn a_client_that_leaves_while_the_node_winds_up_has_gone_as_well() {
    for behind in [String::new(), request("order", "r2")] {
        let (blocked, _discovery, mut node, mut client) = waiting("\"cancel\": true");
        node.terminate();
        until("it says that it ends", || node.up() != Some(200));
        client.write(behind.as_bytes());
        drop(client);
        until("the connection to the app server is given up", || !connects(blocked.address));
        assert_eq!(node.exit_code(), Some(0));
    }
}

#[test]
fn a_client_that_resets_half_way_leaves_nothing_behind() {
    let app = App::start(|_| Reply::ok("done"));
    let node = Node::with(&[target("a", app.address, "north", "SERVING")]);
    let (whole, before) = (request("order", "r1"), node.descriptors());
    // In the first line, in a header, between head and body, in the body.
    for cut in [5, 40, whole.len() - 4, whole.len() - 1] {
        let mut client = node.client();
        client.write(&whole.as_bytes()[..cut]);
        let stream = client.stream.get_ref();
        let port = stream.local_addr().expect("an address");
        socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("it can be set");
        drop(client);
        until("its connection is closed", || !is_held(node.address, port));
    }
    until("no descriptor is held for them", || node.descriptors() <= before);
    assert_eq!((app.seen(), node.ask(&whole).status()), (0, 200));
}

#[test]
fn a_request_that_came_ahead_of_an_answer_is_told_the_time_that_its_client_has_left() {
    const FIRST: Duration = Duration::from_millis(600);
    const SLACK: f64 = 150.0;
    const WAIT: f64 = 5_000.0;
    let app = App::start(|request| match &*id_of(request) {
        "r0" => Reply::Slow(FIRST),
        id => Reply::ok(id),
    });
    let node = Node::with(&[target("a", app.address, "north", "SERVING")]);
    let mut client = node.client();
    client.write(request("read", "r0").as_bytes());
    until("the first is out", || app.seen() == 1);
    let all: String = (1..4).map(|n| request_with("order", &format!("r{n}"), "large", "5000m")).collect();
    client.write(all.as_bytes());
    for _ in 0..4 {
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
    for request in &app.requests.lock().expect("no panic")[1..] {
        let told = request.header("req-deadline").and_then(|told| told.strip_suffix('u'));
        let told: f64 = told.and_then(|told| told.parse().ok()).expect("microseconds");
        assert!(told / 1000.0 <= WAIT - FIRST.as_secs_f64() * 1000.0 + SLACK, "{told} us");
    }
}

#[test]
fn a_client_that_leaves_ends_its_attempts() {
    let app = App::start(|_| Reply::Silence);
    let node = Node::with(&[target("a", app.address, "north", "SERVING")]);
    let mut client = node.client();
    client.write(request("order", "r1").as_bytes());
    until("the attempt is out", || app.seen() == 1);
    drop(client);
    until("the attempt's connection is closed", || app.open() == 0);
}

#[test]
fn a_request_whose_client_left_while_connecting_is_not_written_where_nothing_is_cancelled() {
    let (blocked, _discovery, node, client) = waiting("\"cancel\": false");
    let port = client.stream.get_ref().local_addr().expect("an address");
    drop(client);
    until("the node has noticed", || !is_held(node.address, port));
    assert_eq!(blocked.release().join().expect("no panic"), 0);
}
