//! Which failed attempts lead to another one, and what the client is told when none is possible.

use crate::harness::*;
use edge_gateway::*;

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again() {
    let both = vec![member(1, 0, EndpointStatus::Ready), member(2, 0, EndpointStatus::Ready)];
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut rig = Rig::new(settings(), both.clone());
        let (request, _) = rig.arrive(1.0, "pay", "a");
        assert_eq!(rig.done(50.0, &request, 0, outcome), vec![Action::Fail { request }]);
    }
    for outcome in [Outcome::Overloaded, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut rig = Rig::new(settings(), both.clone());
        let (request, _) = rig.arrive(1.0, "pay", "a");
        assert!(sent_to(&rig.done(50.0, &request, 0, outcome)).is_some());
    }
}

#[test]
fn a_request_given_up_after_an_attempt_is_answered_at_once_with_a_retry_after() {
    let mut rig = Rig::new(settings(), servers(1));
    let (request, _) = rig.arrive(1.0, "read", "a");
    // Nobody is left to turn to: the only server drains.
    rig.list(2.0, EndpointListKind::Delta, vec![member(1, 0, EndpointStatus::Draining)]);
    let actions = rig.done(201.0, &request, 0, Outcome::Reset);
    let reason = RejectReason::AttemptsFailed;
    // A quarter of the 800 ms that are left of the aim.
    assert_eq!(actions, vec![Action::Reject { request, retry_after: 200.0, reason }]);
    // Where clients are not told, and once the aim has passed, there is no advice.
    for (told, end) in [(None, 201.0), (Some(1_000.0), 1_500.0)] {
        let mut rig = Rig::new(Settings { max_retry_after: told, ..settings() }, servers(1));
        let (request, _) = rig.arrive(1.0, "read", "a");
        rig.list(2.0, EndpointListKind::Delta, vec![member(1, 0, EndpointStatus::Draining)]);
        let actions = rig.done(end, &request, 0, Outcome::Reset);
        assert_eq!(actions, vec![Action::Reject { request, retry_after: 0.0, reason }]);
    }
}
