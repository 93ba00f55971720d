use super::*;

fn class(effect: Effect) -> Class {
    Class {
        name: "c".into(),
        aim: 1_000.0,
        deadline: 2_000.0,
        worth: 1.0,
        late_worth: 0.0,
        effect,
        key_window: 500.0,
    }
}

fn beginning<'a>(class: &'a Class, others: &'a [AttemptState]) -> Beginning<'a> {
    let first = others.iter().any(|state| *state != AttemptState::NeverRan);
    let first = first.then_some(FirstRun { sent_at: 0.0, same_zone: true, same_cell: false });
    Beginning { owed: true, serves: true, left: 700.0, class, copies: false, others, first, now: 100.0 }
}

#[test]
fn a_first_attempt_begins_as_long_as_it_is_owed_served_and_in_time() {
    let class = class(Effect::Unsafe);
    let first = beginning(&class, &[]);
    assert_eq!(may_begin(&first), Ok(700.0));
    assert_eq!(may_begin(&Beginning { owed: false, ..first.clone() }), Err(Denied::NothingOwed));
    assert_eq!(may_begin(&Beginning { serves: false, ..first.clone() }), Err(Denied::ServerLeft));
    assert_eq!(may_begin(&Beginning { left: 0.0, ..first }), Err(Denied::TimeUp));
}

#[test]
fn what_may_have_run_is_repeated_by_its_effect_alone() {
    use AttemptState::{MayHaveRun, NeverRan, Out};
    for (effect, others, expected) in [
        (Effect::Safe, &[MayHaveRun][..], Ok(700.0)),
        (Effect::Safe, &[Out], Err(Denied::CopyOut)),
        (Effect::Unsafe, &[NeverRan, NeverRan], Ok(700.0)),
        (Effect::Unsafe, &[NeverRan, MayHaveRun], Err(Denied::MayHaveRun)),
        (Effect::Unsafe, &[Out], Err(Denied::CopyOut)),
        (Effect::Keyed(KeyScope::All), &[MayHaveRun], Ok(700.0)),
        (Effect::Keyed(KeyScope::Zone), &[MayHaveRun], Ok(700.0)),
        (Effect::Keyed(KeyScope::Cell), &[MayHaveRun], Err(Denied::OtherGroup)),
    ] {
        let class = class(effect);
        assert_eq!(may_begin(&beginning(&class, others)), expected, "{effect:?} {others:?}");
    }
}

#[test]
fn two_may_be_out_where_that_is_allowed_but_for_unsafe_ones() {
    for (effect, expected) in [(Effect::Safe, Ok(700.0)), (Effect::Unsafe, Err(Denied::MayHaveRun))] {
        let class = class(effect);
        let second = Beginning { copies: true, ..beginning(&class, &[AttemptState::Out]) };
        assert_eq!(may_begin(&second), expected);
    }
}

#[test]
fn a_key_is_good_until_its_window_is_over() {
    let class = class(Effect::Keyed(KeyScope::Zone));
    let at = |now| may_begin(&Beginning { now, ..beginning(&class, &[AttemptState::MayHaveRun]) });
    assert_eq!(at(490.0), Ok(700.0));
    assert_eq!(at(499.0), Err(Denied::WindowOver));
}

#[test]
fn a_refusal_promises_that_nothing_ran_or_that_a_repeat_is_dropped() {
    assert!(may_refuse(Effect::Unsafe, true) && !may_refuse(Effect::Unsafe, false));
    assert!(may_refuse(Effect::Safe, false) && may_refuse(Effect::Keyed(KeyScope::All), false));
    assert!(!may_refuse(Effect::Keyed(KeyScope::Zone), false));
}
