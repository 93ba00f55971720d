//! Requests from their receipt to the final answer.

use crate::harness::*;
use edge_gateway::*;

#[test]
fn rejects_unknown_classes_and_ignores_unknown_requests() {
    let mut harness = Harness::new(settings(), endpoints(2));
    let unknown_class = IncomingRequest { class: "other".into(), ..incoming("x", "a", 0.0) };
    assert!(is_rejected(&harness.receive_request(1.0, unknown_class)));
    let unknown_plan = IncomingRequest { plan: "other".into(), ..incoming("x", "a", 0.0) };
    assert!(is_rejected(&harness.receive_request(1.0, unknown_plan)));
    assert!(harness.finish(2.0, &"nobody".into(), 0, Outcome::Success).is_empty());
    assert!(harness.handle(2.0, Event::ClientDisconnected { request: "nobody".into() }).is_empty());
    assert!(harness.handle(2.0, Event::TimerFired { token: 99 }).is_empty());
    let (request, _) = harness.receive(3.0, "read", "a");
    assert!(harness.finish(4.0, &request, 5, Outcome::Timeout).is_empty());
}

#[test]
fn rejects_without_endpoints() {
    let mut harness = Harness::new(settings(), Vec::new());
    for class in ["read", "edit", "pay"] {
        assert!(is_rejected(&harness.receive(1.0, class, "a").1));
    }
}

#[test]
fn serves_classes_of_zero_priority_weight() {
    let mut settings = settings();
    settings.classes.iter_mut().for_each(|class| class.priority_weight = 0.0);
    let mut harness = Harness::new(settings, endpoints(2));
    for i in 0..10 {
        let now = f64::from(i) * 100.0;
        let (request, actions) = harness.receive(now, "read", &format!("c{i}"));
        assert!(is_forwarded(&actions));
        harness.finish(now + 50.0, &request, 0, Outcome::Success);
    }
}
