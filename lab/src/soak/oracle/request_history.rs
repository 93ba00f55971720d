//! The history of one request at its client and at endpoints, and the rules on its attempts and response.

use super::rule::{Rule, Violation};
use super::SCHEDULING_TOLERANCE;
use crate::soak::http::Message;
use crate::soak::settings::{Idempotency, RequestClass};
use std::time::{Duration, Instant};

/// Time after the client's disconnection for which attempts may still start.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// Time after the deadline within which a response may still come.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Milliseconds by which the deadline sent to an endpoint may exceed the time left.
const DEADLINE_TOLERANCE_MS: f64 = 150.0;
/// Time for which two attempts of a request may overlap, as the end of a connection is noticed with a delay.
const OVERLAP_GRACE: Duration = Duration::from_millis(150);
/// A rejection needs a Retry-After only if this time is left until the latency objective.
const USEFUL_RETRY_TIME: Duration = Duration::from_millis(200);

/// An attempt as an endpoint has received it.
#[derive(Clone, Debug)]
pub struct ReceivedAttempt {
    /// Id of the request.
    pub request: String,
    /// When the first byte of the attempt was received.
    pub received_at: Instant,
    /// Id of the endpoint.
    pub endpoint: String,
    /// Zone of the endpoint.
    pub zone: String,
    /// Start of the endpoint's process in Unix time, in milliseconds; 0 if it started long ago.
    pub boot_ms: u64,
    /// The deadline sent with the attempt, in milliseconds.
    pub deadline_ms: f64,
    /// Units that the request consumes.
    pub units: f64,
    /// The customer if it has a ceiling, otherwise `None`.
    pub capped_customer: Option<String>,
}

/// An attempt in the history of its request.
struct Attempt {
    endpoint: String,
    zone: String,
    started_at: Instant,
    /// Whether the endpoint rejected the attempt without execution.
    rejected: bool,
}

/// The history of one valid request.
pub struct RequestHistory {
    /// The node to which the client sent the request.
    pub node: usize,
    class: RequestClass,
    /// When the last byte was written; until then, when the client began to write.
    sent_at: Instant,
    disconnected_at: Option<Instant>,
    responded_at: Option<Instant>,
    attempts: Vec<Attempt>,
}

impl RequestHistory {
    /// Starts the history of a request that is about to be sent to a node.
    pub fn new(class: RequestClass, node: usize) -> Self {
        Self {
            node,
            class,
            sent_at: Instant::now(),
            disconnected_at: None,
            responded_at: None,
            attempts: Vec::new(),
        }
    }

    /// Records that the last byte of the request was written.
    pub fn request_written(&mut self) {
        self.sent_at = Instant::now();
    }

    /// Records that the client has closed its connection.
    pub fn client_disconnected(&mut self) {
        self.disconnected_at = Some(Instant::now());
    }

    /// Returns the number of attempts so far.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Records and checks a complete response that the client has received.
    pub fn response_received(&mut self, id: &str, response: &Message) -> Vec<Violation> {
        let now = Instant::now();
        self.responded_at = Some(now);
        let checks = [
            self.check_response_time(id, now),
            self.check_integrity(id, response),
            self.check_retry_after(id, response),
        ];
        checks.into_iter().flatten().collect()
    }

    fn check_response_time(&self, id: &str, now: Instant) -> Option<Violation> {
        let late = now.saturating_duration_since(self.sent_at + self.class.deadline);
        let violated = late > RESPONSE_GRACE + SCHEDULING_TOLERANCE;
        let detail = || format!("{id}: response {late:?} after the deadline");
        violated.then(|| Violation::new(Rule::FinalResponse, detail()))
    }

    fn check_integrity(&self, id: &str, response: &Message) -> Option<Violation> {
        let is_body_of = |attempt: &Attempt| response.body == response_body(id, &attempt.endpoint).as_bytes();
        let violated = response.status() == 200 && !self.attempts.iter().any(is_body_of);
        let body = String::from_utf8_lossy(&response.body);
        let detail = || format!("{id}: no endpoint sent the response body '{body}'");
        violated.then(|| Violation::new(Rule::ResponseIntegrity, detail()))
    }

