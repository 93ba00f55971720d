//! Invalid settings, which a gateway rejects with an error that names the faulty setting.

use crate::harness::*;
use edge_gateway::*;

#[test]
fn rejects_invalid_settings_by_name() {
    let error = |settings: Settings| Gateway::new(settings, 1).err().map(|error| error.to_string());
    let without_classes = Settings { classes: Vec::new(), ..settings() };
    assert!(error(without_classes).is_some_and(|error| error.contains("classes")));
    let negative_rate = settings_with_quota(-1.0, 10.0);
    assert!(error(negative_rate).is_some_and(|error| error.contains("basic")));
    let rank_out_of_range = Settings { rank: 2, ..settings() };
    assert!(error(rank_out_of_range).is_some_and(|error| error.contains("rank")));
}
