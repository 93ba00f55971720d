use super::*;

// Statistics were kept for each zone that a list had ever named.
#[test]
fn forgets_the_oldest_of_too_many_zones() {
    let mut statistics = ZoneStatistics::default();
    for number in 0..=MAX_ZONES {
        let zone: Arc<str> = format!("z{number}").into();
        statistics.record(&zone, Outcome::Reset, number as f64);
    }
    assert_eq!(statistics.zones.len(), MAX_ZONES);
    let now = MAX_ZONES as f64;
    assert_eq!(statistics.failure_rate("z0", 1_000.0, now), 0.0);
    assert!(statistics.failure_rate("z1", 1_000.0, now) > 0.0);
}
