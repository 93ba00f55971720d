//! Avoidance of failing endpoints and zones.

use crate::harness::*;
use edge_gateway::*;

#[test]
fn prefers_endpoint_in_slow_start_to_ejected_one() {
    let mut harness = Harness::new(settings(), endpoints(1));
    let (request, _) = harness.receive(1.0, "read", "a");
    harness.finish(200.0, &request, 0, Outcome::ConnectFailed);
    harness.update_endpoints(200.0, EndpointListKind::Delta, vec![endpoint_in_slow_start(2)]);
    for i in 0..30 {
        let (_, actions) = harness.receive(201.0 + f64::from(i), "read", &format!("c{i}"));
        assert_ne!(forwarded_to(&actions), Some(1), "endpoint 1 is ejected");
    }
}

#[test]
fn avoids_unreachable_zone() {
    // 30 endpoints in each zone. Ejecting the western ones one by one would cost a failed attempt at each.
    let in_zone = |id: EndpointId| EndpointUpdate {
        zone: if id > 30 { "west".into() } else { "east".into() },
        ..endpoint(id)
    };
    let settings = Settings { cross_zone_cost: 0.0, ..settings_with_quota(1_000_000.0, 1_000_000.0) };
    let mut harness = Harness::new(settings, (1..=60).map(in_zone).collect());
    let mut failed = 0;
    for i in 0..60 {
        let now = f64::from(i) * 30.0;
        let (request, mut actions) = harness.receive(now, "read", &format!("c{i}"));
        let mut attempt = 0;
        while let Some(endpoint) = forwarded_to(&actions) {
            let is_unreachable = endpoint > 30;
            failed += u32::from(is_unreachable);
            let result = AttemptResult {
                attempt,
                endpoint,
                outcome: if is_unreachable { Outcome::ConnectFailed } else { Outcome::Success },
                elapsed: 100.0,
                request_closed: !is_unreachable,
                ..success(&request)
            };
            actions = harness.finish_attempt(now + 5.0, result);
            attempt += 1;
        }
    }
    assert!(failed <= 15, "{failed} attempts to the unreachable zone");
    assert!(failed > 0, "both zones must be used before the first failure");
}
