//! Which of several healthy endpoints a request is forwarded to.

use crate::harness::*;
use edge_gateway::*;

#[test]
fn a_draining_server_gets_nothing_new() {
    let mut rig = Rig::new(settings(), vec![member(1, 0, EndpointStatus::Ready)]);
    assert_eq!(sent_to(&rig.arrive(1.0, "read", "a").1), Some(1));
    rig.list(2.0, EndpointListKind::Delta, vec![member(1, 0, EndpointStatus::Draining)]);
    assert!(refused(&rig.arrive(3.0, "read", "a").1));
}

#[test]
fn equal_servers_are_used_alike_by_one_steady_client() {
    const SERVERS: u32 = 28;
    const REQUESTS: u32 = 1200;
    for seed in 0..5 {
        let members = (0..SERVERS).map(|server| member(server, 0, EndpointStatus::Ready)).collect();
        let mut rig = Rig { gateway: gateway_of(settings(), seed), actions: Vec::new(), requests: 0 };
        rig.list(0.0, EndpointListKind::Snapshot, members);
        let mut used = [0; SERVERS as usize];
        for n in 0..REQUESTS {
            let now = f64::from(n) * 20.0;
            let (request, actions) = rig.arrive(now, "read", &format!("c{n}"));
            let server = sent_to(&actions).expect("there is room");
            used[server as usize] += 1;
            let done = AttemptResult {
                request,
                attempt: 0,
                endpoint: server,
                outcome: Outcome::Success,
                elapsed: 1.0,
                request_closed: true,
                usage_percent: None,
                has_usage_report: false,
                load: LoadReport::default(),
            };
            rig.handle(now + 1.0, Event::AttemptFinished(done));
        }
        let busiest = used.into_iter().max().unwrap_or(0);
        assert!(busiest <= 2 * REQUESTS / SERVERS, "{used:?}");
    }
}

/// Servers used by requests that come one at a time, `step` ms apart, of five that are all alike and answer
/// as was expected of them.
fn servers_used(handshake_price: f64, step: f64) -> usize {
    let settings =
        Settings { gateways: 1, handshake_cost: handshake_price, idle_timeout: Some(10_000.0), ..settings() };
    let mut rig = Rig::new(settings, servers(5));
    let mut used = std::collections::BTreeSet::new();
    for i in 0..40 {
        let now = step * f64::from(i + 1);
        let (request, actions) = rig.arrive(now, "read", &format!("c{i}"));
        used.insert(sent_to(&actions).expect("there is room"));
        rig.handle(now + 100.0, Event::AttemptFinished(AttemptResult { elapsed: 100.0, ..answer(&request) }));
    }
    used.len()
}

#[test]
fn a_server_with_a_connection_is_preferred_while_it_stands_and_connections_have_a_price() {
    assert_eq!(servers_used(0.08, 500.0), 1);
    assert_eq!(servers_used(0.0, 500.0), 5);
    // By the next request the connection has been closed as idle.
    assert_eq!(servers_used(0.08, 15_000.0), 5);
}

#[test]
fn a_busy_or_broken_connection_is_no_reason_to_stay() {
    let settings = Settings { handshake_cost: 0.08, idle_timeout: Some(10_000.0), ..settings() };
    let mut rig = Rig::new(settings, servers(2));
    let (first, actions) = rig.arrive(1.0, "read", "a");
    let home = sent_to(&actions).expect("there is room");
    // Its connection is taken, and a second one costs as much there as anywhere.
    assert_ne!(sent_to(&rig.arrive(2.0, "read", "b").1), Some(home));
    // A request that breaks goes on elsewhere, and its connection with it.
    assert_ne!(sent_to(&rig.done(50.0, &first, 0, Outcome::Reset)), Some(home));
}

#[test]
fn a_server_whose_connection_has_rested_is_preferred() {
    let settings = Settings {
        gateways: 1,
        handshake_cost: 0.1,
        idle_timeout: Some(10_000.0),
        connection_quarantine: 15.0,
        ..settings()
    };
    for seed in 0..20 {
        let mut rig = Rig { gateway: gateway_of(settings.clone(), seed), actions: Vec::new(), requests: 0 };
        rig.list(0.0, EndpointListKind::Snapshot, servers(2));
        // Two that are out at once open a connection to each server.
        let opened: Vec<_> = (0..2).map(|n| rig.arrive(0.0, "read", &format!("c{n}"))).collect();
        assert_ne!(sent_to(&opened[0].1), sent_to(&opened[1].1));
        opened.iter().for_each(|(request, _)| drop(rig.done(1.0, request, 0, Outcome::Success)));
        let mut ask = |now: f64| {
            let (request, actions) = rig.arrive(now, "read", &format!("c{now}"));
            let server = sent_to(&actions).expect("there is room");
            rig.done(now + 1.0, &request, 0, Outcome::Success);
            server
        };
        // Long before the end of the connections' lives, and longer than a rest after the last answer.
        for n in 0..20 {
            let now = 1_000.0 + 100.0 * f64::from(n);
            let used = ask(now);
            assert_ne!(ask(now + 5.0), used, "seed {seed}");
        }
    }
}
