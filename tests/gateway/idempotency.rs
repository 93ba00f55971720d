//! Retries of requests with an idempotency key.

use crate::harness::*;
use edge_gateway::*;

#[test]
fn retries_request_with_key_within_its_cell() {
    for earlier_requests in 0..20 {
        let endpoints = (1..=6).map(|id| EndpointUpdate { cell: id % 3, ..endpoint(id) }).collect();
        let mut harness = Harness::new(settings(), endpoints);
        for _ in 0..earlier_requests {
            harness.receive(0.0, "read", "b");
        }
        let (request, actions) = harness.receive(1.0, "edit", "a");
        let first = forwarded_to(&actions).expect("there is capacity");
        let actions = harness.finish(50.0, &request, 0, Outcome::Error);
        assert_eq!(forwarded_to(&actions).expect("its cell has another endpoint") % 3, first % 3);
    }
}

/// Endpoint list entry: endpoint 2 is in the zone and cell of endpoint 1, 3 only in its zone, 4 in neither.
fn endpoint_near_first(id: EndpointId) -> EndpointUpdate {
    let zone = if id == 4 { "west" } else { "east" };
    EndpointUpdate { zone: zone.into(), cell: u32::from(id > 2), ..endpoint(id) }
}

/// Returns a request with an idempotency window of 400 ms, and the actions when its first attempt ends. That
/// attempt was forwarded to endpoint 1, and only endpoint `other` is left.
fn retry_at_other(
    scope: KeyScope,
    other: EndpointId,
    end: Millis,
    outcome: Outcome,
) -> (RequestId, Vec<Action>) {
    let mut settings = settings();
    settings.classes[1].idempotency = Idempotency::WithKey(scope);
    settings.classes[1].idempotency_window = 400.0;
    let mut harness = Harness::new(settings, vec![endpoint_near_first(1)]);
    let (request, actions) = harness.receive(0.0, "edit", "a");
    assert_eq!(forwarded_to(&actions), Some(1));
    harness.update_endpoints(1.0, EndpointListKind::Snapshot, vec![endpoint_near_first(other)]);
    let actions = harness.finish(end, &request, 0, outcome);
    (request, actions)
}

#[test]
fn retries_request_with_key_within_scope_and_window() {
    // At 350 ms the window is still open, but may end while a connection is established (up to 100 ms).
    let ends =
        [(50.0, Outcome::Error, true), (350.0, Outcome::Error, false), (350.0, Outcome::Overloaded, false)];
    for (scope, last_in_scope) in [(KeyScope::All, 4), (KeyScope::Zone, 3), (KeyScope::Cell, 2)] {
        for other in 2..=4 {
            for (end, outcome, in_window) in ends {
                let (request, actions) = retry_at_other(scope, other, end, outcome);
                let case = format!("{scope:?}, endpoint {other}, {outcome:?} at {end}");
                if outcome.not_executed() || (in_window && other <= last_in_scope) {
                    assert_eq!(forwarded_to(&actions), Some(other), "{case}");
                } else if scope == KeyScope::All {
                    assert!(is_rejected(&actions), "{case}");
                } else {
                    assert_eq!(actions, vec![Action::Fail { request }], "{case}");
                }
            }
        }
    }
}
