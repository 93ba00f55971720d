//! Tests of the rules that the oracle checks itself: it reports observations that violate a rule, and only
//! those.

use super::*;
use crate::soak::settings::CLASSES;

const IDEMPOTENT: RequestClass = CLASSES[0];
const WITH_KEY: RequestClass = CLASSES[1];
const NOT_IDEMPOTENT: RequestClass = CLASSES[2];
const NODE: usize = 3;

fn oracle_with_request(class: RequestClass) -> Oracle {
    let oracle = Oracle::new(Parameters::new());
    oracle.request_started("r", class, NODE);
    oracle.request_written("r");
    oracle
}

/// Returns an attempt of the request at this endpoint, received now.
fn attempt_at(endpoint: &str) -> ReceivedAttempt {
    ReceivedAttempt {
        request: "r".to_owned(),
        received_at: Instant::now(),
        endpoint: endpoint.to_owned(),
        zone: "east".to_owned(),
        boot_ms: 0,
        deadline_ms: 1.0,
        units: 1.0,
        capped_customer: None,
    }
}

/// Returns the same attempt, received this much later.
fn later(attempt: ReceivedAttempt, delay: Duration) -> ReceivedAttempt {
    ReceivedAttempt { received_at: attempt.received_at + delay, ..attempt }
}

fn response(status: u16, headers: &str, body: &str) -> Message {
    Message::new(&format!("HTTP/1.1 {status} status"), headers, body)
}

fn violated_rules(oracle: &Oracle) -> Vec<Rule> {
    oracle.findings().violation_counts.into_keys().collect()
}

#[test]
fn a_request_that_is_served_once_violates_nothing() {
    let oracle = oracle_with_request(NOT_IDEMPOTENT);
    assert_eq!(oracle.attempt_received(&attempt_at("a")), Some(0));
    oracle.attempt_finished("r", 0, false);
    oracle.response_received("r", &response(200, "", "r by a"));
    assert!(oracle.was_forwarded("r"));
    assert_eq!(violated_rules(&oracle), []);
    assert_eq!(oracle.findings().occurrences[&Occurrence::Served], 1);
}

#[test]
fn a_response_that_no_endpoint_made_for_the_request_is_found() {
    for body in ["r by b", "s by a", ""] {
        let oracle = oracle_with_request(IDEMPOTENT);
        oracle.attempt_received(&attempt_at("a"));
        oracle.response_received("r", &response(200, "", body));
        assert_eq!(violated_rules(&oracle), [Rule::ResponseIntegrity], "{body}");
    }
    let oracle = Oracle::new(Parameters::new());
    assert_eq!(oracle.attempt_received(&attempt_at("a")), None);
    assert_eq!(violated_rules(&oracle), [Rule::ResponseIntegrity]);
}

#[test]
fn a_rejection_needs_a_retry_after() {
    let oracle = oracle_with_request(IDEMPOTENT);
    oracle.response_received("r", &response(503, "retry-after: 1", ""));
    assert_eq!(violated_rules(&oracle), []);
    oracle.response_received("r", &response(503, "", ""));
    assert_eq!(violated_rules(&oracle), [Rule::RetryAfter]);
}

#[test]
fn a_second_execution_is_checked_by_idempotency() {
    let seconds = |seconds| Duration::from_secs(seconds);
    let in_other_zone = ReceivedAttempt { zone: "west".to_owned(), ..attempt_at("b") };
    let cases = [
        (IDEMPOTENT, in_other_zone.clone(), None),
        (WITH_KEY, later(attempt_at("b"), seconds(1)), None),
        (WITH_KEY, later(attempt_at("b"), seconds(2)), Some(Rule::IdempotencyKey)),
        (WITH_KEY, in_other_zone, Some(Rule::IdempotencyKey)),
        (NOT_IDEMPOTENT, attempt_at("b"), Some(Rule::NotIdempotent)),
    ];
    for (class, second, expected) in cases {
        let oracle = oracle_with_request(class);
        oracle.attempt_received(&attempt_at("a"));
        oracle.attempt_finished("r", 0, false);
        oracle.attempt_received(&second);
        assert_eq!(violated_rules(&oracle), Vec::from_iter(expected), "{class:?} {second:?}");
    }
}

#[test]
fn an_attempt_after_a_rejection_by_an_endpoint_is_a_first_execution() {
    let oracle = oracle_with_request(NOT_IDEMPOTENT);
    oracle.attempt_received(&attempt_at("a"));
    oracle.attempt_finished("r", 0, true);
    oracle.attempt_received(&attempt_at("b"));
    assert_eq!(violated_rules(&oracle), []);
}

