//! The exact records of customers: their number is limited, and no limit of a customer is lost with them.

use crate::harness::*;
use edge_gateway::*;

/// Maximum number of records in these tests.
const MAX_RECORDS: usize = 1024;
/// Number of customers whose requests come one after another: many times the maximum.
const CUSTOMERS: usize = 20 * MAX_RECORDS;
/// Units of a request that exceeds the even slice of its customer's burst, so that it needs a record.
const UNITS_OVER_SLICE: f64 = 6.0;

fn settings_with_max_records() -> Settings {
    Settings { max_tracked_customers: Some(MAX_RECORDS), ..settings() }
}

/// A request that needs an exact record, and has too little time left to be forwarded.
fn hopeless_request(id: &str, customer: &str, now: Millis) -> IncomingRequest {
    IncomingRequest { units: UNITS_OVER_SLICE, deadline: now + 1.0, ..incoming(id, customer, now) }
}

/// Sends a request for each of [`CUSTOMERS`] customers within a second. None of the requests is forwarded.
fn send_hopeless_requests(harness: &mut Harness, start: Millis) {
    for n in 0..CUSTOMERS {
        let now = start + 1_000.0 * n as f64 / CUSTOMERS as f64;
        let name = format!("flood-{start}-{n}");
        assert!(is_rejected(&harness.receive_request(now, hopeless_request(&name, &name, now))));
    }
}

/// Returns the number of customers in the status summary that the gateway logs at `now`.
fn logged_customers(harness: &mut Harness, now: Millis) -> usize {
    let summary = harness.tick(now).into_iter().find_map(|action| match action {
        Action::Log(summary) => Some(summary.customers),
        _ => None,
    });
    summary.expect("no status summary")
}

// Each customer that was named got a record that was kept for seconds, without any limit on their number.
#[test]
fn records_of_customers_are_limited_in_number() {
    let mut harness = Harness::new(settings_with_max_records(), endpoints(9));
    send_hopeless_requests(&mut harness, 0.0);
    let customers = logged_customers(&mut harness, 1_000.0);
    assert!(customers <= MAX_RECORDS, "{customers} records");
}

/// Returns how many of 20 requests are forwarded for a customer whose usage was reported to be three times its
/// rate, with or without requests of many other customers in between.
fn forwarded_after_report(has_flood: bool) -> usize {
    const REPORTED_PERCENT: f64 = 300.0;
    let mut harness = Harness::new(settings_with_max_records(), endpoints(9));
    let send = |harness: &mut Harness, now: Millis| {
        let (id, actions) = harness.receive(now, "read", "heavy");
        let is_admitted = is_forwarded(&actions);
        if is_admitted {
            harness.finish_attempt(now + 5.0, success_with_report(&id, REPORTED_PERCENT));
        }
        is_admitted
    };
    for n in 0..20 {
        send(&mut harness, 1_000.0 + 100.0 * f64::from(n));
    }
    if has_flood {
        send_hopeless_requests(&mut harness, 3_000.0);
    }
    (0..20).filter(|n| send(&mut harness, 4_001.0 + 100.0 * f64::from(*n))).count()
}

// Requests of many other customers must not make the gateway forget what a customer has used.
#[test]
fn flood_of_customers_resets_no_quota() {
    let forwarded = forwarded_after_report(false);
    assert!((1..20).contains(&forwarded), "{forwarded} of 20 requests forwarded");
    assert_eq!(forwarded_after_report(true), forwarded);
}

/// Settings with a ceiling that refills slowly, and a quota that is no limit.
fn settings_with_slow_ceiling() -> Settings {
    let mut settings = Settings { usage_report_period: None, ..settings_with_max_records() };
    settings.plans[0] =
        Plan { rate: 50.0, burst: 100.0, ceiling_rate: 0.5, ceiling_burst: 4.0, ..settings.plans[0].clone() };
    settings
}

/// Sends requests for a customer, and returns how many are forwarded.
fn forwarded_requests(harness: &mut Harness, name: &str, count: usize, now: Millis) -> usize {
    let is_forwarded_request = |n: &usize| {
        let id = format!("{name}-{now}-{n}");
        let is_admitted = is_forwarded(&harness.receive_request(now, incoming(&id, name, now)));
        if is_admitted {
            harness.finish_attempt(now, success(&id));
        }
        is_admitted
    };
    (0..count).filter(is_forwarded_request).count()
}

// A record that was dropped would give its customer the whole ceiling a second time.
#[test]
fn flood_of_customers_resets_no_ceiling() {
    let mut harness = Harness::new(settings_with_slow_ceiling(), endpoints(9));
    // The buckets of the ceiling start empty and are full after 8 s.
    harness.receive_request(0.0, incoming("first", "other", 0.0));
    let start = 20_000.0;
    assert_eq!(forwarded_requests(&mut harness, "heavy", 10, start), 2);
    send_hopeless_requests(&mut harness, start + 1.0);
    assert_eq!(forwarded_requests(&mut harness, "heavy", 10, start + 1_002.0), 0);
}

// With more customers in the ceiling than records, further ones are rejected rather than served uncounted.
#[test]
fn ceilings_hold_with_more_customers_than_records() {
    let mut harness = Harness::new(settings_with_slow_ceiling(), endpoints(64));
    harness.receive_request(0.0, incoming("first", "other", 0.0));
    let start = 20_000.0;
    let mut forwarded = vec![0; 2 * MAX_RECORDS];
    for round in 0..3 {
        let now = start + f64::from(round);
        for (n, forwarded) in forwarded.iter_mut().enumerate() {
            *forwarded += forwarded_requests(&mut harness, &format!("c{n}"), 1, now);
        }
    }
    assert!(forwarded.iter().all(|count| *count <= 2));
    let served = forwarded.iter().filter(|count| **count == 2).count();
    assert!((MAX_RECORDS - 8..=MAX_RECORDS).contains(&served), "{served} customers served");
    // They are served once the records have expired.
    harness.tick(start + 20_000.0);
    let now = start + 20_001.0;
    assert_eq!(forwarded_requests(&mut harness, &format!("c{}", 2 * MAX_RECORDS - 1), 1, now), 1);
}
