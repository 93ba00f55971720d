//! Retries of failed attempts, and the final answer if no retry is possible.

use crate::harness::*;
use edge_gateway::*;

#[test]
fn retries_non_idempotent_request_only_if_not_executed() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut harness = Harness::new(settings(), endpoints(2));
        let (request, _) = harness.receive(1.0, "pay", "a");
        assert_eq!(harness.finish(50.0, &request, 0, outcome), vec![Action::Fail { request }]);
    }
    for outcome in [Outcome::Overloaded, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut harness = Harness::new(settings(), endpoints(2));
        let (request, _) = harness.receive(1.0, "pay", "a");
        assert!(is_forwarded(&harness.finish(50.0, &request, 0, outcome)), "a retry expected: {outcome:?}");
    }
}

/// Returns a request whose attempt is reset at `end` while the only endpoint drains, and the actions.
fn rejection_after_reset(settings: Settings, end: Millis) -> (RequestId, Vec<Action>) {
    let mut harness = Harness::new(settings, endpoints(1));
    let (request, _) = harness.receive(1.0, "read", "a");
    let draining = EndpointUpdate { status: EndpointStatus::Draining, ..endpoint(1) };
    harness.update_endpoints(2.0, EndpointListKind::Delta, vec![draining]);
    let actions = harness.finish(end, &request, 0, Outcome::Reset);
    (request, actions)
}

#[test]
fn rejects_with_retry_after_when_no_retry_is_possible() {
    let reason = RejectReason::AttemptsFailed;
    let (request, actions) = rejection_after_reset(settings(), 201.0);
    // A quarter of the 800 ms that remain of the latency objective.
    assert_eq!(actions, vec![Action::Reject { request, retry_after: 200.0, reason }]);
    // No Retry-After if none may be sent or the latency objective has passed.
    for (max_retry_after, end) in [(None, 201.0), (Some(1_000.0), 1_500.0)] {
        let settings = Settings { max_retry_after, ..settings() };
        let (request, actions) = rejection_after_reset(settings, end);
        assert_eq!(actions, vec![Action::Reject { request, retry_after: 0.0, reason }]);
    }
}
