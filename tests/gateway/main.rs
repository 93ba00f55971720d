//! The module's behaviour, driven by made-up events.

mod quota_cost;
mod settings_document;
mod slow_start_fleet;
mod subset;

use edge_gateway::*;
use std::sync::Arc;

fn settings() -> Settings {
    Settings {
        gateways: 2,
        rank: 0,
        zone: "east".into(),
        classes: vec![
            class("read", Idempotency::Idempotent),
            class("edit", Idempotency::WithKey(KeyScope::Cell)),
            class("pay", Idempotency::NotIdempotent),
        ],
        plans: vec![Plan {
            name: "basic".into(),
            rate: 5.0,
            burst: 10.0,
            over_quota_cost: 1.0,
            ..Plan::default()
        }],
        max_attempts: 3,
        hedging: false,
        cancellation: true,
        list_subscription: false,
        retries_marked: true,
        max_retry_after: Some(1000.0),
        usage_report_period: Some(1000.0),
        cross_zone_cost: 0.01,
        handshake_cost: 0.0,
        connect_timeout: 100.0,
        idle_timeout: None,
        slow_start_initial_capacity: 0.2,
        slow_start_duration: 15_000.0,
        overload_threshold: 2.0,
        overload_window: 1000.0,
        ..Settings::default()
    }
}

fn class(name: &str, effect: Idempotency) -> RequestClass {
    RequestClass {
        name: name.into(),
        latency_objective: 1000.0,
        deadline: 3000.0,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: effect,
        idempotency_window: 3000.0,
    }
}

fn member(server: EndpointId, cell: u32, state: EndpointStatus) -> EndpointUpdate {
    EndpointUpdate { endpoint: server, zone: "east".into(), cell, status: state, started_at: None }
}

struct Rig {
    gateway: Gateway,
    actions: Vec<Action>,
    requests: u32,
}

impl Rig {
    fn new(settings: Settings, members: Vec<EndpointUpdate>) -> Self {
        let mut rig = Rig { gateway: gateway_of(settings, 7), actions: Vec::new(), requests: 0 };
        rig.list(0.0, EndpointListKind::Snapshot, members);
        rig
    }

    fn list(&mut self, now: f64, kind: EndpointListKind, members: Vec<EndpointUpdate>) {
        self.handle(now, Event::EndpointList { kind, endpoints: members.into() });
    }

    fn handle(&mut self, now: f64, event: Event) -> Vec<Action> {
        self.actions.clear();
        self.gateway.handle(now, event, &mut self.actions);
        self.actions.clone()
    }

    fn arrive(&mut self, now: f64, class: &str, customer: &str) -> (RequestId, Vec<Action>) {
        self.requests += 1;
        let request: RequestId = format!("r{}", self.requests).into();
        let arrival = IncomingRequest {
            request: request.clone(),
            class: class.into(),
            plan: "basic".into(),
            customer: customer.into(),
            deadline: now + 3000.0,
            units: 1.0,
            gateway_spread: 2,
            is_retry: false,
        };
        (request, self.handle(now, Event::RequestReceived(arrival)))
    }

    fn done(&mut self, now: f64, request: &RequestId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let done = AttemptResult {
            request: Arc::clone(request),
            attempt,
            endpoint: 1,
            outcome,
            elapsed: 50.0,
            request_closed: outcome == Outcome::Success,
            usage_percent: None,
            has_usage_report: false,
            load: LoadReport::default(),
        };
        self.handle(now, Event::AttemptFinished(done))
    }
}

fn gateway_of(settings: Settings, seed: u64) -> Gateway {
    Gateway::new(settings, seed).expect("settings are sound")
}

fn sent_to(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|a| match a {
        Action::Forward { endpoint: server, .. } => Some(*server),
        _ => None,
    })
}

fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

