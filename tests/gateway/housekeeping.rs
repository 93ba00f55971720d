//! Removal of unused customer records, and the status summary.

use crate::harness::*;
use edge_gateway::*;

#[test]
fn drops_records_of_one_time_customers() {
    let mut harness = Harness::new(settings(), endpoints(9));
    for i in 0..2_000 {
        let now = f64::from(i) * 4.0;
        let (request, _) = harness.receive(now, "read", &format!("once{i}"));
        harness.finish(now + 2.0, &request, 0, Outcome::Success);
    }
    // Only after a rejection does the gateway log how many customers it tracks.
    harness.update_endpoints(8_000.0, EndpointListKind::Snapshot, Vec::new());
    assert!(is_rejected(&harness.receive(8_001.0, "read", "last").1));
    let actions = harness.tick(8_020.0);
    let summary = actions.iter().find_map(|action| match action {
        Action::Log(summary) => Some(*summary),
        _ => None,
    });
    let summary = summary.expect("the gateway logs a summary");
    assert_eq!(summary.customers, 0, "{actions:?}");
    assert!(summary.to_string().contains("tracking 0 customers"), "{summary}");
}
