//! A server that has just started falls over under the sum of what all gateways send. All of them are played
//! here on one made clock: uneven traffic, restarts, further attempts, and each its own idea of the work.

use edge_gateway::*;
use std::sync::Arc;

const WINDOW: f64 = 1_000.0;
const WARM_AFTER: f64 = 17_000.0;
const COLD_FROM: f64 = 0.18;
const MULTIPLE: f64 = 2.5;
const LENGTH: f64 = 17_000.0;
const COLD: EndpointId = 1;

/// Where a mean request needs so much work, long ones more and short ones less; aims are ten times as long.
fn settings(gateways: u32, rank: u32, work: f64) -> Settings {
    let class = |name: &str, aim: f64| RequestClass {
        name: name.into(),
        latency_objective: aim,
        deadline: 2.0 * aim,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        idempotency_window: 0.0,
    };
    let plan = Plan { name: "basic".into(), rate: 1e6, burst: 1e6, over_quota_cost: 1.0, ..Plan::default() };
    Settings {
        gateways,
        rank,
        zone: "east".into(),
        classes: vec![class("short", 5.0 * work), class("long", 20.0 * work)],
        plans: vec![plan],
        max_attempts: 4,
        cancellation: true,
        connect_timeout: 100.0,
        slow_start_initial_capacity: COLD_FROM,
        slow_start_duration: WARM_AFTER,
        overload_threshold: MULTIPLE,
        overload_window: WINDOW,
        ..Settings::default()
    }
}

/// A fleet of which every gateway sends what it may to a server that starts at 0; gives when each request was
/// sent to it, and the work of a mean one.
fn sends(gateways: u32, work: f64, seed: u64) -> Vec<f64> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut sent = Vec::new();
    let list = || {
        let member = |server, started| EndpointUpdate {
            endpoint: server,
            zone: "east".into(),
            cell: 0,
            status: EndpointStatus::Ready,
            started_at: started,
        };
        let members: Arc<[EndpointUpdate]> =
            vec![member(COLD, Some(0.0)), member(2, None), member(3, None)].into();
        Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: members }
    };
    for rank in 0..gateways {
        let start = |now: f64, seed: u64, actions: &mut Vec<Action>| {
            let mut gateway = Gateway::new(settings(gateways, rank, work), seed).expect("settings are sound");
            gateway.handle(now, list(), actions);
            gateway
        };
        let mut actions = Vec::new();
        let mut gateway = start(0.0, rng.u64(..), &mut actions);
        // Some have ten times the traffic of others, and their servers seem quick or slow to them. All together
        // ask for more than the server may be sent, so that much comes as soon as a turn begins.
        let gap = f64::min(40.0, 0.01 * f64::from(gateways) * work.max(10.0)) * 10_f64.powf(rng.f64());
        let seems = 0.8 + 0.4 * rng.f64();
        let mut restart_at = if rng.u8(..4) == 0 { LENGTH * rng.f64() } else { f64::INFINITY };
        let (mut now, mut number) = (gap * rng.f64(), 0);
        while now < LENGTH {
            if now >= restart_at {
                // At once, so that the new life begins in the turn in which the old one has sent.
                gateway = start(now, rng.u64(..), &mut actions);
                restart_at = f64::INFINITY;
            }
            number += 1;
            let long = rng.u8(..3) == 0;
            let id: RequestId = format!("g{rank}-{number}").into();
            let arrival = IncomingRequest {
                request: id.clone(),
                class: if long { "long" } else { "short" }.into(),
                plan: "basic".into(),
                customer: "c".into(),
                deadline: now + 2_000.0,
                units: 1.0,
                gateway_spread: 1,
                is_retry: false,
            };
            actions.clear();
            gateway.handle(now, Event::RequestReceived(arrival), &mut actions);
            let mut attempt = 0;
            while let Some(Action::Forward { endpoint: server, .. }) =
                actions.iter().find(|a| matches!(a, Action::Forward { .. })).cloned()
            {
                if server == COLD {
                    sent.push(now);
                }
                // One in five is turned away, which leads to a further attempt. Three halves and one half of
                // the mean, by class.
                let turned_away = rng.u8(..5) == 0;
                let done = AttemptResult {
                    request: id.clone(),
                    attempt,
                    endpoint: server,
                    outcome: if turned_away { Outcome::Overloaded } else { Outcome::Success },
                    elapsed: seems * work * if long { 2.0 } else { 0.5 },
                    request_closed: !turned_away,
                    usage_percent: None,
                    has_usage_report: false,
                    load: LoadReport::default(),
                };
                actions.clear();
                gateway.handle(now, Event::AttemptFinished(done), &mut actions);
                attempt += 1;
            }
            now += gap * (0.5 + rng.f64());
        }
    }
    sent.sort_by(f64::total_cmp);
    sent
}

