//! Timers for hedged requests.

use crate::harness::*;
use edge_gateway::*;

/// Timers that were played.
struct TimerRun {
    /// How many expired.
    expired: usize,
    /// When the first attempt was forwarded.
    forwarded_at: Option<Millis>,
}

/// Plays timers until `end`, starting from those that `actions` set. Times are rounded down to microseconds,
/// as callers do.
fn play_timers(harness: &mut Harness, mut actions: Vec<Action>, end: Millis) -> TimerRun {
    let mut run = TimerRun { expired: 0, forwarded_at: None };
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
        run.expired += 1;
    }
}

#[test]
fn sets_timers_only_when_due_and_loses_none() {
    // A Unix time whose microseconds are not whole.
    let start = 1_764_374_400_123.457_3;
    let settings = Settings { hedging: true, ..settings() };
    let (mut harness, mut actions) =
        Harness::builder(settings).started_at(start).endpoints(endpoints(2)).build_with_actions();
    // A request that ends before its hedged request is due, and one that stays in flight.
    let (ended, more) = harness.receive(start + 1.0, "read", "a");
    actions.extend(more);
    let first = forwarded_to(&actions).expect("the request is forwarded");
    actions.extend(harness.finish(start + 50.0, &ended, 0, Outcome::Success));
    let (_, more) = harness.receive(start + 60.0, "read", "a");
    assert!(is_forwarded(&more));
    actions.extend(more);
    actions.retain(|action| matches!(action, Action::SetTimer { .. }));
    let TimerRun { expired, forwarded_at } = play_timers(&mut harness, actions, start + 10_000.0);
    let hedged_at = forwarded_at.unwrap_or_else(|| panic!("no hedged request after one to {first}")) - start;
    assert!((600.0..1_000.0).contains(&hedged_at), "hedged after {hedged_at} ms");
    assert!(expired <= 16, "{expired} timers in 10 s");
}
