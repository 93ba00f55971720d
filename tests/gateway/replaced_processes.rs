//! Endpoints whose process was replaced by another one under the same id.

use crate::harness::*;
use edge_gateway::*;

/// Endpoint list entry of the process that replaces the one of endpoint `id`.
fn replacement(id: EndpointId) -> EndpointUpdate {
    EndpointUpdate { started_at: Some(-60_000.0), ..endpoint(id) }
}

// The new process was taken for the old one: a request that the old one may have executed was sent to it,
// although it is in another zone and cell and does not know the keys of the old one.
#[test]
fn retry_stays_in_key_scope_of_replaced_process() {
    for (scope, may_retry) in [(KeyScope::All, true), (KeyScope::Zone, false), (KeyScope::Cell, false)] {
        let mut settings = settings();
        settings.classes[1].idempotency = Idempotency::WithKey(scope);
        let mut harness = Harness::new(settings, vec![endpoint(1)]);
        let (request, actions) = harness.receive(0.0, "edit", "a");
        assert_eq!(forwarded_to(&actions), Some(1));
        let moved = EndpointUpdate { zone: "west".into(), cell: 1, ..replacement(1) };
        harness.update_endpoints(10.0, EndpointListKind::Delta, vec![moved]);
        let actions = harness.finish(50.0, &request, 0, Outcome::Reset);
        assert_eq!(is_forwarded(&actions), may_retry, "{scope:?}");
    }
}

#[test]
fn retry_may_use_process_that_replaced_another_in_its_scope() {
    for scope in [KeyScope::All, KeyScope::Zone, KeyScope::Cell] {
        let mut settings = settings();
        settings.classes[1].idempotency = Idempotency::WithKey(scope);
        let mut harness = Harness::new(settings, vec![endpoint(1)]);
        let (request, _) = harness.receive(0.0, "edit", "a");
        harness.update_endpoints(10.0, EndpointListKind::Delta, vec![replacement(1)]);
        assert!(is_forwarded(&harness.finish(50.0, &request, 0, Outcome::Reset)), "{scope:?}");
    }
}

// The failures of attempts at the old process ejected the new one.
#[test]
fn failures_of_replaced_process_do_not_eject_new_one() {
    for outcome in [Outcome::Reset, Outcome::ConnectFailed, Outcome::Error, Outcome::Overloaded] {
        let mut harness = Harness::new(settings_with_quota(1_000.0, 1_000.0), vec![endpoint(1)]);
        let requests: Vec<RequestId> =
            (0..5).map(|n| harness.receive(f64::from(n), "pay", &format!("c{n}")).0).collect();
        // Another endpoint is there, to which requests go if the new process is ejected.
        let list = vec![replacement(1), EndpointUpdate { zone: "west".into(), ..endpoint(2) }];
        harness.update_endpoints(10.0, EndpointListKind::Delta, list);
        for request in &requests {
            harness.finish(50.0, request, 0, outcome);
        }
        let forwarded: Vec<_> = (0..4)
            .map(|n| {
                let now = 60.0 + 100.0 * f64::from(n);
                let (request, actions) = harness.receive(now, "read", &format!("n{n}"));
                harness.finish(now + 20.0, &request, 0, Outcome::Success);
                forwarded_to(&actions)
            })
            .collect();
        assert!(forwarded.contains(&Some(1)), "{outcome:?}: {forwarded:?}");
    }
}
