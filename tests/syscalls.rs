//! A node whose system calls fail with errors that Linux documents for them.

mod support;

use fault_injection::{errno, Faults, InjectionPoint};
use std::time::{Duration, Instant};
use support::*;

/// Starts a node with fault injection and one endpoint that responds with the id of the request.
fn start_node(faults: &Faults) -> (StubEndpoint, Node) {
    let endpoint = StubEndpoint::start(|request| Reply::ok(request.request_id()));
    let discovery = StubDiscovery::with_endpoints(&[endpoint.entry("a")]);
    let node = Node::start_with_faults(&NodeConfig::with_list_of(&discovery), faults);
    (endpoint, node)
}

#[test]
fn serves_requests_when_log_is_unwritable() {
    for error in [errno::ENOSPC, errno::EIO, errno::EPIPE] {
        let faults = Faults::new().expect("failed to create the fault control file");
        let endpoint = StubEndpoint::start(|request| match request.request_id() {
            "silent" => Reply::Silence,
            id => Reply::ok(id),
        });
        let discovery = StubDiscovery::with_endpoints(&[endpoint.entry("a")]);
        let node = Node::start_with_faults(&NodeConfig::with_list_of(&discovery), &faults);
        faults.set_failure_rate(InjectionPoint::Log, 1000, error).expect("failed to set the fault");
        // At least one of these requests exceeds the quota, which the next housekeeping logs.
        for number in 0..3 {
            node.send(&request_with("read", &format!("q{number}"), "small", "15000m"));
        }
        wait_until("a write to the log has failed", || {
            faults.injected_count(InjectionPoint::Log).expect("failed to read the fault count") > 0
        });
        // Timers still run: a request to a silent endpoint gets its response in time.
        let started = Instant::now();
        let response = node.send(&request_with("order", "silent", "large", "2500m"));
        assert!(
            response.is_failure() && started.elapsed() < Duration::from_millis(3000),
            "{:?}",
            started.elapsed()
        );
    }
}

#[test]
fn survives_interrupted_reads_and_writes() {
    let faults = Faults::new().expect("failed to create the fault control file");
    let (_endpoint, node) = start_node(&faults);
    let mut client = node.connect();
    for point in [InjectionPoint::Receive, InjectionPoint::Send] {
        faults.set_failure_rate(point, 300, errno::EINTR).expect("failed to set the fault");
        for number in 0..50 {
            let id = format!("r{}-{number}", point as u8);
            assert_eq!(client.send(&request("order", &id)).body, id.as_bytes());
        }
        assert!(faults.injected_count(point).expect("failed to read the fault count") > 0);
        faults.clear_failures().expect("failed to clear the fault");
    }
}

#[test]
fn continues_after_short_reads_and_writes() {
    let faults = Faults::new().expect("failed to create the fault control file");
    let (_endpoint, node) = start_node(&faults);
    let mut client = node.connect();
    for point in [InjectionPoint::ShortReceive, InjectionPoint::ShortSend] {
        faults.set_failure_rate(point, 500, 7).expect("failed to set the fault");
        for number in 0..10 {
            let id = format!("r{}-{number}", point as u8);
            assert_eq!(client.send(&request("order", &id)).body, id.as_bytes());
        }
        assert!(faults.injected_count(point).expect("failed to read the fault count") > 0);
        faults.clear_failures().expect("failed to clear the fault");
    }
}

#[test]
fn short_writes_do_not_delay_pipelined_responses() {
    const REQUESTS: usize = 12;
    let faults = Faults::new().expect("failed to create the fault control file");
    let (_endpoint, node) = start_node(&faults);
    faults.set_failure_rate(InjectionPoint::ShortSend, 500, 9).expect("failed to set the fault");
    for batch in 0..5 {
        let mut client = node.connect();
        let id = |number: usize| format!("r{batch}-{number}");
        // Written at once, so that nothing arrives from the client between two responses.
        let pipelined: String = (0..REQUESTS).map(|number| request("order", &id(number))).collect();
        client.write(pipelined.as_bytes());
        for number in 0..REQUESTS {
            let response = client.read_response().unwrap_or_else(|| panic!("no response to {}", id(number)));
            assert_eq!(response.body, id(number).as_bytes());
        }
    }
}

#[test]
fn aborted_connections_do_not_delay_others() {
    const ABORTED: u32 = 200;
    let faults = Faults::new().expect("failed to create the fault control file");
    let (_endpoint, node) = start_node(&faults);
    for error in [errno::ECONNABORTED, errno::EPROTO, errno::EINTR, errno::EHOSTUNREACH] {
        faults.fail_next(InjectionPoint::Accept, ABORTED, error).expect("failed to set the fault");
        let (started, id) = (Instant::now(), format!("r{error}"));
        assert_eq!(node.send(&request("order", &id)).body, id.as_bytes());
        assert!(started.elapsed() < Duration::from_secs(1), "{error}: {:?}", started.elapsed());
        assert!(
            faults.injected_count(InjectionPoint::Accept).expect("failed to read the fault count") >= ABORTED
        );
    }
}

