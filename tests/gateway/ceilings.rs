//! Ceilings of plans, which must hold at all gateways together and across restarts.

use crate::harness::*;
use edge_gateway::*;

/// Capacity of the ceiling's token bucket at all gateways together, in units.
const CEILING_BURST: f64 = 12.0;
/// Refill rate of that bucket, in units per second.
const CEILING_RATE: f64 = 4.0;

/// Settings with a ceiling far below the quota, and a second plan, `plain`, without a ceiling.
fn settings_with_ceiling() -> Settings {
    let mut settings = settings_with_quota(50.0, 100.0);
    let plain = Plan { name: "plain".into(), ..settings.plans[0].clone() };
    settings.plans[0].ceiling_rate = CEILING_RATE;
    settings.plans[0].ceiling_burst = CEILING_BURST;
    settings.plans.push(plain);
    settings
}

/// Capacity of the deep ceiling's token bucket, in units. Its rate needs 15 s to fill it.
const DEEP_CEILING_BURST: f64 = 60.0;

/// [`settings_with_ceiling`] with [`DEEP_CEILING_BURST`].
fn settings_with_deep_ceiling() -> Settings {
    let mut settings = settings_with_ceiling();
    settings.plans[0].ceiling_burst = DEEP_CEILING_BURST;
    settings
}

/// A request of the plan without a ceiling.
fn incoming_without_ceiling(request: &str, customer: &str, now: Millis) -> IncomingRequest {
    IncomingRequest { plan: "plain".into(), ..incoming(request, customer, now) }
}

/// The ceiling's token bucket for all gateways together, which must never be overdrawn.
struct ExactBucket {
    units: f64,
    capacity: f64,
    taken: u32,
}

impl ExactBucket {
    fn full() -> Self {
        Self::full_with(CEILING_BURST)
    }

    fn full_with(capacity: f64) -> Self {
        Self { units: capacity, capacity, taken: 0 }
    }

    fn refill(&mut self, elapsed: Millis) {
        self.units = (self.units + CEILING_RATE * elapsed / 1_000.0).min(self.capacity);
    }

    fn take_one(&mut self) {
        self.units -= 1.0;
        self.taken += 1;
    }
}

#[test]
fn ceiling_bucket_starts_empty_without_meter() {
    // Without a meter nothing shows whether the gateway has restarted.
    let settings = Settings { usage_report_period: None, ..settings_with_ceiling() };
    let mut harness = Harness::new(settings, endpoints(9));
    let mut admitted = 0.0;
    for i in 0..2_000 {
        let now = f64::from(i) * 10.0;
        let (request, actions) = harness.receive(now, "read", "a");
        if is_forwarded(&actions) {
            admitted += 1.0;
            harness.finish(now + 5.0, &request, 0, Outcome::Success);
        }
        // One of two gateways may use half of the rate. The burst may have been used up before a restart.
        assert!(admitted <= 2.0 * now / 1000.0 + 1e-9, "{admitted} admitted until {now} ms");
    }
    assert!(admitted >= 38.0, "{admitted} admitted, the ceiling allows 40");
}

/// Interval between the requests to others that a gateway sends first.
const RESPONSE_INTERVAL: Millis = 10.0;

/// Returns how many of 40 requests a new gateway admits under a deep ceiling after these responses to others,
/// one each [`RESPONSE_INTERVAL`].
fn admitted_after_responses(responses: &[AttemptResult], usage_report_period: Option<Millis>) -> usize {
    let settings = Settings { usage_report_period, ..settings_with_deep_ceiling() };
    let mut harness = Harness::new(settings, endpoints(64));
    for (n, response) in responses.iter().enumerate() {
        let now = RESPONSE_INTERVAL * n as f64;
        let id = format!("o{n}");
        assert!(is_forwarded(&harness.receive_request(now, incoming_without_ceiling(&id, &id, now))));
        harness.finish_attempt(now + 5.0, AttemptResult { request: id.as_str().into(), ..response.clone() });
    }
    let now = RESPONSE_INTERVAL * responses.len() as f64;
    (0..40).filter(|_| is_forwarded(&harness.receive(now, "read", "b").1)).count()
}

/// Calls [`admitted_after_responses`] with successful responses that carry these usage percentages.
fn admitted_after_reports(reports: &[Option<f64>], usage_report_period: Option<Millis>) -> usize {
    let responses =
        reports.iter().map(|usage_percent| AttemptResult { usage_percent: *usage_percent, ..success("") });
    admitted_after_responses(&responses.collect::<Vec<_>>(), usage_report_period)
}

