//! Tests of the rules on which attempts may start, and which requests may be retried or rejected.

use super::*;

fn class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        name: "c".into(),
        latency_objective: 1_000.0,
        deadline: 2_000.0,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency,
        idempotency_window: 500.0,
    }
}

fn context<'a>(class: &'a RequestClass, other_attempts: &'a [AttemptState]) -> AttemptContext<'a> {
    let may_have_executed = other_attempts.iter().any(|state| *state != AttemptState::NotExecuted);
    let earlier = EarlierAttempt { sent_at: 0.0, same_zone: true, same_cell: false };
    AttemptContext {
        awaiting_response: true,
        endpoint_available: true,
        time_left: 700.0,
        class,
        hedging: false,
        other_attempts,
        earlier_attempt: may_have_executed.then_some(earlier),
        now: 100.0,
    }
}

#[test]
fn first_attempt_starts_only_while_awaited_available_and_in_time() {
    let class = class(Idempotency::NotIdempotent);
    let first = context(&class, &[]);
    assert_eq!(check_start(&first), Ok(700.0));
    assert_eq!(
        check_start(&AttemptContext { awaiting_response: false, ..first.clone() }),
        Err(AttemptDenied::RequestClosed)
    );
    assert_eq!(
        check_start(&AttemptContext { endpoint_available: false, ..first.clone() }),
        Err(AttemptDenied::EndpointUnavailable)
    );
    assert_eq!(
        check_start(&AttemptContext { time_left: 0.0, ..first }),
        Err(AttemptDenied::DeadlineExceeded)
    );
}

#[test]
fn retry_after_possible_execution_depends_on_idempotency() {
    use AttemptState::{InFlight, MayHaveExecuted, NotExecuted};
    for (idempotency, other_attempts, expected) in [
        (Idempotency::Idempotent, &[MayHaveExecuted][..], Ok(700.0)),
        (Idempotency::Idempotent, &[InFlight], Err(AttemptDenied::AttemptInFlight)),
        (Idempotency::NotIdempotent, &[NotExecuted, NotExecuted], Ok(700.0)),
        (Idempotency::NotIdempotent, &[NotExecuted, MayHaveExecuted], Err(AttemptDenied::MayHaveExecuted)),
        (Idempotency::NotIdempotent, &[InFlight], Err(AttemptDenied::AttemptInFlight)),
        (Idempotency::WithKey(KeyScope::All), &[MayHaveExecuted], Ok(700.0)),
        (Idempotency::WithKey(KeyScope::Zone), &[MayHaveExecuted], Ok(700.0)),
        (Idempotency::WithKey(KeyScope::Cell), &[MayHaveExecuted], Err(AttemptDenied::OutsideKeyScope)),
    ] {
        let class = class(idempotency);
        let context = context(&class, other_attempts);
        assert_eq!(check_start(&context), expected, "{idempotency:?} {other_attempts:?}");
    }
}

#[test]
fn hedging_allows_two_attempts_only_if_idempotent() {
    for (idempotency, expected) in [
        (Idempotency::Idempotent, Ok(700.0)),
        (Idempotency::NotIdempotent, Err(AttemptDenied::MayHaveExecuted)),
    ] {
        let class = class(idempotency);
        let second = AttemptContext { hedging: true, ..context(&class, &[AttemptState::InFlight]) };
        assert_eq!(check_start(&second), expected);
    }
}

#[test]
fn idempotency_key_expires_with_its_window() {
    let class = class(Idempotency::WithKey(KeyScope::Zone));
    let at = |now| check_start(&AttemptContext { now, ..context(&class, &[AttemptState::MayHaveExecuted]) });
    // The window ends at 500, and no retry may start in its last `IDEMPOTENCY_WINDOW_MARGIN`.
    assert_eq!(at(490.0), Ok(700.0));
    assert_eq!(at(499.0), Err(AttemptDenied::IdempotencyWindowExpired));
}

#[test]
fn rejection_requires_no_execution_or_deduplicated_retries() {
    assert!(may_reject(Idempotency::NotIdempotent, true) && !may_reject(Idempotency::NotIdempotent, false));
    assert!(
        may_reject(Idempotency::Idempotent, false) && may_reject(Idempotency::WithKey(KeyScope::All), false)
    );
    assert!(!may_reject(Idempotency::WithKey(KeyScope::Zone), false));
}