#[test]
fn attempts_after_the_end_of_the_request_are_found() {
    let second = Duration::from_secs(1);
    let oracle = oracle_with_request(IDEMPOTENT);
    oracle.client_disconnected("r");
    oracle.attempt_received(&attempt_at("a"));
    assert_eq!(violated_rules(&oracle), []);
    oracle.attempt_received(&later(attempt_at("a"), second));
    assert_eq!(violated_rules(&oracle), [Rule::ClientDisconnected]);

    let oracle = oracle_with_request(IDEMPOTENT);
    oracle.response_received("r", &response(504, "", ""));
    oracle.attempt_received(&attempt_at("a"));
    assert_eq!(violated_rules(&oracle), []);
    oracle.attempt_received(&later(attempt_at("a"), second));
    assert_eq!(violated_rules(&oracle), [Rule::AfterFinalResponse]);
}

#[test]
fn attempts_that_overlap_are_found() {
    let second = Duration::from_secs(1);
    for (age_of_second, expected) in [(Duration::ZERO, None), (second, Some(Rule::Overlap))] {
        let oracle = oracle_with_request(IDEMPOTENT);
        oracle.attempt_received(&attempt_at("a"));
        let received_at = Instant::now() - age_of_second;
        oracle.attempt_received(&ReceivedAttempt { received_at, ..attempt_at("b") });
        oracle.attempt_finished("r", 0, false);
        assert_eq!(violated_rules(&oracle), Vec::from_iter(expected));
    }
}

#[test]
fn a_deadline_beyond_the_time_left_is_found() {
    let oracle = oracle_with_request(IDEMPOTENT);
    let class_deadline_ms = IDEMPOTENT.deadline.as_secs_f64() * 1_000.0;
    oracle.attempt_received(&ReceivedAttempt { deadline_ms: class_deadline_ms, ..attempt_at("a") });
    assert_eq!(violated_rules(&oracle), []);
    oracle.attempt_received(&ReceivedAttempt { deadline_ms: class_deadline_ms + 200.0, ..attempt_at("a") });
    assert_eq!(violated_rules(&oracle), [Rule::Deadline]);
}

#[test]
fn attempts_after_the_notification_of_a_removal_are_found() {
    let second = Duration::from_secs(1);
    let oracle = oracle_with_request(IDEMPOTENT);
    oracle.removal_published(NODE, "a", Instant::now());
    oracle.removal_notified(NODE + 1, "a");
    oracle.attempt_received(&later(attempt_at("a"), second));
    assert_eq!(violated_rules(&oracle), []);
    // Without a notification, the node must know of the removal 6 s after it was published. The request's
    // deadline has passed by then.
    oracle.attempt_received(&later(attempt_at("a"), 7 * second));
    assert_eq!(violated_rules(&oracle), [Rule::Deadline, Rule::Drain]);

    let oracle = oracle_with_request(IDEMPOTENT);
    oracle.removal_notified(NODE, "a");
    oracle.attempt_received(&attempt_at("a"));
    assert_eq!(violated_rules(&oracle), []);
    oracle.attempt_received(&later(attempt_at("a"), second));
    assert_eq!(violated_rules(&oracle), [Rule::Drain]);
}

#[test]
fn a_new_process_of_node_or_endpoint_discards_earlier_notifications() {
    let second = Duration::from_secs(1);
    for new_process in
        [|oracle: &Oracle| oracle.node_started(NODE), |oracle: &Oracle| oracle.endpoint_started("a", 1)]
    {
        let oracle = oracle_with_request(IDEMPOTENT);
        oracle.removal_notified(NODE, "a");
        new_process(&oracle);
        oracle.attempt_received(&later(attempt_at("a"), second));
        assert_eq!(violated_rules(&oracle), []);
    }
}

#[test]
fn too_many_attempts_in_slow_start_are_found_once_and_only_from_notified_nodes() {
    for (notified, expected) in [(true, Some(&1)), (false, None)] {
        let oracle = oracle_with_request(IDEMPOTENT);
        oracle.endpoint_started("a", 1);
        if notified {
            oracle.start_notified(NODE, "a", 1);
        }
        let limit = Parameters::new().slow_start_limit(Duration::from_secs(1)) as usize;
        for _ in 0..limit + 10 {
            oracle.attempt_received(&ReceivedAttempt { boot_ms: 1, ..attempt_at("a") });
        }
        assert_eq!(oracle.findings().violation_counts.get(&Rule::SlowStart), expected);
    }
}

#[test]
fn a_ceiling_counts_each_request_once_and_is_found_when_overdrawn() {
    let parameters = Parameters::new();
    let oracle = Oracle::new(parameters);
    let max_units = parameters.ceiling_burst + parameters.ceiling_tolerance;
    let receive = |number: u32| {
        let request = format!("r{number}");
        oracle.request_started(&request, IDEMPOTENT, NODE);
        let capped_customer = Some("c".to_owned());
        let attempt = ReceivedAttempt { request, capped_customer, ..attempt_at("a") };
        oracle.attempt_received(&attempt);
        // A further attempt takes no units.
        oracle.attempt_received(&attempt);
    };
    (0..max_units as u32).for_each(receive);
    assert_eq!(oracle.findings().violation_counts.get(&Rule::Ceiling), None);
    (0..10).map(|number| 1_000 + number).for_each(receive);
    assert!(oracle.findings().violation_counts[&Rule::Ceiling] > 0);
}
