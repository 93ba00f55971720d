//! Slow start at gateways whose other rules are those of the common settings.

use crate::harness::*;
use edge_gateway::*;
use std::sync::Arc;

#[test]
fn a_cold_server_gets_no_more_than_this_gateways_part() {
    let mut cold = member(1, 0, EndpointStatus::Ready);
    cold.started_at = Some(0.0);
    let mut settings = settings();
    settings.plans[0].rate = 1_000.0;
    settings.plans[0].burst = 1_000.0;
    let mut rig = Rig::new(settings, vec![cold]);
    let mut work = 0.0;
    for i in 0..100 {
        let now = f64::from(i) * 10.0;
        let (request, actions) = rig.arrive(now, "read", "a");
        if sent_to(&actions).is_some() {
            work += 50.0;
            rig.done(now + 5.0, &request, 0, Outcome::Success);
        }
    }
    // Twice a fifth (and a little warmer) of one request at a time, split over two gateways.
    assert!(work <= 2.0 * 0.26 * 1_000.0 / 2.0, "{work} ms of work sent in a second");
    assert!(work > 0.0, "it is not starved either");
}

/// Work sent to a cold server in its worst window by many gateways that are told of it together, with
/// `quiet` ms without traffic after that.
fn cold_work(gateways: u32, quiet: f64) -> f64 {
    let mut settings = settings();
    settings.gateways = gateways;
    settings.plans[0].rate = 1_000_000.0;
    settings.plans[0].burst = 1_000_000.0;
    let mut cold = member(1, 0, EndpointStatus::Ready);
    cold.started_at = Some(0.0);
    let mut sends: Vec<f64> = Vec::new();
    for rank in 0..gateways {
        let mut own = settings.clone();
        own.rank = rank;
        let mut gateway = Gateway::new(own, u64::from(rank)).expect("settings are sound");
        let mut actions = Vec::new();
        let members: Arc<[EndpointUpdate]> = vec![cold.clone()].into();
        gateway.handle(
            0.0,
            Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: members },
            &mut actions,
        );
        // Every gateway would send all the time: it asks each 50 ms.
        let mut now = quiet;
        while now < quiet + 4_000.0 {
            actions.clear();
            let request = format!("g{now}");
            gateway.handle(now, Event::RequestReceived(arrival(&request, "a", now, 1.0, 1)), &mut actions);
            if sent_to(&actions).is_some() {
                sends.push(now);
                let done = AttemptResult {
                    request: request.as_str().into(),
                    attempt: 0,
                    endpoint: 1,
                    outcome: Outcome::Success,
                    elapsed: 100.0,
                    request_closed: true,
                    usage_percent: None,
                    has_usage_report: false,
                    load: LoadReport::default(),
                };
                gateway.handle(now, Event::AttemptFinished(done), &mut actions);
            }
            now += 50.0;
        }
    }
    sends.sort_by(f64::total_cmp);
    let most =
        sends.iter().map(|from| sends.iter().filter(|t| (0.0..=1_000.0).contains(&(*t - from))).count());
    most.max().unwrap_or(0) as f64 * 100.0
}

#[test]
fn many_gateways_together_do_not_push_a_cold_server_over() {
    for gateways in [1, 3, 20, 200] {
        for quiet in [0.0, 3_000.0, 9_000.0] {
            // One request at a time at the warmth of the window's end, and a quarter for chance.
            let warmth = 0.2 + 0.8 * f64::min((quiet + 4_000.0) / 15_000.0, 1.0);
            let work = cold_work(gateways, quiet);
            assert!(work <= 2.5 * warmth * 1_000.0, "{gateways} gateways after {quiet}: {work} ms");
            assert!(work >= 200.0, "{gateways} gateways after {quiet}: {work} ms, it must still serve");
        }
    }
}

/// When the gateways of a large fleet, each with a request every 200 ms, send to a server that has just
/// started, beside warm ones that have room.
fn sends_to_cold(gateways: u32) -> Vec<f64> {
    let mut settings = settings();
    settings.gateways = gateways;
    settings.plans[0].rate = 1_000_000.0;
    settings.plans[0].burst = 1_000_000.0;
    let mut cold = member(1, 0, EndpointStatus::Ready);
    cold.started_at = Some(0.0);
    let warm = (2..=6).map(|id| member(id, 0, EndpointStatus::Ready));
    let members: Arc<[EndpointUpdate]> = std::iter::once(cold).chain(warm).collect();
    let mut sends = Vec::new();
    for rank in 0..gateways {
        let mut own = settings.clone();
        own.rank = rank;
        let mut gateway = Gateway::new(own, u64::from(rank)).expect("settings are sound");
        let mut actions = Vec::new();
        gateway.handle(
            0.0,
            Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: members.clone() },
            &mut actions,
        );
        let mut now = f64::from(rank * 7 % 200);
        while now < 4_000.0 {
            actions.clear();
            let request = format!("g{now}");
            gateway.handle(now, Event::RequestReceived(arrival(&request, "a", now, 1.0, 1)), &mut actions);
            let server = sent_to(&actions).expect("there is room");
            if server == 1 {
                sends.push(now);
            }
            let done = AttemptResult { endpoint: server, elapsed: 100.0, ..answer(&request) };
            gateway.handle(now, Event::AttemptFinished(done), &mut actions);
            now += 200.0;
        }
    }
    sends.sort_by(f64::total_cmp);
    sends
}

#[test]
fn a_large_fleet_uses_what_a_cold_server_can_take() {
    for gateways in [10, 30, 100] {
        let sends = sends_to_cold(gateways);
        // Three quarters of twice what it can do, one request of 100 ms at a time, at a mean warmth of 0.3.
        let fair = 4_000.0 / 100.0 * 0.75 * 2.0 * 0.3;
        assert!(sends.len() as f64 >= 0.7 * fair, "{gateways} gateways: {} of some {fair}", sends.len());
        // The window's own turns and one more of half its length, at the warmth of the end.
        let most = 1_000.0 / 100.0 * 2.0 * 0.42 * 0.75 * 1.5 + 1.0;
        let in_window = |from: &f64| sends.iter().filter(|t| (*from..from + 1_000.0).contains(t)).count();
        let worst = sends.iter().map(in_window).max().unwrap_or(0);
        assert!(worst as f64 <= most, "{gateways} gateways: {worst} in a window");
    }
}

#[test]
fn a_cold_server_that_would_be_too_late_leaves_the_request_to_a_warm_one() {
    let settings =
        Settings { gateways: 1, slow_start_initial_capacity: 0.02, overload_threshold: 20.0, ..settings() };
    let mut cold = member(1, 0, EndpointStatus::Ready);
    cold.started_at = Some(0.0);
    let mut rig = Rig::new(settings, vec![cold, member(2, 0, EndpointStatus::Ready)]);
    for i in 0..60 {
        let now = f64::from(i) * 10.0;
        let (request, actions) = rig.arrive(now, "read", &format!("c{i}"));
        // At a fiftieth of its pace the cold one needs more than the aim, and the other has room.
        assert!(sent_to(&actions).is_some());
        rig.done(now + 0.5, &request, 0, Outcome::Success);
    }
}
