//! Counters of what this process has done and why, in the text format of Prometheus.
//! [`super::metrics_server`] serves them.

use crate::answer::Answer;
use edge_gateway::attempt_policy::AttemptDenied;
use edge_gateway::{Outcome, RejectReason};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use std::sync::LazyLock;

/// The counters of this process.
pub static METRICS: LazyLock<Metrics> = LazyLock::new(Metrics::new);

/// One label with its value.
type Label = [(&'static str, &'static str); 1];
/// Counters of one name, one for each value of the label.
type Counters = Family<Label, Counter>;

/// An invariant that this node has violated, as far as it can tell itself. None should ever be counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A connection with an open request was closed, and not by its client.
    ClosedOpenRequest,
    /// A request was answered well after the time at which its deadline guard answers at the latest.
    LateAnswer,
    /// The process exits with requests unanswered.
    UnansweredAtEnd,
}

impl Violation {
    fn name(self) -> &'static str {
        match self {
            Violation::ClosedOpenRequest => "closed_open_request",
            Violation::LateAnswer => "late_answer",
            Violation::UnansweredAtEnd => "unanswered_at_end",
        }
    }
}

/// Why a client connection was requested to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It was idle, or without a complete request, for too long.
    Timeout,
    /// It was evicted to free capacity.
    ConnectionLimit,
    /// The node is shutting down.
    Shutdown,
}

impl CloseReason {
    fn name(self) -> &'static str {
        match self {
            CloseReason::Timeout => "timeout",
            CloseReason::ConnectionLimit => "connection_limit",
            CloseReason::Shutdown => "shutdown",
        }
    }
}

/// All counters.
pub struct Metrics {
    registry: Registry,
    answers: Counters,
    rejections: Counters,
    attempts: Counters,
    attempts_denied: Counters,
    client_connections_closed: Counters,
    discovery_calls: Counters,
    accept_failures: Counters,
    violations: Counters,
}

impl Metrics {
    fn new() -> Self {
        let mut registry = Registry::with_prefix("edge_gateway");
        let mut counters = |name: &str, help: &str| {
            let counters = Counters::default();
            registry.register(name, help, counters.clone());
            counters
        };
        Self {
            answers: counters("answers", "Final answers to requests, and clients that disconnected before"),
            rejections: counters("rejections", "Rejected requests by reason"),
            attempts: counters("attempts", "Attempts by outcome"),
            attempts_denied: counters("attempts_denied", "Attempts chosen but not started, by reason"),
            client_connections_closed: counters(
                "client_connections_closed",
                "Client connections requested to close, by reason",
            ),
            discovery_calls: counters(
                "discovery_calls",
                "Calls to discovery by how they ended, and endpoint lists received",
            ),
            accept_failures: counters("accept_failures", "Client connections that could not be accepted"),
            violations: counters("violations", "Invariants violated, as far as this node can tell"),
            registry,
        }
    }

    /// A request was answered.
    pub fn answered(&self, answer: &Answer) {
        self.answers.get_or_create(&[("answer", answer.name())]).inc();
    }

    /// A client disconnected before its answer.
    pub fn client_disconnected(&self) {
        self.answers.get_or_create(&[("answer", "client_disconnected")]).inc();
    }

    /// A request was rejected.
    pub fn rejected(&self, reason: RejectReason) {
        self.rejections.get_or_create(&[("reason", reason.name())]).inc();
    }

    /// An attempt has ended.
    pub fn attempt_finished(&self, outcome: Outcome) {
        self.attempts.get_or_create(&[("outcome", outcome.name())]).inc();
    }

    /// An attempt was chosen but not started.
    pub fn attempt_denied(&self, denied: AttemptDenied) {
        self.attempts_denied.get_or_create(&[("reason", denied.name())]).inc();
    }

    /// A client connection was requested to close.
    pub fn connection_closing(&self, reason: CloseReason) {
        self.client_connections_closed.get_or_create(&[("reason", reason.name())]).inc();
    }

    /// A call to discovery ended, or brought an endpoint list.
    pub fn discovery_call(&self, result: &'static str) {
        self.discovery_calls.get_or_create(&[("result", result)]).inc();
    }

    /// A client connection could not be accepted.
    pub fn accept_failed(&self, kind: &'static str) {
        self.accept_failures.get_or_create(&[("kind", kind)]).inc();
    }

    /// An invariant was violated; `what` names the request or requests. The soak of the lab fails on a log
    /// with these words (`FATAL_LOG_TEXTS`).
    pub fn violation(&self, violation: Violation, what: &str) {
        self.violations.get_or_create(&[("invariant", violation.name())]).inc();
        tracing::error!(violation = violation.name(), what, "invariant violated");
    }

    /// All counters in the text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
