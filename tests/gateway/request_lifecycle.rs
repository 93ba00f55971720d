//! From the receipt of a request to its one final answer.

use crate::harness::*;
use edge_gateway::*;

#[test]
fn unknown_things_are_answered_or_ignored() {
    let mut rig = Rig::new(settings(), servers(2));
    let mut arrival = IncomingRequest {
        request: "x".into(),
        class: "other".into(),
        plan: "basic".into(),
        customer: "a".into(),
        deadline: 3_000.0,
        units: 1.0,
        gateway_spread: 2,
        is_retry: false,
    };
    assert!(refused(&rig.handle(1.0, Event::RequestReceived(arrival.clone()))));
    arrival.class = "read".into();
    arrival.plan = "other".into();
    assert!(refused(&rig.handle(1.0, Event::RequestReceived(arrival))));
    assert!(rig.done(2.0, &"nobody".into(), 0, Outcome::Success).is_empty());
    assert!(rig.handle(2.0, Event::ClientDisconnected { request: "nobody".into() }).is_empty());
    assert!(rig.handle(2.0, Event::TimerFired { token: 99 }).is_empty());
    let (request, _) = rig.arrive(3.0, "read", "a");
    assert!(rig.done(4.0, &request, 5, Outcome::Timeout).is_empty());
}

#[test]
fn no_server_at_all_means_a_refusal_at_once() {
    let mut rig = Rig::new(settings(), Vec::new());
    for class in ["read", "edit", "pay"] {
        assert!(refused(&rig.arrive(1.0, class, "a").1));
    }
}

#[test]
fn classes_that_are_worth_nothing_are_served_all_the_same() {
    let mut settings = settings();
    settings.classes.iter_mut().for_each(|class| class.priority_weight = 0.0);
    let mut rig = Rig::new(settings, servers(2));
    for i in 0..10 {
        let now = f64::from(i) * 100.0;
        let (request, actions) = rig.arrive(now, "read", &format!("c{i}"));
        assert!(sent_to(&actions).is_some());
        rig.done(now + 50.0, &request, 0, Outcome::Success);
    }
}