// A gateway gave out half of a full bucket as soon as four responses had no usage report, in each of its lives.
#[test]
fn ceiling_bucket_gets_startup_units_only_before_any_usage_report() {
    let responses_until = |until: Millis| (until / RESPONSE_INTERVAL) as usize + 2;
    let no_reports = |until: Millis| vec![None; responses_until(until)];
    // A meter with a period of 1 s has sent its first report 3 s after the start of the fleet at the latest.
    // Until then this gateway's slice of the burst of 60, which is 30, is given out evenly.
    for (until, admitted) in
        [(100.0, 1), (500.0, 5), (1_000.0, 10), (2_000.0, 20), (3_000.0, 30), (3_500.0, 30)]
    {
        assert_eq!(admitted_after_reports(&no_reports(until), Some(1_000.0)), admitted, "after {until} ms");
    }
    // The gateway may have restarted: only what has been refilled since its start, 2 units/s, is available.
    assert_eq!(admitted_after_reports(&no_reports(1_000.0), None), 2);
    let after_report = |percent: f64| {
        let mut reports = no_reports(1_000.0);
        reports[0] = Some(percent);
        admitted_after_reports(&reports, Some(1_000.0))
    };
    // A report of zero usage also shows that the meter was running before.
    assert_eq!((after_report(50.0), after_report(0.0)), (2, 2));
    // Three responses without a report prove nothing.
    assert_eq!(admitted_after_reports(&no_reports(10.0), Some(1_000.0)), 0);
}

#[test]
fn unusable_usage_report_counts_as_report_for_ceiling() {
    // Even an unusable report shows that the fleet has been running, so the ceiling may have been used up
    // before a restart of this gateway.
    let responses = vec![AttemptResult { has_usage_report: true, ..success("") }; 102];
    assert_eq!(admitted_after_responses(&responses, Some(1_000.0)), 2);
}

#[test]
fn ceiling_holds_across_restarts_before_first_usage_report() {
    let settings = settings_with_ceiling();
    let mut bucket = ExactBucket::full();
    // Both gateways restart once, before any usage report.
    for run in 0..2 {
        let start = 1_500.0 * f64::from(run);
        let mut gateways = [0, 1].map(|rank| {
            let settings = Settings { rank, ..settings.clone() };
            Harness::builder(settings).started_at(start).endpoints(endpoints(9)).build()
        });
        for i in 0..150 {
            let now = start + 10.0 * f64::from(i);
            bucket.refill(10.0);
            let harness = &mut gateways[i as usize % 2];
            // Responses to other customers, without usage reports.
            let other = format!("o{i}");
            if is_forwarded(&harness.receive_request(now, incoming_without_ceiling(&other, &other, now))) {
                harness.finish_attempt(now + 1.0, success(&other));
            }
            let (request, actions) = harness.receive(now + 1.0, "read", "a");
            if is_forwarded(&actions) {
                harness.finish(now + 5.0, &request, 0, Outcome::Success);
                bucket.take_one();
            }
            // The allowance of 0.2 units is a refill of 50 ms at 4 units/s, for the steps of the simulation.
            assert!(bucket.units >= -0.2, "the ceiling is exceeded at {now} ms: {} units", bucket.units);
        }
    }
    assert!(bucket.taken >= 12, "{} admitted, the ceiling allows 24", bucket.taken);
}

/// Plays two gateways with an endpoint that sends no usage report before `first_report`. The gateways are idle
/// for `idle`, then requests of the customer come all the time, and both restart after each `life`. The ceiling
/// must hold.
fn assert_ceiling_holds_across_restarts(idle: Millis, life: Millis, first_report: Millis) {
    const STEP: Millis = 5.0;
    let settings = settings_with_deep_ceiling();
    let start = |now: Millis| {
        [0, 1].map(|rank| {
            let settings = Settings { rank, ..settings.clone() };
            Harness::builder(settings).started_at(now).endpoints(endpoints(9)).build()
        })
    };
    let mut gateways = start(-idle);
    let mut bucket = ExactBucket::full_with(DEEP_CEILING_BURST);
    let mut next_restart = life;
    for step in 0..2_000 {
        let now = STEP * f64::from(step);
        bucket.refill(STEP);
        if now >= next_restart {
            gateways = start(now);
            next_restart += life;
        }
        let usage_percent = (now >= first_report).then_some(100.0);
        let harness = &mut gateways[step as usize % 2];
        let (other, request) = (format!("o{step}"), format!("r{step}"));
        if is_forwarded(&harness.receive_request(now, incoming_without_ceiling(&other, &other, now))) {
            harness.finish_attempt(now, AttemptResult { usage_percent, ..success(&other) });
        }
        if is_forwarded(&harness.receive_request(now, incoming(&request, "a", now))) {
            harness.finish_attempt(now, AttemptResult { usage_percent, ..success(&request) });
            bucket.take_one();
        }
        assert!(
            bucket.units >= -CEILING_RATE * STEP / 1_000.0,
            "idle {idle}, restart each {life} ms: {} units at {now} ms",
            bucket.units
        );
    }
}

