//! What a gateway forgets, and its status summary.

use crate::harness::*;
use edge_gateway::*;

#[test]
fn customers_seen_once_leave_no_record() {
    let mut rig = Rig::new(settings(), servers(9));
    for i in 0..2_000 {
        let now = f64::from(i) * 4.0;
        let (request, _) = rig.arrive(now, "read", &format!("once{i}"));
        rig.done(now + 2.0, &request, 0, Outcome::Success);
    }
    // A refusal makes the gateway log how many customers it has on record.
    rig.list(8_000.0, EndpointListKind::Snapshot, Vec::new());
    assert!(refused(&rig.arrive(8_001.0, "read", "last").1));
    let actions = rig.handle(8_020.0, Event::TimerFired { token: 0 });
    let summary = actions.iter().find_map(|action| match action {
        Action::Log(summary) => Some(*summary),
        _ => None,
    });
    let summary = summary.expect("the gateway logs a summary");
    assert_eq!(summary.customers, 0, "{actions:?}");
    assert!(summary.to_string().contains("tracking 0 customers"), "{summary}");
}
