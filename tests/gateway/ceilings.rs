//! Hard ceilings of plans, over restarts and over all gateways.

use crate::harness::*;
use edge_gateway::*;

fn with_ceiling() -> Settings {
    let mut settings = settings();
    settings.plans[0].rate = 50.0;
    settings.plans[0].burst = 100.0;
    settings.plans[0].ceiling_rate = 4.0;
    settings.plans[0].ceiling_burst = 12.0;
    settings
}

#[test]
fn a_ceiling_is_held_by_one_gateway_from_an_empty_store() {
    // Without a meter, so that nothing can tell whether there was an earlier life.
    let mut rig = Rig::new(Settings { usage_report_period: None, ..with_ceiling() }, servers(9));
    let mut sent = 0.0;
    for i in 0..2_000 {
        let now = f64::from(i) * 10.0;
        let (request, actions) = rig.arrive(now, "read", "a");
        if sent_to(&actions).is_some() {
            sent += 1.0;
            rig.done(now + 5.0, &request, 0, Outcome::Success);
        }
        // Two gateways: half the rate each, and nothing assumed left over from an earlier life.
        assert!(sent <= 2.0 * now / 1000.0 + 1e-9, "{sent} sent by {now}");
    }
    assert!(sent >= 38.0, "{sent} of 40");
}

/// Units of a customer under a ceiling that pass at once at a gateway of a set of two, after answers to
/// another customer's requests; `percent` is what each of them tells of the meter.
fn passes_after_answers(percent: &[Option<f64>], meter: Option<f64>) -> usize {
    let answers = percent.iter().map(|percent| AttemptResult { usage_percent: *percent, ..answer("") });
    passes_after(&answers.collect::<Vec<_>>(), meter)
}

/// How many of 20 requests pass a ceiling at a new gateway that has had these answers to requests of others.
fn passes_after(answers: &[AttemptResult], meter: Option<f64>) -> usize {
    let mut settings = Settings { usage_report_period: meter, ..with_ceiling() };
    let plain =
        Plan { name: "plain".into(), ceiling_rate: 0.0, ceiling_burst: 0.0, ..settings.plans[0].clone() };
    settings.plans.push(plain);
    let mut rig = Rig::new(settings, servers(9));
    for (n, done) in answers.iter().enumerate() {
        let now = 10.0 * (n + 1) as f64;
        let request = format!("o{n}");
        let ask = IncomingRequest { plan: "plain".into(), ..arrival(&request, "other", now, 1.0, 2) };
        assert!(sent_to(&rig.handle(now, Event::RequestReceived(ask))).is_some());
        rig.handle(
            now + 5.0,
            Event::AttemptFinished(AttemptResult { request: request.into(), ..done.clone() }),
        );
    }
    (0..20).filter(|_| sent_to(&rig.arrive(200.0, "read", "b").1).is_some()).count()
}

#[test]
fn a_ceiling_is_there_at_once_only_while_the_meter_has_not_told_of_anyone() {
    let none = [None; 8];
    // Half of the depth of 12 is this gateway's, and another life of it may have to be left as much of that.
    assert_eq!(passes_after_answers(&none, Some(1_000.0)), 3);
    // Another life may have come before this one: what has filled since this one's start.
    assert_eq!(passes_after_answers(&none, None), 0);
    assert_eq!(passes_after_answers(&none[..2], Some(1_000.0)), 0);
    // Use of nothing is told as well.
    assert_eq!(passes_after_answers(&[Some(0.0), None, None, None, None, None], Some(1_000.0)), 0);
}

#[test]
fn a_reading_that_cannot_be_used_shows_that_the_meter_runs() {
    // Spoilt figures are those of a fleet that has run for long, in which another life may have used the ceiling up.
    let spoilt = vec![AttemptResult { has_usage_report: true, ..answer("") }; 8];
    assert_eq!(passes_after(&spoilt, Some(1_000.0)), 0);
}

