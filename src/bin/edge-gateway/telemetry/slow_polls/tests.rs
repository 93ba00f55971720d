use super::*;

#[tokio::test]
async fn counts_polls_that_hold_the_thread() {
    let result = time_polls(TaskKind::Timers, async {
        let started_at = Instant::now();
        while started_at.elapsed() < SLOW_POLL_THRESHOLD {}
        "done"
    });
    assert_eq!(result.await, "done");
    let text = METRICS.encode();
    assert!(text.contains("edge_gateway_slow_polls_total{task=\"timers\"} 1"), "{text}");
}
