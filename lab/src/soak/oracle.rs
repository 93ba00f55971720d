//! The oracle, which checks what clients, endpoints and discovery agents observe against the rules.

mod ceiling;
mod findings;
mod notifications;
mod request_history;
mod rule;

use super::http::Message;
use super::settings::{Parameters, RequestClass};
use ceiling::Ceilings;
use notifications::Notifications;
use request_history::RequestHistory;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

pub use findings::{Findings, Occurrence};
pub use request_history::{response_body, ReceivedAttempt};
pub use rule::{Rule, Violation};

/// Tolerated scheduling delay of the tasks that report observations, since all share one busy machine.
const SCHEDULING_TOLERANCE: Duration = Duration::from_millis(120);

struct State {
    /// Histories of all requests, by id.
    requests: HashMap<String, RequestHistory>,
    notifications: Notifications,
    ceilings: Ceilings,
    findings: Findings,
}

impl State {
    fn record_violations(&mut self, violations: impl IntoIterator<Item = Violation>) {
        violations.into_iter().for_each(|violation| self.findings.record(violation));
    }
}

/// Collects and checks the observations of one run.
pub struct Oracle {
    parameters: Parameters,
    state: Mutex<State>,
}

impl Oracle {
    /// Creates the oracle of a run that starts now.
    pub fn new(parameters: Parameters) -> Self {
        let state = State {
            requests: HashMap::new(),
            notifications: Notifications::default(),
            ceilings: Ceilings::default(),
            findings: Findings::new(),
        };
        Self { parameters, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the findings so far.
    pub fn findings(&self) -> Findings {
        self.state().findings.clone()
    }

    /// Counts an occurrence for the report of the run.
    pub fn count(&self, occurrence: Occurrence) {
        self.state().findings.count(occurrence);
    }

    /// Records a violation that the caller has detected itself.
    pub fn report_violation(&self, rule: Rule, detail: impl Into<String>) {
        self.state().findings.record(Violation::new(rule, detail));
    }

    /// Records that a client is about to write a request to a node.
    pub fn request_started(&self, id: &str, class: RequestClass, node: usize) {
        self.state().requests.insert(id.to_owned(), RequestHistory::new(class, node));
    }

    /// Records that the last byte of a request was written.
    pub fn request_written(&self, id: &str) {
        if let Some(request) = self.state().requests.get_mut(id) {
            request.request_written();
        }
    }

    /// Records that the client of a request has closed its connection.
    pub fn client_disconnected(&self, id: &str) {
        if let Some(request) = self.state().requests.get_mut(id) {
            request.client_disconnected();
        }
    }

    /// Whether an endpoint has received an attempt of a request.
    pub fn was_forwarded(&self, id: &str) -> bool {
        self.state().requests.get(id).is_some_and(|request| request.attempt_count() > 0)
    }

    /// Records and checks a complete response that a client has received.
    pub fn response_received(&self, id: &str, response: &Message) {
        let mut state = self.state();
        let Some(request) = state.requests.get_mut(id) else { return };
        let violations = request.response_received(id, response);
        state.record_violations(violations);
        state.findings.count(Occurrence::of_status(response.status()));
    }

    /// Records and checks a complete attempt that an endpoint has received. Returns its index among the
    /// attempts of the request, or `None` if no client has sent this request.
    pub fn attempt_received(&self, attempt: &ReceivedAttempt) -> Option<usize> {
        let mut state = self.state();
        let Some(request) = state.requests.get_mut(&attempt.request) else {
            let detail = format!("{}: received by an endpoint, but no client sent it", attempt.request);
            state.findings.record(Violation::new(Rule::ResponseIntegrity, detail));
            return None;
        };
        let (node, index) = (request.node, request.attempt_count());
        let violations = request.attempt_received(attempt);
        state.record_violations(violations);
        let violation = state.notifications.check_drain(node, attempt);
        state.record_violations(violation);
        let violation = state.notifications.check_slow_start(node, attempt, &self.parameters);
        state.record_violations(violation);
        // A request takes its units once, regardless of the number of its attempts.
        if let Some(customer) = attempt.capped_customer.as_ref().filter(|_| index == 0) {
            let violation = state.ceilings.take(customer, attempt.units, &self.parameters);
            state.record_violations(violation);
        }
        state.findings.count(Occurrence::Attempt);
        Some(index)
    }

    /// Records that an attempt has ended: its response was written, or its connection was closed.
    pub fn attempt_finished(&self, id: &str, index: usize, rejected: bool) {
        let mut state = self.state();
        let Some(request) = state.requests.get_mut(id) else { return };
        let violation = request.attempt_finished(id, index, rejected);
        state.record_violations(violation);
    }

    /// Records that the endpoint list shows an endpoint as draining or removed, and that the node's agent
    /// could have told the node since `reachable_since`.
    pub fn removal_published(&self, node: usize, endpoint: &str, reachable_since: Instant) {
        self.state().notifications.removal_published(node, endpoint, reachable_since);
    }

    /// Records that a node's agent has just told it that an endpoint is draining or removed.
    pub fn removal_notified(&self, node: usize, endpoint: &str) {
        self.state().notifications.removal_notified(node, endpoint, Instant::now());
    }

    /// Records that a node's agent has just told it that an endpoint is serving since a start at `boot_ms`.
    pub fn start_notified(&self, node: usize, endpoint: &str, boot_ms: u64) {
        self.state().notifications.start_notified(node, endpoint, boot_ms);
    }

    /// Records that a node has a new process, which has not been notified of anything yet.
    pub fn node_started(&self, node: usize) {
        self.state().notifications.node_started(node);
    }

    /// Records that an endpoint's process has restarted at `boot_ms` (Unix time) and is in slow start.
    pub fn endpoint_started(&self, endpoint: &str, boot_ms: u64) {
        self.state().notifications.endpoint_started(endpoint, boot_ms);
    }
}

#[cfg(test)]
mod tests;
