use super::*;

#[test]
fn a_server_stands_in_one_ring_at_the_most_wherever_it_stood_before() {
    let mut subset = Subset::new(&Settings::default());
    for (near, ready, expected) in [
        (true, true, 1),
        (false, true, 1),
        (true, true, 1),
        (false, false, 0),
        (false, true, 1),
        (true, false, 0),
    ] {
        subset.set(7, near, ready);
        assert_eq!(subset.ready(), expected, "near {near}, ready {ready}");
        assert_eq!(subset.window(0.0).len(), expected);
    }
}