/// What may be sent in a window that ends at this age, in mean requests.
fn budget(end: f64, work: f64) -> f64 {
    let warmth = (COLD_FROM + (1.0 - COLD_FROM) * end / WARM_AFTER).min(1.0);
    MULTIPLE * warmth * WINDOW / work
}

#[test]
fn no_window_holds_more_than_chance_beyond_what_a_cold_server_may_be_sent() {
    for gateways in [3, 20, 30, 300, 400] {
        // From a few requests in a window to hundreds.
        for work in [400.0, 100.0, 4.0] {
            let sent = sends(gateways, work, u64::from(gateways));
            let mut from = 0;
            for (i, at) in sent.iter().enumerate().filter(|(_, at)| **at < WARM_AFTER) {
                while sent[from] < at - WINDOW {
                    from += 1;
                }
                let (count, budget) = ((i + 1 - from) as f64, budget(*at, work));
                let most = budget + 2.0 * budget.sqrt() + 2.0;
                assert!(count <= most, "{gateways} gateways, {work} ms, at {at}: {count} of {budget:.1}");
            }
            // Where warming needs work, it gets some: a third of what it may be sent, if it is asked for.
            if gateways >= 20 && work >= 100.0 {
                let fair: f64 = (1..=15).map(|second| budget(1_000.0 * f64::from(second), work)).sum();
                let cold = sent.iter().filter(|at| **at < 15_000.0).count() as f64;
                assert!(cold >= fair / 3.0, "{gateways} gateways, {work} ms: {cold} of {fair:.0}");
            }
        }
    }
}

#[test]
fn a_gateway_that_starts_within_a_turn_sends_nothing_in_it() {
    // One gateway alone takes all the room of a turn, and is started anew in the middle of it, again and again.
    let list = |now: f64, gateway: &mut Gateway| {
        let cold = EndpointUpdate {
            endpoint: COLD,
            zone: "east".into(),
            cell: 0,
            status: EndpointStatus::Ready,
            started_at: Some(0.0),
        };
        let list = Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: vec![cold].into() };
        gateway.handle(now, list, &mut Vec::new());
    };
    let mut sent = 0;
    for life in 0..10 {
        let mut gateway = Gateway::new(settings(1, 0, 200.0), life).expect("settings are sound");
        let now = 1_510.0 + 40.0 * life as f64;
        list(now, &mut gateway);
        for i in 0..3 {
            let arrival = IncomingRequest {
                request: format!("l{life}-{i}").into(),
                class: "short".into(),
                plan: "basic".into(),
                customer: "c".into(),
                deadline: now + 2_000.0,
                units: 1.0,
                gateway_spread: 1,
                is_retry: false,
            };
            let mut actions = Vec::new();
            gateway.handle(now + f64::from(i), Event::RequestReceived(arrival), &mut actions);
            sent += actions.iter().filter(|a| matches!(a, Action::Forward { .. })).count();
        }
    }
    assert_eq!(sent, 0);
}
