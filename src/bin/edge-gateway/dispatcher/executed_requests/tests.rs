use super::*;

fn id(n: usize) -> RequestId {
    format!("r{n}").into()
}

#[test]
fn keeps_ids_for_their_time() {
    let mut executed = ExecutedRequests::default();
    executed.insert(id(1), 100.0, 0.0);
    executed.insert(id(2), 200.0, 50.0);
    assert!(executed.contains(&id(1), 99.0) && executed.contains(&id(2), 99.0));
    assert!(!executed.contains(&id(1), 100.0) && executed.contains(&id(2), 100.0));
    assert!(!executed.contains(&id(2), 200.0));
    assert!(executed.ids.is_empty() && executed.kept_until.is_empty());
}

#[test]
fn ids_are_limited_in_number() {
    let mut executed = ExecutedRequests::default();
    for n in 0..3 * MAX_IDS {
        executed.insert(id(n), 1_000.0, 0.0);
        assert!(executed.contains(&id(n), 0.0));
    }
    assert_eq!((executed.ids.len(), executed.kept_until.len()), (MAX_IDS, MAX_IDS));
    assert!(!executed.contains(&id(0), 0.0));
}
