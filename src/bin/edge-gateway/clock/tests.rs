use super::*;
use std::time::Duration;
use tokio::time::advance;

#[tokio::test(start_paused = true)]
async fn future_time_stays_in_the_future_after_a_long_uptime() {
    const MONTH: Duration = Duration::from_secs(30 * 86_400);
    let clock = Clock::new();
    advance(MONTH).await;
    let due = clock.instant_at(clock.now() + 500.0);
    let wait = due.saturating_duration_since(Instant::now());
    // The 10 ms allow for the rounding of Unix times.
    assert!((490..=510).contains(&wait.as_millis()), "{wait:?}");
}