#[test]
fn a_draining_server_gets_nothing_new() {
    let mut rig = Rig::new(settings(), vec![member(1, 0, EndpointStatus::Ready)]);
    assert_eq!(sent_to(&rig.arrive(1.0, "read", "a").1), Some(1));
    rig.list(2.0, EndpointListKind::Delta, vec![member(1, 0, EndpointStatus::Draining)]);
    assert!(refused(&rig.arrive(3.0, "read", "a").1));
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again() {
    let both = vec![member(1, 0, EndpointStatus::Ready), member(2, 0, EndpointStatus::Ready)];
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut rig = Rig::new(settings(), both.clone());
        let (request, _) = rig.arrive(1.0, "pay", "a");
        assert_eq!(rig.done(50.0, &request, 0, outcome), vec![Action::Fail { request }]);
    }
    for outcome in [Outcome::Overloaded, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut rig = Rig::new(settings(), both.clone());
        let (request, _) = rig.arrive(1.0, "pay", "a");
        assert!(sent_to(&rig.done(50.0, &request, 0, outcome)).is_some());
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_cell() {
    for seed in 0..20 {
        let members = (1..=6).map(|id| member(id, id % 3, EndpointStatus::Ready)).collect();
        let mut rig = Rig::new(settings(), members);
        for _ in 0..seed {
            rig.arrive(0.0, "read", "b");
        }
        let (request, actions) = rig.arrive(1.0, "edit", "a");
        let first = sent_to(&actions).expect("there is room");
        let again = rig.done(50.0, &request, 0, Outcome::Error);
        assert_eq!(sent_to(&again).expect("its cell has another") % 3, first % 3);
    }
}

#[test]
fn a_burst_at_one_gateway_is_stopped_before_the_meter_speaks() {
    let mut rig = Rig::new(settings(), (1..=9).map(|id| member(id, 0, EndpointStatus::Ready)).collect());
    let mut sent = 0;
    for i in 0..100 {
        let now = f64::from(i) * 10.0;
        let (request, actions) = rig.arrive(now, "read", "a");
        if sent_to(&actions).is_some() {
            sent += 1;
            rig.done(now + 5.0, &request, 0, Outcome::Success);
        }
    }
    // No more than rate and burst give, and no less than an even part of them.
    assert!((7..=15).contains(&sent), "burst 10 and 5 a second for a second, {sent} sent");
}

#[test]
fn settings_that_cannot_be_acted_on_are_named() {
    let mut none = settings();
    none.classes.clear();
    assert!(Gateway::new(none, 1).err().is_some_and(|e| e.to_string().contains("classes")));
    let mut negative = settings();
    negative.plans[0].rate = -1.0;
    assert!(Gateway::new(negative, 1).err().is_some_and(|e| e.to_string().contains("basic")));
    let mut outside = settings();
    outside.rank = 2;
    assert!(Gateway::new(outside, 1).err().is_some_and(|e| e.to_string().contains("rank")));
}

/// Ends an attempt with a meter reading.
fn metered(rig: &mut Rig, now: f64, request: &RequestId, percent: f64) {
    let done = AttemptResult {
        request: Arc::clone(request),
        attempt: 0,
        endpoint: 1,
        outcome: Outcome::Success,
        elapsed: 5.0,
        request_closed: true,
        usage_percent: Some(percent),
        has_usage_report: true,
        load: LoadReport::default(),
    };
    rig.handle(now, Event::AttemptFinished(done));
}

/// Requests sent of one every `step` ms for `length` ms, each answered after 5 ms with a reading.
fn send_metered(rig: &mut Rig, start: f64, length: f64, step: f64, percent: f64) -> u32 {
    let mut sent = 0;
    let mut now = start;
    while now < start + length {
        let (request, actions) = rig.arrive(now, "read", "a");
        if sent_to(&actions).is_some() {
            sent += 1;
            metered(rig, now + 5.0, &request, percent);
        }
        now += step;
    }
    sent
}

fn servers(count: u32) -> Vec<EndpointUpdate> {
    (1..=count).map(|id| member(id, 0, EndpointStatus::Ready)).collect()
}

#[test]
fn a_flagged_customer_is_cut_by_the_meter_and_comes_back() {
    // Well within what one gateway may send alone: only the meter tells that others send as well.
    let mut rig = Rig::new(settings(), servers(9));
    send_metered(&mut rig, 0.0, 8_000.0, 250.0, 400.0);
    let cut = send_metered(&mut rig, 8_000.0, 4_000.0, 250.0, 400.0);
    assert!(cut <= 6, "four times the quota: about a quarter of 16 passes, {cut} did");
    send_metered(&mut rig, 12_000.0, 30_000.0, 250.0, 40.0);
    let back = send_metered(&mut rig, 42_000.0, 4_000.0, 250.0, 80.0);
    assert_eq!(back, 16, "under the quota all of it passes again");
}

#[test]
fn readings_expire() {
    let mut rig = Rig::new(settings(), servers(9));
    send_metered(&mut rig, 0.0, 10_000.0, 250.0, 400.0);
    // The meter falls silent; its last word must not hold for ever.
    let mut sent = 0;
    for i in 0..16 {
        let now = 30_000.0 + f64::from(i) * 1_000.0;
        let (request, actions) = rig.arrive(now, "read", "a");
        if sent_to(&actions).is_some() {
            sent += 1;
            rig.done(now + 5.0, &request, 0, Outcome::Success);
        }
    }
    assert!(sent >= 14, "{sent} of 16 sent");
}

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

/// A good answer to a request's first attempt.
fn answer(request: &str) -> AttemptResult {
    AttemptResult {
        request: request.into(),
        attempt: 0,
        endpoint: 1,
        outcome: Outcome::Success,
        elapsed: 5.0,
        request_closed: true,
        usage_percent: None,
        has_usage_report: false,
        load: LoadReport::default(),
    }
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
fn a_cold_server_gets_no_more_than_this_gateways_part() {
    let mut cold = member(1, 0, EndpointStatus::Ready);
    cold.started_at = Some(0.0);
    let mut settings = settings();
    settings.plans[0].rate = 1_000.0;
    settings.plans[0].burst = 1_000.0;
    let mut rig = Rig::new(settings, vec![cold]);
    let mut work = 0.0;
    for i in 0..100 {
        let now = f64::from(i) * 10.0;
        let (request, actions) = rig.arrive(now, "read", "a");
        if sent_to(&actions).is_some() {
            work += 50.0;
            rig.done(now + 5.0, &request, 0, Outcome::Success);
        }
    }
    // Twice a fifth (and a little warmer) of one request at a time, split over two gateways.
    assert!(work <= 2.0 * 0.26 * 1_000.0 / 2.0, "{work} ms of work sent in a second");
    assert!(work > 0.0, "it is not starved either");
}

#[test]
fn a_stale_report_does_not_keep_a_gateway_refusing() {
    let mut settings = settings();
    settings.plans[0].rate = 1_000.0;
    settings.plans[0].burst = 1_000.0;
    let mut rig = Rig::new(settings, servers(1));
    let mut cut = 0;
    for i in 0..20 {
        let now = f64::from(i) * 60.0;
        let (request, actions) = rig.arrive(now, "read", "a");
        cut += u32::from(refused(&actions));
        if sent_to(&actions).is_some() {
            let done = AttemptResult {
                request,
                attempt: 0,
                endpoint: 1,
                outcome: Outcome::Success,
                elapsed: 50.0,
                request_closed: true,
                usage_percent: None,
                has_usage_report: false,
                load: LoadReport { in_flight: Some(60.0), ..LoadReport::default() },
            };
            rig.handle(now + 50.0, Event::AttemptFinished(done));
        }
    }
    assert!(cut > 0, "the reports tell of a long queue");
    assert!(sent_to(&rig.arrive(6_000.0, "read", "a").1).is_some(), "and then of nothing any more");
}

#[test]
fn processors_told_to_be_busy_are_no_queue() {
    let mut settings = settings();
    settings.plans[0].rate = 1_000.0;
    settings.plans[0].burst = 1_000.0;
    settings.gateways = 4;
    let aim = settings.classes[0].latency_objective;
    let mut rig = Rig::new(settings, servers(1));
    for i in 0..40 {
        let now = f64::from(i) * aim / 7.0;
        let (request, actions) = rig.arrive(now, "read", "a");
        assert!(sent_to(&actions).is_some(), "refused on the word of a report, request {i}");
        let done = AttemptResult {
            request,
            attempt: 0,
            endpoint: 1,
            outcome: Outcome::Success,
            elapsed: aim / 8.0,
            request_closed: true,
            usage_percent: None,
            has_usage_report: false,
            // What a request needs is learned before the server tells of its processors.
            load: LoadReport { utilization: (i >= 20).then_some(1.0), ..LoadReport::default() },
        };
        rig.handle(now + aim / 8.0, Event::AttemptFinished(done));
    }
}

#[test]
fn waiting_seen_in_answers_cuts_load() {
    // No report and no attempt of its own shows the queue: only its answers do.
    let mut settings = settings();
    settings.plans[0].rate = 1_000.0;
    settings.plans[0].burst = 1_000.0;
    let mut rig = Rig::new(settings, servers(1));
    let mut slow = |now: f64, elapsed: f64| {
        let (request, actions) = rig.arrive(now, "read", "a");
        sent_to(&actions).map(|_| {
            let mut done = AttemptResult {
                request,
                attempt: 0,
                endpoint: 1,
                outcome: Outcome::Success,
                elapsed,
                request_closed: true,
                usage_percent: None,
                has_usage_report: false,
                load: LoadReport::default(),
            };
            done.elapsed = elapsed;
            rig.handle(now + 1.0, Event::AttemptFinished(done));
        })
    };
    for i in 0..50 {
        assert!(slow(f64::from(i) * 10.0, 50.0).is_some());
    }
    let sent = (0..50).filter(|i| slow(500.0 + f64::from(*i) * 10.0, 900.0).is_some()).count();
    assert!(sent < 40, "{sent} of 50 sent into a queue of most of the aim");
}

#[test]
fn many_gateways_leave_each_customer_something() {
    let mut settings = settings();
    settings.gateways = 11;
    settings.plans[0].burst = 5.0;
    let mut rig = Rig::new(settings, servers(9));
    let arrival = |n: u32| IncomingRequest {
        request: format!("w{n}").into(),
        class: "read".into(),
        plan: "basic".into(),
        customer: "a".into(),
        deadline: f64::from(n) * 1000.0 + 3000.0,
        units: 4.0,
        gateway_spread: 11,
        is_retry: false,
    };
    let sent = (0..30)
        .filter(|n| {
            let actions = rig.handle(f64::from(*n) * 1000.0, Event::RequestReceived(arrival(*n)));
            rig.done(f64::from(*n) * 1000.0 + 5.0, &format!("w{n}").into(), 0, Outcome::Success);
            sent_to(&actions).is_some()
        })
        .count();
    assert!(sent >= 4, "a full store always admits a request: {sent} of 30");
}

#[test]
fn unknown_things_are_answered_or_ignored() {
    let mut rig = Rig::new(settings(), servers(2));
    let mut arrival = IncomingRequest {
        request: "x".into(),
        class: "other".into(),
        plan: "basic".into(),
        customer: "a".into(),
        deadline: 3_000.0,
        units: 1.0,
        gateway_spread: 2,
        is_retry: false,
    };
    assert!(refused(&rig.handle(1.0, Event::RequestReceived(arrival.clone()))));
    arrival.class = "read".into();
    arrival.plan = "other".into();
    assert!(refused(&rig.handle(1.0, Event::RequestReceived(arrival))));
    assert!(rig.done(2.0, &"nobody".into(), 0, Outcome::Success).is_empty());
    assert!(rig.handle(2.0, Event::ClientDisconnected { request: "nobody".into() }).is_empty());
    assert!(rig.handle(2.0, Event::TimerFired { token: 99 }).is_empty());
    let (request, _) = rig.arrive(3.0, "read", "a");
    assert!(rig.done(4.0, &request, 5, Outcome::Timeout).is_empty());
}

#[test]
fn no_server_at_all_means_a_refusal_at_once() {
    let mut rig = Rig::new(settings(), Vec::new());
    for class in ["read", "edit", "pay"] {
        assert!(refused(&rig.arrive(1.0, class, "a").1));
    }
}

/// Random legal days: every request gets one final answer, effects do not repeat, the same events give
/// the same actions.
#[test]
fn rules_hold_on_random_days() {
    for seed in 0..30 {
        assert_eq!(random_day(seed), random_day(seed), "day {seed}");
    }
}

fn random_day(seed: u64) -> Vec<Action> {
    use std::collections::BTreeMap;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut settings = settings();
    settings.hedging = rng.bool();
    settings.plans[0].rate = 500.0;
    settings.plans[0].burst = 500.0;
    let hedging = settings.hedging;
    let mut states = [EndpointStatus::Ready; 6];
    let mut rig =
        Rig::new(settings, (0..6).map(|id| member(id, id % 2, EndpointStatus::Ready)).collect::<Vec<_>>());
    // Per request: class, answered, and for each attempt its server, time-out and outcome.
    type Sent = Vec<(EndpointId, f64, Option<Outcome>)>;
    let mut requests: BTreeMap<RequestId, (usize, bool, Sent, f64)> = BTreeMap::new();
    let (mut log, mut now, mut tick) = (Vec::new(), 0.0, 20.0);
    for step in 0..1_500 {
        now += rng.f64() * 8.0;
        let mut actions = Vec::new();
        if now >= tick {
            tick = now + 20.0;
            actions = rig.handle(now, Event::TimerFired { token: 0 });
        } else if step < 1_000 && rng.u8(..4) == 0 {
            let class = rng.usize(..3);
            let (id, done) = rig.arrive(now, ["read", "edit", "pay"][class], "a");
            requests.insert(id, (class, false, Vec::new(), now + 3_000.0));
            actions = done;
        } else if rng.u8(..40) == 0 {
            let id = rng.u32(..6);
            states[id as usize] = if rng.bool() { EndpointStatus::Ready } else { EndpointStatus::Draining };
            rig.list(now, EndpointListKind::Delta, vec![member(id, id % 2, states[id as usize])]);
        } else {
            let open: Vec<_> = requests
                .iter()
                .flat_map(|(id, r)| r.2.iter().enumerate().map(move |(n, a)| (id, n, a)))
                .filter(|(_, _, a)| a.2.is_none())
                .map(|(id, n, a)| (id.clone(), n, a.1))
                .collect();
            if let Some((id, number, until)) = open.get(rng.usize(..open.len().max(1))).cloned() {
                let kinds = [
                    Outcome::Success,
                    Outcome::Error,
                    Outcome::Overloaded,
                    Outcome::ConnectFailed,
                    Outcome::Reset,
                ];
                let outcome = if now >= until { Outcome::Timeout } else { kinds[rng.usize(..5)] };
                let request = requests.get_mut(&id).expect("known");
                request.2[number].2 = Some(outcome);
                request.1 |= outcome == Outcome::Success;
                let closed = request.1;
                let done = AttemptResult {
                    request: id,
                    attempt: number as u32,
                    endpoint: 0,
                    outcome,
                    elapsed: 50.0,
                    request_closed: closed,
                    usage_percent: Some(80.0),
                    has_usage_report: true,
                    load: LoadReport::default(),
                };
                actions = rig.handle(now, Event::AttemptFinished(done));
            }
        }
        for action in &actions {
            match action {
                Action::Forward { request, endpoint: server, timeout_at: give_up_at } => {
                    let r = requests.get_mut(request).expect("known");
                    assert!(!r.1, "sent after the final answer");
                    assert_eq!(states[*server as usize], EndpointStatus::Ready, "sent to a draining server");
                    assert!(*give_up_at <= r.3, "outlives the client");
                    let ran: Vec<_> =
                        r.2.iter().filter(|a| !a.2.is_some_and(Outcome::not_executed)).collect();
                    assert!(r.0 != 2 || ran.is_empty(), "an unsafe request was repeated");
                    if r.0 == 1 {
                        assert!(ran.iter().all(|a| a.0 % 2 == server % 2), "a keyed one left its cell");
                    }
                    assert!(hedging || r.2.iter().all(|a| a.2.is_some()), "two attempts out at once");
                    r.2.push((*server, *give_up_at, None));
                }
                Action::Reject { request, .. } => {
                    let r = requests.get_mut(request).expect("known");
                    assert!(!r.1, "two final answers");
                    let safe = r.0 == 0 || r.2.iter().all(|a| a.2.is_some_and(Outcome::not_executed));
                    assert!(safe, "a refusal promises that nothing ran");
                    r.1 = true;
                }
                Action::Fail { request } => {
                    let r = requests.get_mut(request).expect("known");
                    assert!(!std::mem::replace(&mut r.1, true), "two final answers");
                }
                _ => {}
            }
        }
        log.extend(actions);
    }
    // Whoever has no attempt out any more has been answered.
    for (id, r) in &requests {
        assert!(r.1 || r.2.iter().any(|a| a.2.is_none()), "{id} was lost");
    }
    log
}

#[test]
fn ejected_servers_are_no_last_resort_while_others_are_only_cold() {
    let mut cold = member(2, 0, EndpointStatus::Ready);
    cold.started_at = Some(0.0);
    let mut rig = Rig::new(settings(), vec![member(1, 0, EndpointStatus::Ready)]);
    let (request, _) = rig.arrive(1.0, "read", "a");
    rig.done(200.0, &request, 0, Outcome::ConnectFailed);
    rig.list(200.0, EndpointListKind::Delta, vec![cold]);
    for i in 0..30 {
        let (_, actions) = rig.arrive(201.0 + f64::from(i), "read", &format!("c{i}"));
        assert_ne!(sent_to(&actions), Some(1), "server 1 cannot be reached");
    }
}

#[test]
fn keyed_requests_are_sent_again_within_group_and_window_only() {
    // Server 2 shares zone and cell with server 1, server 3 the zone alone, server 4 neither.
    let place = |id: EndpointId| {
        let mut m = member(id, u32::from(id > 2), EndpointStatus::Ready);
        m.zone = if id == 4 { "west".into() } else { "east".into() };
        m
    };
    for (scope, reach) in [(KeyScope::All, 4), (KeyScope::Zone, 3), (KeyScope::Cell, 2)] {
        for other in 2..=4 {
            for (late, outcome) in
                [(false, Outcome::Error), (true, Outcome::Error), (true, Outcome::Overloaded)]
            {
                let mut settings = settings();
                settings.classes[1].idempotency = Idempotency::WithKey(scope);
                settings.classes[1].idempotency_window = 400.0;
                let mut rig = Rig::new(settings, vec![place(1)]);
                let (request, actions) = rig.arrive(0.0, "edit", "a");
                assert_eq!(sent_to(&actions), Some(1));
                // Only the other one is left.
                rig.list(1.0, EndpointListKind::Snapshot, vec![place(other)]);
                // The window is open then, but may be over when a connection has come up.
                let answer = rig.done(if late { 350.0 } else { 50.0 }, &request, 0, outcome);
                let never_ran = outcome.not_executed();
                if never_ran || (!late && other <= reach) {
                    assert_eq!(sent_to(&answer), Some(other), "{scope:?} {other} {late} {outcome:?}");
                } else if scope == KeyScope::All {
                    assert!(refused(&answer), "{scope:?} {other} {late}");
                } else {
                    assert_eq!(answer, vec![Action::Fail { request }], "{scope:?} {other} {late}");
                }
            }
        }
    }
}

#[test]
fn customers_seen_once_leave_no_record() {
    let mut rig = Rig::new(settings(), servers(9));
    for i in 0..2_000 {
        let now = f64::from(i) * 4.0;
        let (request, _) = rig.arrive(now, "read", &format!("once{i}"));
        rig.done(now + 2.0, &request, 0, Outcome::Success);
    }
    // A refusal makes the gateway log how many customers it has on record.
    rig.list(8_000.0, EndpointListKind::Snapshot, Vec::new());
    assert!(refused(&rig.arrive(8_001.0, "read", "last").1));
    let actions = rig.handle(8_020.0, Event::TimerFired { token: 0 });
    let summary = actions.iter().find_map(|action| match action {
        Action::Log(summary) => Some(*summary),
        _ => None,
    });
    let summary = summary.expect("the gateway logs a summary");
    assert_eq!(summary.customers, 0, "{actions:?}");
    assert!(summary.to_string().contains("tracking 0 customers"), "{summary}");
}

/// An arrival of any plan and width, apart from what `Rig::arrive` fixes.
fn arrival(request: &str, customer: &str, now: f64, units: f64, width: u32) -> IncomingRequest {
    IncomingRequest {
        request: request.into(),
        class: "read".into(),
        plan: "basic".into(),
        customer: customer.into(),
        deadline: now + 3_000.0,
        units,
        gateway_spread: width,
        is_retry: false,
    }
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

/// Work sent to a cold server in its worst window by many gateways that are told of it together, with
/// `quiet` ms without traffic after that.
fn cold_work(gateways: u32, quiet: f64) -> f64 {
    let mut settings = settings();
    settings.gateways = gateways;
    settings.plans[0].rate = 1_000_000.0;
    settings.plans[0].burst = 1_000_000.0;
    let mut cold = member(1, 0, EndpointStatus::Ready);
    cold.started_at = Some(0.0);
    let mut sends: Vec<f64> = Vec::new();
    for rank in 0..gateways {
        let mut own = settings.clone();
        own.rank = rank;
        let mut gateway = Gateway::new(own, u64::from(rank)).expect("settings are sound");
        let mut actions = Vec::new();
        let members: Arc<[EndpointUpdate]> = vec![cold.clone()].into();
        gateway.handle(
            0.0,
            Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: members },
            &mut actions,
        );
        // Every gateway would send all the time: it asks each 50 ms.
        let mut now = quiet;
        while now < quiet + 4_000.0 {
            actions.clear();
            let request = format!("g{now}");
            gateway.handle(now, Event::RequestReceived(arrival(&request, "a", now, 1.0, 1)), &mut actions);
            if sent_to(&actions).is_some() {
                sends.push(now);
                let done = AttemptResult {
                    request: request.as_str().into(),
                    attempt: 0,
                    endpoint: 1,
                    outcome: Outcome::Success,
                    elapsed: 100.0,
                    request_closed: true,
                    usage_percent: None,
                    has_usage_report: false,
                    load: LoadReport::default(),
                };
                gateway.handle(now, Event::AttemptFinished(done), &mut actions);
            }
            now += 50.0;
        }
    }
    sends.sort_by(f64::total_cmp);
    let most =
        sends.iter().map(|from| sends.iter().filter(|t| (0.0..=1_000.0).contains(&(*t - from))).count());
    most.max().unwrap_or(0) as f64 * 100.0
}

#[test]
fn many_gateways_together_do_not_push_a_cold_server_over() {
    for gateways in [1, 3, 20, 200] {
        for quiet in [0.0, 3_000.0, 9_000.0] {
            // One request at a time at the warmth of the window's end, and a quarter for chance.
            let warmth = 0.2 + 0.8 * f64::min((quiet + 4_000.0) / 15_000.0, 1.0);
            let work = cold_work(gateways, quiet);
            assert!(work <= 2.5 * warmth * 1_000.0, "{gateways} gateways after {quiet}: {work} ms");
            assert!(work >= 200.0, "{gateways} gateways after {quiet}: {work} ms, it must still serve");
        }
    }
}

#[test]
fn a_zone_whose_servers_cannot_be_reached_is_left_for_the_other() {
    // Thirty servers in each zone; each of the west would have to fail once to be known by itself.
    let mut settings = settings();
    settings.plans[0].rate = 1_000_000.0;
    settings.plans[0].burst = 1_000_000.0;
    settings.cross_zone_cost = 0.0;
    let place = |id: EndpointId| EndpointUpdate {
        zone: if id > 30 { "west".into() } else { "east".into() },
        ..member(id, 0, EndpointStatus::Ready)
    };
    let mut rig = Rig::new(settings, (1..=60).map(place).collect());
    let mut failed = 0;
    for i in 0..60 {
        let now = f64::from(i) * 30.0;
        let (request, mut actions) = rig.arrive(now, "read", &format!("c{i}"));
        let mut attempt = 0;
        while let Some(server) = sent_to(&actions) {
            let lost = server > 30;
            failed += u32::from(lost);
            let outcome = if lost { Outcome::ConnectFailed } else { Outcome::Success };
            let done = AttemptResult {
                request: request.clone(),
                attempt,
                endpoint: server,
                outcome,
                elapsed: 100.0,
                request_closed: !lost,
                usage_percent: None,
                has_usage_report: false,
                load: LoadReport::default(),
            };
            actions = rig.handle(now + 5.0, Event::AttemptFinished(done));
            attempt += 1;
        }
    }
    assert!(failed <= 15, "{failed} attempts to the lost zone");
    assert!(failed > 0, "both zones are used while nothing is known");
}

#[test]
fn one_long_first_answer_does_not_close_a_gateway() {
    let mut settings = settings();
    settings.gateways = 100;
    let mut rig = Rig::new(settings, servers(30));
    let (request, _) = rig.arrive(0.0, "read", "a");
    let done = AttemptResult {
        request,
        attempt: 0,
        endpoint: 1,
        outcome: Outcome::Success,
        elapsed: 900.0,
        request_closed: true,
        usage_percent: None,
        has_usage_report: false,
        load: LoadReport::default(),
    };
    rig.handle(900.0, Event::AttemptFinished(done));
    assert!(sent_to(&rig.arrive(1_000.0, "read", "b").1).is_some());
}

#[test]
fn one_attempt_out_is_no_crowd_of_all_gateways() {
    let mut settings = settings();
    settings.gateways = 300;
    let mut rig = Rig::new(settings, servers(20));
    for i in 0..8 {
        let (_, actions) = rig.arrive(f64::from(i), "read", &format!("c{i}"));
        // Attempts pile up within a few milliseconds; the usual is far less.
        assert!(i > 3 || sent_to(&actions).is_some(), "request {i}");
    }
}

#[test]
fn a_refused_client_may_be_back_within_its_aim() {
    let mut rig = Rig::new(settings(), servers(9));
    let advice = (0..100).find_map(|i| {
        let (_, actions) = rig.arrive(f64::from(i), "read", "a");
        actions.iter().find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
    });
    assert!(advice.is_some_and(|after| after > 0.0 && after < 1_000.0), "{advice:?}");
}

#[test]
fn a_reading_holds_until_own_requests_of_a_wide_set_bring_the_next() {
    // Twenty gateways at 5 a second: an even request of this one comes every 4 s, and the share of the last
    // reading must outlive that.
    let mut settings = settings();
    settings.gateways = 20;
    let mut rig = Rig::new(settings, servers(9));
    let sent = (0..12)
        .filter(|i| {
            let now = f64::from(*i) * 10_000.0;
            let id = format!("w{i}");
            let actions = rig.handle(now, Event::RequestReceived(arrival(&id, "a", now, 1.0, 20)));
            metered(&mut rig, now + 50.0, &id.as_str().into(), 400.0);
            sent_to(&actions).is_some()
        })
        .count();
    assert!(sent <= 8, "four times the quota: {sent} of 12 sent");
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

/// Plays timers, rounded down to microseconds as callers do, until `end`; gives how many there were and when
/// the first attempt was sent.
fn play_timers(rig: &mut Rig, mut actions: Vec<Action>, end: f64) -> (usize, Option<f64>) {
    let (mut due, mut count, mut sent) = (Vec::new(), 0, None);
    let mut now = 0.0;
    loop {
        if sent.is_none() && sent_to(&actions).is_some() {
            sent = Some(now);
        }
        due.extend(actions.iter().filter_map(|a| match a {
            Action::SetTimer { token, at } => Some(((at * 1000.0) as u64, *token)),
            _ => None,
        }));
        due.sort_unstable();
        if due.is_empty() || due[0].0 as f64 / 1000.0 > end {
            return (count, sent);
        }
        let (at, token) = due.remove(0);
        now = at as f64 / 1000.0;
        actions = rig.handle(now, Event::TimerFired { token });
        count += 1;
    }
}

#[test]
fn ticks_are_asked_for_only_when_something_is_due_and_none_is_lost() {
    let born = 1_764_374_400_123.457_3;
    let settings = Settings { hedging: true, ..settings() };
    let gateway = Gateway::new(settings, 7).expect("settings are sound");
    let mut rig = Rig { gateway, actions: Vec::new(), requests: 0 };
    let start = Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: servers(2).into() };
    let mut actions = rig.handle(born, start);
    // A request that ends before its second copy is due, and one that stays out.
    let (ended, more) = rig.arrive(born + 1.0, "read", "a");
    actions.extend(more);
    let first = sent_to(&actions).expect("it is sent");
    actions.extend(rig.done(born + 50.0, &ended, 0, Outcome::Success));
    let (_, more) = rig.arrive(born + 60.0, "read", "a");
    assert!(sent_to(&more).is_some());
    actions.extend(more);
    actions.retain(|a| matches!(a, Action::SetTimer { .. }));
    let (ticks, second) = play_timers(&mut rig, actions, born + 10_000.0);
    let second = second.unwrap_or_else(|| panic!("no second copy after one to {first}")) - born;
    assert!((600.0..1_000.0).contains(&second), "{second}");
    assert!(ticks <= 16, "{ticks} ticks in 10 s");
}

/// When the gateways of a large fleet, each with a request every 200 ms, send to a server that has just
/// started, beside warm ones that have room.
fn sends_to_cold(gateways: u32) -> Vec<f64> {
    let mut settings = settings();
    settings.gateways = gateways;
    settings.plans[0].rate = 1_000_000.0;
    settings.plans[0].burst = 1_000_000.0;
    let mut cold = member(1, 0, EndpointStatus::Ready);
    cold.started_at = Some(0.0);
    let warm = (2..=6).map(|id| member(id, 0, EndpointStatus::Ready));
    let members: Arc<[EndpointUpdate]> = std::iter::once(cold).chain(warm).collect();
    let mut sends = Vec::new();
    for rank in 0..gateways {
        let mut own = settings.clone();
        own.rank = rank;
        let mut gateway = Gateway::new(own, u64::from(rank)).expect("settings are sound");
        let mut actions = Vec::new();
        gateway.handle(
            0.0,
            Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: members.clone() },
            &mut actions,
        );
        let mut now = f64::from(rank * 7 % 200);
        while now < 4_000.0 {
            actions.clear();
            let request = format!("g{now}");
            gateway.handle(now, Event::RequestReceived(arrival(&request, "a", now, 1.0, 1)), &mut actions);
            let server = sent_to(&actions).expect("there is room");
            if server == 1 {
                sends.push(now);
            }
            let done = AttemptResult { endpoint: server, elapsed: 100.0, ..answer(&request) };
            gateway.handle(now, Event::AttemptFinished(done), &mut actions);
            now += 200.0;
        }
    }
    sends.sort_by(f64::total_cmp);
    sends
}

#[test]
fn a_large_fleet_uses_what_a_cold_server_can_take() {
    for gateways in [10, 30, 100] {
        let sends = sends_to_cold(gateways);
        // Three quarters of twice what it can do, one request of 100 ms at a time, at a mean warmth of 0.3.
        let fair = 4_000.0 / 100.0 * 0.75 * 2.0 * 0.3;
        assert!(sends.len() as f64 >= 0.7 * fair, "{gateways} gateways: {} of some {fair}", sends.len());
        // The window's own turns and one more of half its length, at the warmth of the end.
        let most = 1_000.0 / 100.0 * 2.0 * 0.42 * 0.75 * 1.5 + 1.0;
        let in_window = |from: &f64| sends.iter().filter(|t| (*from..from + 1_000.0).contains(t)).count();
        let worst = sends.iter().map(in_window).max().unwrap_or(0);
        assert!(worst as f64 <= most, "{gateways} gateways: {worst} in a window");
    }
}

#[test]
fn a_request_given_up_after_an_attempt_is_answered_at_once_with_a_retry_after() {
    let mut rig = Rig::new(settings(), servers(1));
    let (request, _) = rig.arrive(1.0, "read", "a");
    // Nobody is left to turn to: the only server drains.
    rig.list(2.0, EndpointListKind::Delta, vec![member(1, 0, EndpointStatus::Draining)]);
    let actions = rig.done(201.0, &request, 0, Outcome::Reset);
    let reason = RejectReason::AttemptsFailed;
    // A quarter of the 800 ms that are left of the aim.
    assert_eq!(actions, vec![Action::Reject { request, retry_after: 200.0, reason }]);
    // Where clients are not told, and once the aim has passed, there is no advice.
    for (told, end) in [(None, 201.0), (Some(1_000.0), 1_500.0)] {
        let mut rig = Rig::new(Settings { max_retry_after: told, ..settings() }, servers(1));
        let (request, _) = rig.arrive(1.0, "read", "a");
        rig.list(2.0, EndpointListKind::Delta, vec![member(1, 0, EndpointStatus::Draining)]);
        let actions = rig.done(end, &request, 0, Outcome::Reset);
        assert_eq!(actions, vec![Action::Reject { request, retry_after: 0.0, reason }]);
    }
}

/// Servers used by requests that come one at a time, `step` ms apart, of five that are all alike and answer
/// as was expected of them.
fn servers_used(handshake_price: f64, step: f64) -> usize {
    let settings =
        Settings { gateways: 1, handshake_cost: handshake_price, idle_timeout: Some(10_000.0), ..settings() };
    let mut rig = Rig::new(settings, servers(5));
    let mut used = std::collections::BTreeSet::new();
    for i in 0..40 {
        let now = step * f64::from(i + 1);
        let (request, actions) = rig.arrive(now, "read", &format!("c{i}"));
        used.insert(sent_to(&actions).expect("there is room"));
        rig.handle(now + 100.0, Event::AttemptFinished(AttemptResult { elapsed: 100.0, ..answer(&request) }));
    }
    used.len()
}

#[test]
fn a_server_with_a_connection_is_preferred_while_it_stands_and_connections_have_a_price() {
    assert_eq!(servers_used(0.08, 500.0), 1);
    assert_eq!(servers_used(0.0, 500.0), 5);
    // By the next request the connection has been closed as idle.
    assert_eq!(servers_used(0.08, 15_000.0), 5);
}

#[test]
fn a_busy_or_broken_connection_is_no_reason_to_stay() {
    let settings = Settings { handshake_cost: 0.08, idle_timeout: Some(10_000.0), ..settings() };
    let mut rig = Rig::new(settings, servers(2));
    let (first, actions) = rig.arrive(1.0, "read", "a");
    let home = sent_to(&actions).expect("there is room");
    // Its connection is taken, and a second one costs as much there as anywhere.
    assert_ne!(sent_to(&rig.arrive(2.0, "read", "b").1), Some(home));
    // A request that breaks goes on elsewhere, and its connection with it.
    assert_ne!(sent_to(&rig.done(50.0, &first, 0, Outcome::Reset)), Some(home));
}

#[test]
fn a_cold_server_that_would_be_too_late_leaves_the_request_to_a_warm_one() {
    let settings =
        Settings { gateways: 1, slow_start_initial_capacity: 0.02, overload_threshold: 20.0, ..settings() };
    let mut cold = member(1, 0, EndpointStatus::Ready);
    cold.started_at = Some(0.0);
    let mut rig = Rig::new(settings, vec![cold, member(2, 0, EndpointStatus::Ready)]);
    for i in 0..60 {
        let now = f64::from(i) * 10.0;
        let (request, actions) = rig.arrive(now, "read", &format!("c{i}"));
        // At a fiftieth of its pace the cold one needs more than the aim, and the other has room.
        assert!(sent_to(&actions).is_some());
        rig.done(now + 0.5, &request, 0, Outcome::Success);
    }
}

#[test]
fn classes_that_are_worth_nothing_are_served_all_the_same() {
    let mut settings = settings();
    settings.classes.iter_mut().for_each(|class| class.priority_weight = 0.0);
    let mut rig = Rig::new(settings, servers(2));
    for i in 0..10 {
        let now = f64::from(i) * 100.0;
        let (request, actions) = rig.arrive(now, "read", &format!("c{i}"));
        assert!(sent_to(&actions).is_some());
        rig.done(now + 50.0, &request, 0, Outcome::Success);
    }
}

/// How many gateways of a set send on the first request of one customer that comes to each of them.
fn first_requests(settings: &Settings, gateways: u32, retry: bool) -> usize {
    let sends = |rank: u32| {
        let own = Settings { gateways, rank, ..settings.clone() };
        let mut gateway = Gateway::new(own, rank.into()).expect("settings are sound");
        let mut actions = Vec::new();
        let list = Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: servers(9).into() };
        gateway.handle(0.0, list, &mut actions);
        let ask = IncomingRequest { is_retry: retry, ..arrival("r", "a", 1.0, 1.0, gateways) };
        gateway.handle(1.0, Event::RequestReceived(ask), &mut actions);
        sent_to(&actions).is_some()
    };
    (0..gateways).filter(|rank| sends(*rank)).count()
}

#[test]
fn a_part_of_a_wide_set_sends_on_for_a_customer_that_it_does_not_know() {
    let with = |meter_period: Option<f64>, retries_marked: bool, excess_cost: f64, rate: f64| {
        let mut settings = Settings { usage_report_period: meter_period, retries_marked, ..settings() };
        settings.plans[0].over_quota_cost = excess_cost;
        settings.plans[0].rate = rate;
        settings
    };
    for meter in [None, Some(1_000.0)] {
        let dear = with(meter, true, 1.0, 5.0);
        // The burst is 10: enough for one request at each of few gateways, and at each twentieth of many.
        assert_eq!(first_requests(&dear, 4, false), 4);
        assert_eq!(first_requests(&dear, 10, false), 10);
        let passed = first_requests(&dear, 200, false);
        assert!((100..140).contains(&passed), "{passed} of 200");
        // A marked retry has been refused once, wherever that was; elsewhere one may be a first.
        assert_eq!(first_requests(&dear, 200, true), 0);
        assert_eq!(first_requests(&dear, 10, true), 10);
        let unmarked = first_requests(&with(meter, false, 1.0, 5.0), 200, false);
        assert!((60..100).contains(&unmarked), "{unmarked} of 200");
        // Where an excess costs less, more is let through.
        assert!(first_requests(&with(meter, true, 0.5, 5.0), 200, false) > passed + 20);
        assert_eq!(first_requests(&with(meter, true, 0.0, 5.0), 200, false), 200);
    }
    // Where own stores soon tell, all pass without a meter.
    assert_eq!(first_requests(&with(None, true, 1.0, 50.0), 200, false), 200);
}

#[test]
fn who_comes_again_at_once_earns_no_more_of_a_first_share() {
    let settings = Settings { retries_marked: false, gateways: 200, ..settings() };
    let passes = |gap: f64| {
        let first = (0..200).filter(|rank| {
            let mut rig = Rig::new(settings.clone(), servers(9));
            rig.gateway =
                Gateway::new(Settings { rank: *rank, ..settings.clone() }, (*rank).into()).expect("sound");
            rig.list(0.0, EndpointListKind::Snapshot, servers(9));
            (0..3).any(|i| {
                let now = 1.0 + gap * f64::from(i);
                let ask = arrival(&format!("r{i}"), "a", now, 1.0, 200);
                sent_to(&rig.handle(now, Event::RequestReceived(ask))).is_some()
            })
        });
        first.count()
    };
    let (at_once, later) = (passes(300.0), passes(3_000.0));
    assert!((60..100).contains(&at_once), "{at_once} of 200");
    assert!(later >= 160, "{later} of 200");
}

/// Requests of a busy customer that one gateway of a wide set sends on, each answered with a reading.
fn sent_at_a_busy_gateway(percent: f64) -> usize {
    let settings = Settings { gateways: 200, ..settings() };
    let mut rig = Rig::new(settings, servers(9));
    (0..120)
        .filter(|i| {
            let now = f64::from(*i) * 500.0;
            let id = format!("b{i}");
            let sent =
                sent_to(&rig.handle(now, Event::RequestReceived(arrival(&id, "a", now, 1.0, 200)))).is_some();
            if sent {
                let mut done = answer(&id);
                done.usage_percent = Some(percent);
                rig.handle(now + 100.0, Event::AttemptFinished(done));
            }
            sent
        })
        .count()
}

#[test]
fn one_request_in_a_metered_period_is_no_large_part_of_a_wide_set() {
    // It asks for two a second, and the whole set of 200 may send 5. Readings tell that the set sends all of
    // them: the part of this gateway grows with what it sends, but not at the first reading.
    let sent = sent_at_a_busy_gateway(100.0);
    assert!((2..=24).contains(&sent), "{sent} of 120 in a minute");
}

#[test]
fn equal_servers_are_used_alike_by_one_steady_client() {
    const SERVERS: u32 = 28;
    const REQUESTS: u32 = 1200;
    for seed in 0..5 {
        let members = (0..SERVERS).map(|server| member(server, 0, EndpointStatus::Ready)).collect();
        let mut rig = Rig { gateway: gateway_of(settings(), seed), actions: Vec::new(), requests: 0 };
        rig.list(0.0, EndpointListKind::Snapshot, members);
        let mut used = [0; SERVERS as usize];
        for n in 0..REQUESTS {
            let now = f64::from(n) * 20.0;
            let (request, actions) = rig.arrive(now, "read", &format!("c{n}"));
            let server = sent_to(&actions).expect("there is room");
            used[server as usize] += 1;
            let done = AttemptResult {
                request,
                attempt: 0,
                endpoint: server,
                outcome: Outcome::Success,
                elapsed: 1.0,
                request_closed: true,
                usage_percent: None,
                has_usage_report: false,
                load: LoadReport::default(),
            };
            rig.handle(now + 1.0, Event::AttemptFinished(done));
        }
        let busiest = used.into_iter().max().unwrap_or(0);
        assert!(busiest <= 2 * REQUESTS / SERVERS, "{used:?}");
    }
}

#[test]
fn a_server_whose_connection_has_rested_is_preferred() {
    let settings = Settings {
        gateways: 1,
        handshake_cost: 0.1,
        idle_timeout: Some(10_000.0),
        connection_quarantine: 15.0,
        ..settings()
    };
    for seed in 0..20 {
        let mut rig = Rig { gateway: gateway_of(settings.clone(), seed), actions: Vec::new(), requests: 0 };
        rig.list(0.0, EndpointListKind::Snapshot, servers(2));
        // Two that are out at once open a connection to each server.
        let opened: Vec<_> = (0..2).map(|n| rig.arrive(0.0, "read", &format!("c{n}"))).collect();
        assert_ne!(sent_to(&opened[0].1), sent_to(&opened[1].1));
        opened.iter().for_each(|(request, _)| drop(rig.done(1.0, request, 0, Outcome::Success)));
        let mut ask = |now: f64| {
            let (request, actions) = rig.arrive(now, "read", &format!("c{now}"));
            let server = sent_to(&actions).expect("there is room");
            rig.done(now + 1.0, &request, 0, Outcome::Success);
            server
        };
        // Long before the end of the connections' lives, and longer than a rest after the last answer.
        for n in 0..20 {
            let now = 1_000.0 + 100.0 * f64::from(n);
            let used = ask(now);
            assert_ne!(ask(now + 5.0), used, "seed {seed}");
        }
    }
}
