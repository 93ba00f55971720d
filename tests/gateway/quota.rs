//! Admission by quota without usage reports, or before the first one.

use crate::harness::*;
use edge_gateway::*;

#[test]
fn limits_burst_without_usage_reports() {
    let mut harness = Harness::new(settings(), endpoints(9));
    let mut admitted = 0;
    for i in 0..100 {
        let now = f64::from(i) * 10.0;
        let (request, actions) = harness.receive(now, "read", "a");
        if is_forwarded(&actions) {
            admitted += 1;
            harness.finish(now + 5.0, &request, 0, Outcome::Success);
        }
    }
    // At most the 15 units that rate and burst allow, and at least half of them at one of two gateways.
    assert!((7..=15).contains(&admitted), "burst 10 and 5 units/s for 1 s: {admitted} admitted");
}

#[test]
fn full_bucket_admits_any_request_at_many_gateways() {
    let mut settings = Settings { gateways: 11, ..settings() };
    settings.plans[0].burst = 5.0;
    let mut harness = Harness::new(settings, endpoints(9));
    let is_admitted = |n: &u32| {
        let now = f64::from(*n) * 1000.0;
        let id = format!("w{n}");
        let request = IncomingRequest { units: 4.0, gateway_spread: 11, ..incoming(&id, "a", now) };
        let actions = harness.receive_request(now, request);
        harness.finish(now + 5.0, &id.as_str().into(), 0, Outcome::Success);
        is_forwarded(&actions)
    };
    let admitted = (0..30).filter(is_admitted).count();
    assert!(admitted >= 4, "a full bucket must admit any request: {admitted} of 30 admitted");
}

#[test]
fn retry_after_lies_within_latency_objective() {
    let mut harness = Harness::new(settings(), endpoints(9));
    let retry_after = (0..100).find_map(|i| {
        let (_, actions) = harness.receive(f64::from(i), "read", "a");
        actions.iter().find_map(|action| match action {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
    });
    assert!(retry_after.is_some_and(|after| after > 0.0 && after < 1_000.0), "{retry_after:?}");
}

/// Returns how many gateways of a fleet forward the first request that they receive from a customer.
fn forwarded_first_requests(settings: &Settings, gateways: u32, is_retry: bool) -> usize {
    let is_forwarded_at = |rank: &u32| {
        let settings = Settings { gateways, rank: *rank, ..settings.clone() };
        let mut harness = Harness::builder(settings).seed(u64::from(*rank)).endpoints(endpoints(9)).build();
        let request = IncomingRequest { gateway_spread: gateways, is_retry, ..incoming("r", "a", 1.0) };
        is_forwarded(&harness.receive_request(1.0, request))
    };
    (0..gateways).filter(is_forwarded_at).count()
}

#[test]
fn some_of_many_gateways_forward_for_unknown_customer() {
    let settings_with =
        |usage_report_period: Option<Millis>, clients_mark_retries: bool, over_quota_cost: f64, rate: f64| {
            let mut settings = Settings { usage_report_period, clients_mark_retries, ..settings() };
            settings.plans[0].over_quota_cost = over_quota_cost;
            settings.plans[0].rate = rate;
            settings
        };
    for period in [None, Some(1_000.0)] {
        let settings = settings_with(period, true, 1.0, 5.0);
        // The burst of 10 covers one request at each of 10 gateways, but only at one in 20 of 200. At 200 the
        // initial admission share is 0.6.
        assert_eq!(forwarded_first_requests(&settings, 4, false), 4);
        assert_eq!(forwarded_first_requests(&settings, 10, false), 10);
        let forwarded = forwarded_first_requests(&settings, 200, false);
        assert!((100..140).contains(&forwarded), "{forwarded} of 200 gateways");
        // Another gateway has already rejected a marked retry. Without marks, any request may be a retry, and
        // the initial admission share is only 0.4.
        assert_eq!(forwarded_first_requests(&settings, 200, true), 0);
        assert_eq!(forwarded_first_requests(&settings, 10, true), 10);
        let unmarked = forwarded_first_requests(&settings_with(period, false, 1.0, 5.0), 200, false);
        assert!((60..100).contains(&unmarked), "{unmarked} of 200 gateways");
        // The lower the cost of requests over quota, the more are forwarded.
        assert!(
            forwarded_first_requests(&settings_with(period, true, 0.5, 5.0), 200, false) > forwarded + 20
        );
        assert_eq!(forwarded_first_requests(&settings_with(period, true, 0.0, 5.0), 200, false), 200);
    }
    // Without a meter, all are forwarded if each gateway's own token bucket refills fast enough to enforce
    // the quota.
    assert_eq!(forwarded_first_requests(&settings_with(None, true, 1.0, 50.0), 200, false), 200);
}

/// Returns how many gateways of a fleet of 200 forward at least one of three requests, sent `gap` apart.
fn gateways_that_forward(settings: &Settings, gap: Millis) -> usize {
    let forwards = |rank: &u32| {
        let settings = Settings { rank: *rank, ..settings.clone() };
        let mut harness = Harness::builder(settings).seed(u64::from(*rank)).endpoints(endpoints(9)).build();
        (0..3).any(|i| {
            let now = 1.0 + gap * f64::from(i);
            let request = IncomingRequest { gateway_spread: 200, ..incoming(&format!("r{i}"), "a", now) };
            is_forwarded(&harness.receive_request(now, request))
        })
    };
    (0..200).filter(forwards).count()
}

#[test]
fn immediate_retries_do_not_count_as_new_requests() {
    // Clients do not mark retries: a request soon after another one of its customer is taken for its retry.
    let settings = Settings { clients_mark_retries: false, gateways: 200, ..settings() };
    let immediate = gateways_that_forward(&settings, 300.0);
    let later = gateways_that_forward(&settings, 3_000.0);
    assert!((60..100).contains(&immediate), "{immediate} of 200 gateways");
    assert!(later >= 160, "{later} of 200 gateways");
}
