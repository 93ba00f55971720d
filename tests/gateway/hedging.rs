//! Timers for hedged requests.

use crate::harness::*;
use edge_gateway::*;

/// What happened while timers fired.
struct TimerRun {
    /// Number of timers that fired.
    fired: usize,
    /// When the first attempt was forwarded.
    forwarded_at: Option<Millis>,
}

/// Fires timers until `end`, starting with those that `actions` set. The times of the timers are rounded down
/// to microseconds, as in the programs that drive a gateway.
fn fire_timers(harness: &mut Harness, mut actions: Vec<Action>, end: Millis) -> TimerRun {
    let mut run = TimerRun { fired: 0, forwarded_at: None };
    let (mut timers, mut now) = (Vec::new(), 0.0);
    loop {
        if run.forwarded_at.is_none() && is_forwarded(&actions) {
            run.forwarded_at = Some(now);
        }
        timers.extend(actions.iter().filter_map(|action| match action {
            Action::SetTimer { token, at } => Some(((at * 1000.0) as u64, *token)),
            _ => None,
        }));
        timers.sort_unstable();
        if timers.is_empty() || timers[0].0 as f64 / 1000.0 > end {
            return run;
        }
        let (at_micros, token) = timers.remove(0);
        now = at_micros as f64 / 1000.0;
        actions = harness.handle(now, Event::TimerFired { token });
        run.fired += 1;
    }
}

#[test]
fn hedges_overdue_request_with_few_timers() {
    // A Unix time with a fraction of a microsecond, so that rounding makes timers fire early.
    let start = 1_764_374_400_123.457_3;
    let settings = Settings { hedging: true, ..settings() };
    let (mut harness, mut actions) =
        Harness::builder(settings).started_at(start).endpoints(endpoints(2)).build_with_actions();
    // One request is answered before it would be hedged; the other stays in flight.
    let (ended, request_actions) = harness.receive(start + 1.0, "read", "a");
    actions.extend(request_actions);
    let first = forwarded_to(&actions).expect("the request is forwarded");
    actions.extend(harness.finish(start + 50.0, &ended, 0, Outcome::Success));
    let (_, request_actions) = harness.receive(start + 60.0, "read", "a");
    assert!(is_forwarded(&request_actions));
    actions.extend(request_actions);
    actions.retain(|action| matches!(action, Action::SetTimer { .. }));
    let TimerRun { fired, forwarded_at } = fire_timers(&mut harness, actions, start + 10_000.0);
    let hedged_after = forwarded_at
        .unwrap_or_else(|| panic!("no hedged request after the attempt to endpoint {first}"))
        - start;
    assert!((600.0..1_000.0).contains(&hedged_after), "hedged after {hedged_after} ms");
    assert!(fired <= 16, "{fired} timers in 10 s");
}
