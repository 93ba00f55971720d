//! Effect of usage reports on admission.

use crate::harness::*;
use edge_gateway::*;

/// Returns how many requests are admitted if one arrives every `interval` for `duration`. Each response comes
/// after 5 ms and reports that the customer uses `usage_percent` of its rate at all gateways.
fn admitted_with_reports(
    harness: &mut Harness,
    start: Millis,
    duration: Millis,
    interval: Millis,
    usage_percent: f64,
) -> u32 {
    let mut admitted = 0;
    let mut now = start;
    while now < start + duration {
        let (request, actions) = harness.receive(now, "read", "a");
        if is_forwarded(&actions) {
            admitted += 1;
            harness.finish_attempt(now + 5.0, success_with_report(&request, usage_percent));
        }
        now += interval;
    }
    admitted
}

#[test]
fn reports_over_quota_reduce_admission_until_usage_falls() {
    // 4 requests/s, of one unit each, stay within the quota of 5 units/s. Only the usage reports show that
    // other gateways forward requests of the customer as well.
    let mut harness = Harness::new(settings(), endpoints(9));
    admitted_with_reports(&mut harness, 0.0, 8_000.0, 250.0, 400.0);
    let reduced = admitted_with_reports(&mut harness, 8_000.0, 4_000.0, 250.0, 400.0);
    assert!(reduced <= 6, "at four times the quota about a quarter of 16 expected, {reduced} admitted");
    admitted_with_reports(&mut harness, 12_000.0, 30_000.0, 250.0, 40.0);
    let restored = admitted_with_reports(&mut harness, 42_000.0, 4_000.0, 250.0, 80.0);
    assert_eq!(restored, 16, "all must be admitted under the quota");
}

#[test]
fn usage_reports_expire() {
    let mut harness = Harness::new(settings(), endpoints(9));
    admitted_with_reports(&mut harness, 0.0, 10_000.0, 250.0, 400.0);
    // No more usage reports arrive; the last one must not limit admission forever.
    let mut admitted = 0;
    for i in 0..16 {
        let now = 30_000.0 + f64::from(i) * 1_000.0;
        let (request, actions) = harness.receive(now, "read", "a");
        if is_forwarded(&actions) {
            admitted += 1;
            harness.finish(now + 5.0, &request, 0, Outcome::Success);
        }
    }
    assert!(admitted >= 14, "{admitted} of 16 admitted");
}

#[test]
fn usage_report_holds_until_next_request_at_many_gateways() {
    // With a quota of 5 units/s at 20 gateways, each may forward a request every 4 s. This gateway receives
    // one only every 10 s, and the admission share from the last report must hold until then.
    let mut harness = Harness::new(Settings { gateways: 20, ..settings() }, endpoints(9));
    let is_admitted = |i: &u32| {
        let now = f64::from(*i) * 10_000.0;
        let id = format!("w{i}");
        let request = IncomingRequest { gateway_spread: 20, ..incoming(&id, "a", now) };
        let actions = harness.receive_request(now, request);
        harness.finish_attempt(now + 50.0, success_with_report(&id, 400.0));
        is_forwarded(&actions)
    };
    let admitted = (0..12).filter(is_admitted).count();
    assert!(admitted <= 8, "at four times the quota {admitted} of 12 admitted");
}

/// Returns how many of 120 requests in a minute one of 200 gateways forwards. Each response reports that the
/// customer uses `usage_percent` of its rate at all gateways.
fn forwarded_at_busy_gateway(usage_percent: f64) -> usize {
    let mut harness = Harness::new(Settings { gateways: 200, ..settings() }, endpoints(9));
    let forwards = |i: &u32| {
        let now = f64::from(*i) * 500.0;
        let id = format!("b{i}");
        let request = IncomingRequest { gateway_spread: 200, ..incoming(&id, "a", now) };
        let is_forwarded = is_forwarded(&harness.receive_request(now, request));
        if is_forwarded {
            let result = AttemptResult { usage_percent: Some(usage_percent), ..success(&id) };
            harness.finish_attempt(now + 100.0, result);
        }
        is_forwarded
    };
    (0..120).filter(forwards).count()
}

#[test]
fn single_report_does_not_raise_traffic_fraction() {
    // The customer sends 2 requests/s to this gateway. All 200 gateways together may forward 5 units/s, and
    // the reports of 100 % show that they do. An even slice of that is 1.5 units a minute at each, so that 2
    // is the least expected here. The first report shows that 1 of 5 units of its period was forwarded here:
    // if that set this gateway's fraction of the traffic, it would forward 1 request/s, 60 in the minute.
    let forwarded = forwarded_at_busy_gateway(100.0);
    assert!((2..=24).contains(&forwarded), "{forwarded} of 120 forwarded in a minute");
}