#[test]
fn gateways_that_restart_before_a_late_first_reading_keep_a_ceiling() {
    let mut settings = with_ceiling();
    let plain =
        Plan { name: "plain".into(), ceiling_rate: 0.0, ceiling_burst: 0.0, ..settings.plans[0].clone() };
    settings.plans.push(plain);
    // The store of both gateways: 12 deep, 4 a second. All restart once, and nobody is told anything.
    let (mut store, mut sent): (f64, u32) = (12.0, 0);
    for life in 0..2 {
        let start = 1_500.0 * f64::from(life);
        let mut rigs = [0, 1].map(|rank| {
            let gateway = Gateway::new(Settings { rank, ..settings.clone() }, 7).expect("settings are sound");
            let mut rig = Rig { gateway, actions: Vec::new(), requests: 0 };
            rig.list(start, EndpointListKind::Snapshot, servers(9));
            rig
        });
        for i in 0..150 {
            let now = start + 10.0 * f64::from(i);
            store = (store + 0.04).min(12.0);
            let rig = &mut rigs[i as usize % 2];
            // Answers to other customers, none of which tells of the meter.
            let other = format!("o{i}");
            let ask = IncomingRequest { plan: "plain".into(), ..arrival(&other, &other, now, 1.0, 2) };
            if sent_to(&rig.handle(now, Event::RequestReceived(ask))).is_some() {
                rig.handle(now + 1.0, Event::AttemptFinished(answer(&other)));
            }
            let (request, actions) = rig.arrive(now + 1.0, "read", "a");
            if sent_to(&actions).is_some() {
                rig.done(now + 5.0, &request, 0, Outcome::Success);
                (store, sent) = (store - 1.0, sent + 1);
            }
            // What flows in before the first request finds the store full.
            assert!(store >= -0.2, "the ceiling was passed at {now}: {store}");
        }
    }
    assert!(sent >= 12, "{sent} sent, the ceiling gives 24");
}

#[test]
fn a_clock_that_steps_back_fills_no_store() {
    let mut rig = Rig::new(with_ceiling(), servers(9));
    rig.arrive(3_000.0, "read", "a");
    let mut sent = 0;
    for i in 0..200 {
        let now = if i % 2 == 0 { 0.0 } else { 3_000.0 };
        sent += u32::from(sent_to(&rig.arrive(now, "read", "b").1).is_some());
    }
    assert!(sent <= 6, "half of the depth of 12 at the most, {sent} sent");
}

#[test]
fn a_late_reading_does_not_give_a_gateway_the_whole_ceiling() {
    // The record is swept while an attempt is still out; its answer then brings a reading over 100 %.
    let mut settings = with_ceiling();
    settings.gateways = 6;
    let mut rig = Rig::new(settings, servers(9));
    rig.handle(10_000.0, Event::RequestReceived(arrival("late", "a", 10_000.0, 1.0, 6)));
    for i in 1..5_000 {
        rig.handle(10_000.0 + f64::from(i) * 20.0, Event::TimerFired { token: 0 });
    }
    metered(&mut rig, 110_000.0, &"late".into(), 300.0);
    let sent = (0..100)
        .filter(|n| {
            let now = 110_001.0 + f64::from(*n);
            let actions =
                rig.handle(now, Event::RequestReceived(arrival(&format!("b{n}"), "a", now, 1.0, 6)));
            sent_to(&actions).is_some()
        })
        .count();
    assert!(sent <= 2, "a sixth of a ceiling of 12, {sent} sent");
}

#[test]
fn many_gateways_together_keep_a_ceiling() {
    // Evenly spread, and with most of the traffic at a few; some gateways restart half way.
    for uneven in [false, true] {
        let mut settings = with_ceiling();
        settings.gateways = 12;
        let fresh = |rank: u32, seed: u64, now: f64| {
            let mut rig = Rig::new(Settings { rank, ..settings.clone() }, servers(9));
            rig.gateway = Gateway::new(Settings { rank, ..settings.clone() }, seed).expect("sound");
            rig.list(now, EndpointListKind::Snapshot, servers(9));
            rig
        };
        let mut rigs: Vec<Rig> = (0..12).map(|rank| fresh(rank, u64::from(rank), 0.0)).collect();
        let mut rng = fastrand::Rng::with_seed(5);
        // The store of all gateways: 12 deep, 4 a second, never over its depth.
        let (mut store, mut sent): (f64, u32) = (12.0, 0);
        for i in 0..8_000 {
            let now = f64::from(i) * 5.0;
            store = (store + 0.02).min(12.0);
            let rank = if uneven && rng.u8(..4) > 0 { rng.usize(..3) } else { rng.usize(..12) };
            let rig = &mut rigs[rank];
            if i % 4_000 < 4 {
                *rig = fresh(rank as u32, u64::from(i as u32), now);
            }
            let id = format!("n{i}");
            let actions = rig.handle(now, Event::RequestReceived(arrival(&id, "a", now, 1.0, 12)));
            if sent_to(&actions).is_some() {
                let mut done = answer(&id);
                // The meter tells of the first period late, and of someone from then on.
                done.usage_percent = (now > 2_000.0).then_some(8.0);
                rig.handle(now + 1.0, Event::AttemptFinished(done));
                (store, sent) = (store - 1.0, sent + 1);
            }
            assert!(store >= -1e-6, "the ceiling was passed at {now}: {store}");
        }
        assert!(sent >= 120, "{sent} sent, the ceiling gives 172");
    }
}