// Each process filled the buckets of ceilings to a half, so that the second restart of a fleet without usage
// reports exceeded the ceiling.
#[test]
fn ceiling_holds_across_any_number_of_restarts_before_first_usage_report() {
    // A meter whose first period of 1 s is reported 0.8 to 1.5 s late.
    for first_report in [1_800.0, 2_500.0] {
        for idle in [0.0, 500.0, 5_000.0] {
            for life in [50.0, 120.0, 300.0, 600.0, 1_100.0, 1_700.0, 2_400.0, 1e9] {
                assert_ceiling_holds_across_restarts(idle, life, first_report);
            }
        }
    }
}

#[test]
fn backward_clock_step_does_not_refill_ceiling_bucket() {
    let mut harness = Harness::new(settings_with_ceiling(), endpoints(9));
    harness.receive(3_000.0, "read", "a");
    let mut admitted = 0;
    for i in 0..200 {
        let now = if i % 2 == 0 { 0.0 } else { 3_000.0 };
        admitted += u32::from(is_forwarded(&harness.receive(now, "read", "b").1));
    }
    assert!(admitted <= 6, "at most half of the burst of 12 expected, {admitted} admitted");
}

#[test]
fn late_usage_report_does_not_fill_ceiling_bucket() {
    // The customer's record expires while an attempt is in flight, and a report over 100 % in the response
    // creates a new one: its ceiling bucket must not be full.
    let settings = Settings { gateways: 6, ..settings_with_ceiling() };
    let mut harness = Harness::new(settings, endpoints(9));
    let with_spread = |request: IncomingRequest| IncomingRequest { gateway_spread: 6, ..request };
    harness.receive_request(10_000.0, with_spread(incoming("late", "a", 10_000.0)));
    for i in 1..5_000 {
        harness.tick(10_000.0 + f64::from(i) * 20.0);
    }
    harness.finish_attempt(110_000.0, success_with_report("late", 300.0));
    let is_admitted = |n: &u32| {
        let now = 110_001.0 + f64::from(*n);
        is_forwarded(&harness.receive_request(now, with_spread(incoming(&format!("b{n}"), "a", now))))
    };
    let admitted = (0..100).filter(is_admitted).count();
    assert!(admitted <= 2, "at most a sixth of the burst of 12 expected, {admitted} admitted");
}

#[test]
fn fleet_keeps_ceiling() {
    const GATEWAYS: u32 = 12;
    let settings = Settings { gateways: GATEWAYS, ..settings_with_ceiling() };
    let start = |rank: u32, seed: u64, now: Millis| {
        let settings = Settings { rank, ..settings.clone() };
        Harness::builder(settings).seed(seed).started_at(now).endpoints(endpoints(9)).build()
    };
    // With even traffic, and with most of it at three gateways. Some gateways restart half way.
    for uneven in [false, true] {
        let mut gateways: Vec<_> = (0..GATEWAYS).map(|rank| start(rank, u64::from(rank), 0.0)).collect();
        let mut rng = fastrand::Rng::with_seed(5);
        let mut bucket = ExactBucket::full();
        for i in 0..8_000 {
            let now = f64::from(i) * 5.0;
            bucket.refill(5.0);
            let rank = if uneven && rng.u8(..4) > 0 { rng.usize(..3) } else { rng.usize(..12) };
            if i % 4_000 < 4 {
                gateways[rank] = start(rank as u32, u64::from(i as u32), now);
            }
            let id = format!("n{i}");
            let request = IncomingRequest { gateway_spread: GATEWAYS, ..incoming(&id, "a", now) };
            if is_forwarded(&gateways[rank].receive_request(now, request)) {
                // The first usage report comes after 2 s; from then on each response carries one.
                let usage_percent = (now > 2_000.0).then_some(8.0);
                gateways[rank].finish_attempt(now + 1.0, AttemptResult { usage_percent, ..success(&id) });
                bucket.take_one();
            }
            assert!(bucket.units >= -1e-6, "the ceiling is exceeded at {now} ms: {} units", bucket.units);
        }
        assert!(bucket.taken >= 120, "{} admitted, the ceiling allows 172", bucket.taken);
    }
}
