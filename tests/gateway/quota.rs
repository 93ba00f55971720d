//! Admission by quota without, or before, usage reports.

use crate::harness::*;
use edge_gateway::*;

#[test]
fn a_burst_at_one_gateway_is_stopped_before_the_meter_speaks() {
    let mut rig = Rig::new(settings(), (1..=9).map(|id| member(id, 0, EndpointStatus::Ready)).collect());
    let mut sent = 0;
    for i in 0..100 {
        let now = f64::from(i) * 10.0;
        let (request, actions) = rig.arrive(now, "read", "a");
        if sent_to(&actions).is_some() {
            sent += 1;
            rig.done(now + 5.0, &request, 0, Outcome::Success);
        }
    }
    // No more than rate and burst give, and no less than an even part of them.
    assert!((7..=15).contains(&sent), "burst 10 and 5 a second for a second, {sent} sent");
}

#[test]
fn many_gateways_leave_each_customer_something() {
    let mut settings = settings();
    settings.gateways = 11;
    settings.plans[0].burst = 5.0;
    let mut rig = Rig::new(settings, servers(9));
    let arrival = |n: u32| IncomingRequest {
        request: format!("w{n}").into(),
        class: "read".into(),
        plan: "basic".into(),
        customer: "a".into(),
        deadline: f64::from(n) * 1000.0 + 3000.0,
        units: 4.0,
        gateway_spread: 11,
        is_retry: false,
    };
    let sent = (0..30)
        .filter(|n| {
            let actions = rig.handle(f64::from(*n) * 1000.0, Event::RequestReceived(arrival(*n)));
            rig.done(f64::from(*n) * 1000.0 + 5.0, &format!("w{n}").into(), 0, Outcome::Success);
            sent_to(&actions).is_some()
        })
        .count();
    assert!(sent >= 4, "a full store always admits a request: {sent} of 30");
}

#[test]
fn a_refused_client_may_be_back_within_its_aim() {
    let mut rig = Rig::new(settings(), servers(9));
    let advice = (0..100).find_map(|i| {
        let (_, actions) = rig.arrive(f64::from(i), "read", "a");
        actions.iter().find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
    });
    assert!(advice.is_some_and(|after| after > 0.0 && after < 1_000.0), "{advice:?}");
}

/// How many gateways of a set send on the first request of one customer that comes to each of them.
fn first_requests(settings: &Settings, gateways: u32, retry: bool) -> usize {
    let sends = |rank: u32| {
        let own = Settings { gateways, rank, ..settings.clone() };
        let mut gateway = Gateway::new(own, rank.into()).expect("settings are sound");
        let mut actions = Vec::new();
        let list = Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: servers(9).into() };
        gateway.handle(0.0, list, &mut actions);
        let ask = IncomingRequest { is_retry: retry, ..arrival("r", "a", 1.0, 1.0, gateways) };
        gateway.handle(1.0, Event::RequestReceived(ask), &mut actions);
        sent_to(&actions).is_some()
    };
    (0..gateways).filter(|rank| sends(*rank)).count()
}

#[test]
fn a_part_of_a_wide_set_sends_on_for_a_customer_that_it_does_not_know() {
    let with = |meter_period: Option<f64>, retries_marked: bool, excess_cost: f64, rate: f64| {
        let mut settings = Settings { usage_report_period: meter_period, retries_marked, ..settings() };
        settings.plans[0].over_quota_cost = excess_cost;
        settings.plans[0].rate = rate;
        settings
    };
    for meter in [None, Some(1_000.0)] {
        let dear = with(meter, true, 1.0, 5.0);
        // The burst is 10: enough for one request at each of few gateways, and at each twentieth of many.
        assert_eq!(first_requests(&dear, 4, false), 4);
        assert_eq!(first_requests(&dear, 10, false), 10);
        let passed = first_requests(&dear, 200, false);
        assert!((100..140).contains(&passed), "{passed} of 200");
        // A marked retry has been refused once, wherever that was; elsewhere one may be a first.
        assert_eq!(first_requests(&dear, 200, true), 0);
        assert_eq!(first_requests(&dear, 10, true), 10);
        let unmarked = first_requests(&with(meter, false, 1.0, 5.0), 200, false);
        assert!((60..100).contains(&unmarked), "{unmarked} of 200");
        // Where an excess costs less, more is let through.
        assert!(first_requests(&with(meter, true, 0.5, 5.0), 200, false) > passed + 20);
        assert_eq!(first_requests(&with(meter, true, 0.0, 5.0), 200, false), 200);
    }
    // Where own stores soon tell, all pass without a meter.
    assert_eq!(first_requests(&with(None, true, 1.0, 50.0), 200, false), 200);
}

#[test]
fn who_comes_again_at_once_earns_no_more_of_a_first_share() {
    let settings = Settings { retries_marked: false, gateways: 200, ..settings() };
    let passes = |gap: f64| {
        let first = (0..200).filter(|rank| {
            let mut rig = Rig::new(settings.clone(), servers(9));
            rig.gateway =
                Gateway::new(Settings { rank: *rank, ..settings.clone() }, (*rank).into()).expect("sound");
            rig.list(0.0, EndpointListKind::Snapshot, servers(9));
            (0..3).any(|i| {
                let now = 1.0 + gap * f64::from(i);
                let ask = arrival(&format!("r{i}"), "a", now, 1.0, 200);
                sent_to(&rig.handle(now, Event::RequestReceived(ask))).is_some()
            })
        });
        first.count()
    };
    let (at_once, later) = (passes(300.0), passes(3_000.0));
    assert!((60..100).contains(&at_once), "{at_once} of 200");
    assert!(later >= 160, "{later} of 200");
}