#[test]
fn shutdown_accepts_queued_connections_despite_errors() {
    for error in [errno::EINTR, errno::ENOBUFS, errno::EPROTO, errno::ENFILE] {
        let faults = Faults::new().expect("failed to create the fault control file");
        let (_endpoint, mut node) = start_node(&faults);
        // Every accept fails until long after the time at which the node normally stops accepting.
        faults.set_failure_rate(InjectionPoint::Accept, 1000, error).expect("failed to set the fault");
        node.terminate();
        let signalled = Instant::now();
        let mut clients = node.connect_many(4);
        for (number, client) in clients.iter_mut().enumerate() {
            client.write(request("order", &format!("r{number}")).as_bytes());
        }
        wait_until("accepting has failed for long enough", || {
            assert!(node.is_running(), "{error}: the node left connections in its queue");
            signalled.elapsed() > Duration::from_millis(900)
        });
        assert!(faults.injected_count(InjectionPoint::Accept).expect("failed to read the fault count") > 0);
        faults.clear_failures().expect("failed to clear the fault");
        for (number, client) in clients.iter_mut().enumerate() {
            let response =
                client.read_response().unwrap_or_else(|| panic!("{error}: no response to request {number}"));
            // The only endpoint has capacity for some of the requests; the others are rejected.
            assert!(
                response.body == format!("r{number}").as_bytes() || response.is_rejection(),
                "{response:?}"
            );
        }
        drop(clients);
        assert_eq!(node.exit_code(), Some(0));
    }
}

#[test]
fn starts_despite_transient_socket_errors() {
    for error in [errno::ENFILE, errno::ENOBUFS] {
        let faults = Faults::new().expect("failed to create the fault control file");
        faults.fail_next(InjectionPoint::Socket, 3, error).expect("failed to set the fault");
        let (_endpoint, node) = start_node(&faults);
        assert_eq!(node.send(&request("order", "r1")).body, b"r1");
    }
}

#[test]
fn transient_connect_errors_fail_no_request() {
    for (point, error) in [
        (InjectionPoint::Connect, errno::EADDRNOTAVAIL),
        (InjectionPoint::Connect, errno::ENOBUFS),
        (InjectionPoint::Connect, errno::ENETUNREACH),
        (InjectionPoint::Connect, errno::EINTR),
        (InjectionPoint::Socket, errno::ENFILE),
        (InjectionPoint::Socket, errno::ENOBUFS),
    ] {
        let faults = Faults::new().expect("failed to create the fault control file");
        let (endpoint, node) = start_node(&faults);
        // More failures than the 5 attempts that a request may have.
        faults.fail_next(point, 8, error).expect("failed to set the fault");
        let response = node.send(&request("order", "r1"));
        assert_eq!(response.body, b"r1", "{point:?} {error}");
        assert_eq!(endpoint.accepted_connections(), 1);
    }
}

#[test]
fn rereads_configuration_after_transient_errors() {
    let faults = Faults::new().expect("failed to create the fault control file");
    let (_endpoint, node) = start_node(&faults);
    let endpoint = StubEndpoint::start(|_| Reply::ok("new"));
    let discovery = StubDiscovery::with_endpoints(&[endpoint.entry("b")]);
    for (point, error) in [(InjectionPoint::Open, errno::ENFILE), (InjectionPoint::Read, errno::EIO)] {
        let calls = discovery.answered_calls();
        faults.fail_next(point, 2, error).expect("failed to set the fault");
        node.reload(&NodeConfig::with_list_of(&discovery));
        wait_until("the new agent is called", || discovery.answered_calls() > calls);
    }
    wait_until("the list of the new agent is applied", || node.send(&request("read", "r")).body == b"new");
}

#[test]
fn serves_requests_when_log_is_not_read() {
    /// As many as produce far more log lines than the pipe holds.
    const REQUESTS: usize = 1_500;
    let endpoint = StubEndpoint::start(|request| Reply::ok(request.request_id()));
    let discovery = StubDiscovery::with_endpoints(&[endpoint.entry("a")]);
    let (node, unread_log) = Node::spawn_with_unread_log(&NodeConfig::with_list_of(&discovery), |command| {
        command.env("RELAY_LOG", "debug");
    });
    node.wait_until_ready();
    let mut client = node.connect();
    for number in 0..REQUESTS {
        let id = format!("r{number}");
        assert_eq!(client.send(&request("order", &id)).body, id.as_bytes());
    }
    drop(unread_log);
}

#[test]
fn request_queued_for_accept_gets_remaining_deadline() {
    const QUEUED_FOR: Duration = Duration::from_millis(700);
    const DEADLINE_MS: f64 = 5_000.0;
    const TOLERANCE_MS: f64 = 150.0;
    let faults = Faults::new().expect("failed to create the fault control file");
    let (endpoint, node) = start_node(&faults);
    faults.set_failure_rate(InjectionPoint::Accept, 1000, errno::ENFILE).expect("failed to set the fault");
    let started = Instant::now();
    let mut clients = node.connect_many(3);
    for (number, client) in clients.iter_mut().enumerate() {
        client.write(request_with("order", &format!("r{number}"), "large", "5000m").as_bytes());
    }
    wait_until("the requests have been queued for long enough", || started.elapsed() >= QUEUED_FOR);
    faults.clear_failures().expect("failed to clear the fault");
    for client in &mut clients {
        client.read_response().expect("no response");
    }
    let limit_ms = DEADLINE_MS - QUEUED_FOR.as_secs_f64() * 1_000.0 + TOLERANCE_MS;
    for request in &*endpoint.requests() {
        let deadline_ms = request.deadline_ms();
        assert!(deadline_ms <= limit_ms, "at most {limit_ms} ms expected: {deadline_ms} ms");
    }
    assert!(endpoint.request_count() > 0);
    // A later request gets its full deadline.
    assert_eq!(node.send(&request_with("order", "late", "large", "5000m")).body, b"late");
    let requests = endpoint.requests();
    assert!(requests.last().expect("no request received").deadline_ms() >= 4_800.0);
}
