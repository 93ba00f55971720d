//! System calls of a node that fail in ways that Linux documents.

mod support;

use fault_injection::{errno, Faults, Point};
use std::time::{Duration, Instant};
use support::*;

/// A node that suffers faults, before one app server that answers with the request's id.
fn node(faults: &Faults) -> (App, Node) {
    let app = App::start(|request| Reply::ok(&id_of(request)));
    let list = listing(1, true, &[target("a", app.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let node = Node::start_with(&config(discovery.address, &list, SETTINGS, 1024), faults);
    (app, node)
}

#[test]
fn a_log_that_cannot_be_written_stops_nothing() {
    for error in [errno::ENOSPC, errno::EIO, errno::EPIPE] {
        let faults = Faults::new().expect("a control file");
        // One request is beyond its quota, which is logged with the next housekeeping.
        let app = App::start(|request| match &*id_of(request) {
            "silent" => Reply::Silence,
            id => Reply::ok(id),
        });
        let list = listing(1, true, &[target("a", app.address, "north", "SERVING")]);
        let discovery = Discovery::start(list.clone());
        let node = Node::start_with(&config(discovery.address, &list, SETTINGS, 1024), &faults);
        faults.fail_often(Point::Log, 1000, error).expect("it is set");
        for number in 0..3 {
            node.ask(&request_with("read", &format!("q{number}"), "small", "15000m"));
        }
        until("the log was written in vain", || faults.injected(Point::Log).expect("it is told") > 0);
        // Timers still run: a request whose server is silent has its final answer in time.
        let begun = Instant::now();
        let answer = node.ask(&request_with("order", "silent", "large", "2500m"));
        assert!(answer.fails() && begun.elapsed() < Duration::from_millis(3000), "{:?}", begun.elapsed());
    }
}

#[test]
fn interrupted_reads_and_writes_break_no_connection() {
    let faults = Faults::new().expect("a control file");
    let (_app, node) = node(&faults);
    let mut client = node.client();
    for point in [Point::Receive, Point::Send] {
        faults.fail_often(point, 300, errno::EINTR).expect("it is set");
        for number in 0..50 {
            let id = format!("r{}-{number}", point as u8);
            assert_eq!(client.ask(&request("order", &id)).body, id.as_bytes());
        }
        assert!(faults.injected(point).expect("it is told") > 0);
        faults.heal().expect("it is set");
    }
}

#[test]
fn short_reads_and_writes_are_gone_on_with() {
    let faults = Faults::new().expect("a control file");
    let (_app, node) = node(&faults);
    let mut client = node.client();
    for point in [Point::ShortReceive, Point::ShortSend] {
        faults.fail_often(point, 500, 7).expect("it is set");
        for number in 0..10 {
            let id = format!("r{}-{number}", point as u8);
            assert_eq!(client.ask(&request("order", &id)).body, id.as_bytes());
        }
        assert!(faults.injected(point).expect("it is told") > 0);
        faults.heal().expect("it is set");
    }
}

#[test]
fn short_writes_hold_up_no_answer_to_requests_that_came_together() {
    const REQUESTS: usize = 12;
    let faults = Faults::new().expect("a control file");
    let (_app, node) = node(&faults);
    faults.fail_often(Point::ShortSend, 500, 9).expect("it is set");
    for batch in 0..5 {
        let mut client = node.client();
        let id = |number: usize| format!("r{batch}-{number}");
        // One behind another, so that nothing is heard of the client between two answers.
        let all: String = (0..REQUESTS).map(|number| request("order", &id(number))).collect();
        client.write(all.as_bytes());
        for number in 0..REQUESTS {
            let answer = client.read().unwrap_or_else(|| panic!("no answer to {}", id(number)));
            assert_eq!(answer.body, id(number).as_bytes());
        }
    }
}

#[test]
fn connections_aborted_before_they_are_accepted_keep_no_other_waiting() {
    const ABORTED: u32 = 200;
    let faults = Faults::new().expect("a control file");
    let (_app, node) = node(&faults);
    for error in [errno::ECONNABORTED, errno::EPROTO, errno::EINTR, errno::EHOSTUNREACH] {
        faults.fail_next(Point::Accept, ABORTED, error).expect("it is set");
        let begun = Instant::now();
        assert_eq!(node.ask(&request("order", "r1")).body, b"r1");
        assert!(begun.elapsed() < Duration::from_secs(1), "{error}: {:?}", begun.elapsed());
        assert!(faults.injected(Point::Accept).expect("it is told") >= ABORTED);
    }
}

#[test]
fn a_node_that_ends_takes_what_waits_in_the_queue_whatever_accept_says() {
    for error in [errno::EINTR, errno::ENOBUFS, errno::EPROTO, errno::ENFILE] {
        let faults = Faults::new().expect("a control file");
        let (_app, mut node) = node(&faults);
        // From the signal on no connection can be accepted, until long past the time in which the node goes on to
        // accept them at leisure.
        faults.fail_often(Point::Accept, 1000, error).expect("it is set");
        node.terminate();
        let signalled = Instant::now();
        let mut clients: Vec<_> = (0..4).map(|_| node.client()).collect();
        for (number, client) in clients.iter_mut().enumerate() {
            client.write(request("order", &format!("r{number}")).as_bytes());
        }
        until("accepting has failed for long enough", || {
            assert!(node.runs(), "{error}: the node left connections in its queue");
            signalled.elapsed() > Duration::from_millis(900)
        });
        assert!(faults.injected(Point::Accept).expect("it is told") > 0);
        faults.heal().expect("it is set");
        for (number, client) in clients.iter_mut().enumerate() {
            let answer = client.read().unwrap_or_else(|| panic!("{error}: no answer to request {number}"));
            // One server takes some of them at once, and the others are refused.
            assert!(answer.body == format!("r{number}").as_bytes() || answer.refuses(), "{answer:?}");
        }
        drop(clients);
        assert_eq!(node.exit_code(), Some(0));
    }
}

#[test]
fn a_node_starts_although_no_socket_is_to_be_had_for_a_moment() {
    for error in [errno::ENFILE, errno::ENOBUFS] {
        let faults = Faults::new().expect("a control file");
        faults.fail_next(Point::Socket, 3, error).expect("it is set");
        let (_app, node) = node(&faults);
        assert_eq!(node.ask(&request("order", "r1")).body, b"r1");
    }
}

#[test]
fn a_moment_without_ports_or_buffers_costs_no_request_and_no_server_its_name() {
    for (point, error) in [
        (Point::Connect, errno::EADDRNOTAVAIL),
        (Point::Connect, errno::ENOBUFS),
        (Point::Connect, errno::ENETUNREACH),
        (Point::Connect, errno::EINTR),
        (Point::Socket, errno::ENFILE),
        (Point::Socket, errno::ENOBUFS),
    ] {
        let faults = Faults::new().expect("a control file");
        let (app, node) = node(&faults);
        // More than the attempts that a request may have.
        faults.fail_next(point, 8, error).expect("it is set");
        let answer = node.ask(&request("order", "r1"));
        assert_eq!(answer.body, b"r1", "{point:?} {error}");
        assert_eq!(app.accepted.load(std::sync::atomic::Ordering::SeqCst), 1);
    }
}

#[test]
fn a_configuration_that_cannot_be_read_for_a_moment_is_read_all_the_same() {
    let faults = Faults::new().expect("a control file");
    let (_app, node) = node(&faults);
    let app = App::start(|_| Reply::ok("new"));
    let list = listing(1, true, &[target("b", app.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    for (point, error) in [(Point::Open, errno::ENFILE), (Point::Read, errno::EIO)] {
        let before = discovery.calls();
        faults.fail_next(point, 2, error).expect("it is set");
        node.reload(&config(discovery.address, &list, SETTINGS, 1024));
        until("the new agent is called", || discovery.calls() > before);
    }
    until("its list is in force", || node.ask(&request("read", "r")).body == b"new");
}

#[test]
fn a_log_that_nobody_reads_holds_nothing_up() {
    // Far more lines than a pipe holds.
    const REQUESTS: usize = 1_500;
    let app = App::start(|request| Reply::ok(&id_of(request)));
    let list = listing(1, true, &[target("a", app.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let (node, unread) = Node::spawn_unread(&config(discovery.address, &list, SETTINGS, 1024), |command| {
        command.env("RELAY_LOG", "debug");
    });
    until("the node is up", || node.up() == Some(200));
    let mut client = node.client();
    for number in 0..REQUESTS {
        let id = format!("r{number}");
        assert_eq!(client.ask(&request("order", &id)).body, id.as_bytes());
    }
    drop(unread);
}

#[test]
fn a_request_that_waited_to_be_accepted_is_told_the_time_that_its_client_has_left() {
    const WAITED: Duration = Duration::from_millis(700);
    const WAIT_MS: f64 = 5_000.0;
    const SLACK_MS: f64 = 150.0;
    let faults = Faults::new().expect("a control file");
    let (app, node) = node(&faults);
    faults.fail_often(Point::Accept, 1000, errno::ENFILE).expect("it is set");
    let begun = Instant::now();
    let mut clients: Vec<_> = (0..3).map(|_| node.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.write(request_with("order", &format!("r{number}"), "large", "5000m").as_bytes());
    }
    until("they have waited", || begun.elapsed() >= WAITED);
    faults.heal().expect("it is set");
    for client in &mut clients {
        client.read().expect("an answer");
    }
    for request in &*app.requests.lock().expect("no panic") {
        let told_ms = told_ms(request);
        assert!(told_ms <= WAIT_MS - WAITED.as_secs_f64() * 1_000.0 + SLACK_MS, "{told_ms} ms");
    }
    assert!(app.seen() > 0);
    // Who comes later has all of its time.
    assert_eq!(node.ask(&request_with("order", "late", "large", "5000m")).body, b"late");
    let requests = app.requests.lock().expect("no panic");
    let told = requests.last().and_then(|last| last.header("req-deadline")?.strip_suffix('u'));
    assert!(told.and_then(|told| told.parse::<f64>().ok()).expect("microseconds") >= 4_800_000.0);
}