    fn check_retry_after(&self, id: &str, response: &Message) -> Option<Violation> {
        let rejected = matches!(response.status(), 429 | 503);
        let elapsed = self.sent_at.elapsed();
        let expected = elapsed + USEFUL_RETRY_TIME < self.class.latency_objective;
        let violated = rejected && expected && response.header("retry-after").is_none();
        let detail = || format!("{id}: rejected after {elapsed:?} without Retry-After");
        violated.then(|| Violation::new(Rule::RetryAfter, detail()))
    }

    /// Records and checks an attempt that an endpoint has received.
    pub fn attempt_received(&mut self, attempt: &ReceivedAttempt) -> Vec<Violation> {
        let checks = [
            self.check_after_disconnect(attempt),
            self.check_after_response(attempt),
            self.check_deadline(attempt),
            self.check_idempotency(attempt),
        ];
        self.attempts.push(Attempt {
            endpoint: attempt.endpoint.clone(),
            zone: attempt.zone.clone(),
            started_at: attempt.received_at,
            rejected: false,
        });
        checks.into_iter().flatten().collect()
    }

    fn check_after_disconnect(&self, attempt: &ReceivedAttempt) -> Option<Violation> {
        let late = attempt.received_at.checked_duration_since(self.disconnected_at?)?;
        let violated = late > DISCONNECT_GRACE + SCHEDULING_TOLERANCE;
        let detail = || format!("{}: attempt {late:?} after its client had disconnected", attempt.request);
        violated.then(|| Violation::new(Rule::ClientDisconnected, detail()))
    }

    fn check_after_response(&self, attempt: &ReceivedAttempt) -> Option<Violation> {
        let late = attempt.received_at.checked_duration_since(self.responded_at?)?;
        let detail = || format!("{}: attempt {late:?} after its response", attempt.request);
        (late > SCHEDULING_TOLERANCE).then(|| Violation::new(Rule::AfterFinalResponse, detail()))
    }

    fn check_deadline(&self, attempt: &ReceivedAttempt) -> Option<Violation> {
        let elapsed = attempt.received_at.saturating_duration_since(self.sent_at);
        let time_left_ms = (self.class.deadline.as_secs_f64() - elapsed.as_secs_f64()) * 1_000.0;
        let deadline_ms = attempt.deadline_ms;
        let violated = deadline_ms > time_left_ms + DEADLINE_TOLERANCE_MS;
        let detail =
            || format!("{}: deadline {deadline_ms:.0} ms with {time_left_ms:.0} ms left", attempt.request);
        violated.then(|| Violation::new(Rule::Deadline, detail()))
    }

    /// Checks an attempt against the first earlier one that may have been executed.
    fn check_idempotency(&self, attempt: &ReceivedAttempt) -> Option<Violation> {
        let id = &attempt.request;
        let first = self.attempts.iter().find(|attempt| !attempt.rejected)?;
        match self.class.idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NotIdempotent => Some(Violation::new(
                Rule::NotIdempotent,
                format!("{id}: attempts at {} and {}", first.endpoint, attempt.endpoint),
            )),
            Idempotency::WithKey { window } => {
                let elapsed = attempt.received_at.saturating_duration_since(first.started_at);
                let violated = first.zone != attempt.zone || elapsed > window + SCHEDULING_TOLERANCE;
                let (from, to) = (&first.zone, &attempt.zone);
                let detail = || format!("{id}: attempts in zones {from} and {to}, {elapsed:?} apart");
                violated.then(|| Violation::new(Rule::IdempotencyKey, detail()))
            }
        }
    }

    /// Records that an attempt has ended: its response was written, or its connection was closed. Checks that
    /// the next attempt did not start more than `OVERLAP_GRACE` before this end.
    pub fn attempt_finished(&mut self, id: &str, index: usize, rejected: bool) -> Option<Violation> {
        self.attempts.get_mut(index)?.rejected = rejected;
        let next = self.attempts.get(index + 1)?;
        let overlap = next.started_at.elapsed();
        let detail = || format!("{id}: two attempts were in flight at once for {overlap:?}");
        (overlap > OVERLAP_GRACE).then(|| Violation::new(Rule::Overlap, detail()))
    }
}

/// Returns the body of an endpoint's response to a request, which is different for each such pair.
pub fn response_body(request: &str, endpoint: &str) -> String {
    format!("{request} by {endpoint}")
}
