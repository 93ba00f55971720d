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

// Each request left its hedge and a timer behind until the time at which it would have been hedged, although
// it had ended long before: memory that followed the number of requests.
#[test]
fn finished_requests_leave_no_timers() {
    let settings = Settings { hedging: true, ..settings_with_quota(10_000.0, 10_000.0) };
    let mut harness = Harness::new(settings, endpoints(9));
    let mut timers = 0;
    for n in 0..500 {
        let now = f64::from(n);
        let (request, actions) = harness.receive(now, "read", "a");
        assert!(is_forwarded(&actions));
        timers += actions.iter().filter(|action| matches!(action, Action::SetTimer { .. })).count();
        harness.finish(now + 0.5, &request, 0, Outcome::Success);
    }
    assert!(timers <= 1, "{timers} timers");
}

// The hedge of an earlier request of the same id applied to the next one, which was hedged too early.
#[test]
fn hedge_of_ended_request_does_not_apply_to_next_one_of_same_id() {
    let settings = Settings { hedging: true, ..settings() };
    let mut harness = Harness::new(settings, endpoints(9));
    let start = 1_000.0;
    assert!(is_forwarded(&harness.receive_request(start, incoming("same", "a", start))));
    harness.handle(start + 300.0, Event::ClientDisconnected { request: "same".into() });
    harness.finish(start + 300.0, &"same".into(), 0, Outcome::Cancelled);
    let second = start + 500.0;
    assert!(is_forwarded(&harness.receive_request(second, incoming("same", "a", second))));
    // The first one would have been hedged between 600 and 1,000 ms after its start.
    for n in 0..5 {
        let now = second + 100.0 * f64::from(n);
        assert!(!is_forwarded(&harness.tick(now)), "hedged {} ms after the request", now - second);
    }
    assert!((5..=10).any(|n| is_forwarded(&harness.tick(second + 100.0 * f64::from(n)))));
}
