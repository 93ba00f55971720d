use super::*;

fn class(effect: Idempotency) -> RequestClass {
    RequestClass {
        name: "c".into(),
        latency_objective: 1_000.0,
        deadline: 2_000.0,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: effect,
        idempotency_window: 500.0,
    }
}

fn beginning<'a>(class: &'a RequestClass, others: &'a [AttemptState]) -> AttemptContext<'a> {
    let first = others.iter().any(|state| *state != AttemptState::NotExecuted);
    let first = first.then_some(EarlierAttempt { sent_at: 0.0, same_zone: true, same_cell: false });
    AttemptContext {
        awaiting_response: true,
        endpoint_available: true,
        time_left: 700.0,
        class,
        hedging: false,
        other_attempts: others,
        earlier_attempt: first,
        now: 100.0,
    }
}

#[test]
fn a_first_attempt_begins_as_long_as_it_is_owed_served_and_in_time() {
    let class = class(Idempotency::NotIdempotent);
    let first = beginning(&class, &[]);
    assert_eq!(may_start(&first), Ok(700.0));
    assert_eq!(
        may_start(&AttemptContext { awaiting_response: false, ..first.clone() }),
        Err(AttemptDenied::RequestClosed)
    );
    assert_eq!(
        may_start(&AttemptContext { endpoint_available: false, ..first.clone() }),
        Err(AttemptDenied::EndpointUnavailable)
    );
    assert_eq!(may_start(&AttemptContext { time_left: 0.0, ..first }), Err(AttemptDenied::DeadlineExceeded));
}

#[test]
fn what_may_have_run_is_repeated_by_its_effect_alone() {
    use AttemptState::{InFlight, MayHaveExecuted, NotExecuted};
    for (effect, others, expected) in [
        (Idempotency::Idempotent, &[MayHaveExecuted][..], Ok(700.0)),
        (Idempotency::Idempotent, &[InFlight], Err(AttemptDenied::AttemptInFlight)),
        (Idempotency::NotIdempotent, &[NotExecuted, NotExecuted], Ok(700.0)),
        (Idempotency::NotIdempotent, &[NotExecuted, MayHaveExecuted], Err(AttemptDenied::MayHaveExecuted)),
        (Idempotency::NotIdempotent, &[InFlight], Err(AttemptDenied::AttemptInFlight)),
        (Idempotency::WithKey(KeyScope::All), &[MayHaveExecuted], Ok(700.0)),
        (Idempotency::WithKey(KeyScope::Zone), &[MayHaveExecuted], Ok(700.0)),
        (Idempotency::WithKey(KeyScope::Cell), &[MayHaveExecuted], Err(AttemptDenied::OutsideKeyScope)),
    ] {
        let class = class(effect);
        assert_eq!(may_start(&beginning(&class, others)), expected, "{effect:?} {others:?}");
    }
}

#[test]
fn two_may_be_out_where_that_is_allowed_but_for_unsafe_ones() {
    for (effect, expected) in [
        (Idempotency::Idempotent, Ok(700.0)),
        (Idempotency::NotIdempotent, Err(AttemptDenied::MayHaveExecuted)),
    ] {
        let class = class(effect);
        let second = AttemptContext { hedging: true, ..beginning(&class, &[AttemptState::InFlight]) };
        assert_eq!(may_start(&second), expected);
    }
}

#[test]
fn a_key_is_good_until_its_window_is_over() {
    let class = class(Idempotency::WithKey(KeyScope::Zone));
    let at = |now| may_start(&AttemptContext { now, ..beginning(&class, &[AttemptState::MayHaveExecuted]) });
    assert_eq!(at(490.0), Ok(700.0));
    assert_eq!(at(499.0), Err(AttemptDenied::IdempotencyWindowExpired));
}

#[test]
fn a_refusal_promises_that_nothing_ran_or_that_a_repeat_is_dropped() {
    assert!(may_reject(Idempotency::NotIdempotent, true) && !may_reject(Idempotency::NotIdempotent, false));
    assert!(
        may_reject(Idempotency::Idempotent, false) && may_reject(Idempotency::WithKey(KeyScope::All), false)
    );
    assert!(!may_reject(Idempotency::WithKey(KeyScope::Zone), false));
}
