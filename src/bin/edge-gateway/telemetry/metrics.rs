//! Prometheus counters of what this process has done and why. [`super::metrics_server`] serves them.

use crate::answer::Answer;
use crate::telemetry::slow_polls::TaskKind;
use edge_gateway::attempt_policy::AttemptDenied;
use edge_gateway::Outcome;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::LazyLock;

/// The counters of this process.
pub static METRICS: LazyLock<Metrics> = LazyLock::new(Metrics::new);

/// One label: its name and its value.
type Label = [(&'static str, &'static str); 1];
/// The counters of one metric, one for each value of its label.
type CounterFamily = Family<Label, Counter>;

/// A violated invariant that the node can detect itself. None should ever occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A connection with an open request was closed, and not by its client.
    ClosedOpenRequest,
    /// The timer that answers a request shortly before its deadline fired much too late.
    LateAnswer,
    /// The process exited with unanswered requests.
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
    /// It was idle, or its request remained incomplete, for too long.
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

/// The kinds of messages whose memory is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Requests of clients, with what is read ahead behind them.
    Request,
    /// Responses of endpoints.
    Response,
}

impl MessageKind {
    fn name(self) -> &'static str {
        match self {
            MessageKind::Request => "request",
            MessageKind::Response => "response",
        }
    }
}

/// The counters of all metrics, with the registry that encodes them.
pub struct Metrics {
    registry: Registry,
    answers: CounterFamily,
    rejections: CounterFamily,
    attempts: CounterFamily,
    attempts_denied: CounterFamily,
    client_connections_closed: CounterFamily,
    discovery_calls: CounterFamily,
    accept_failures: CounterFamily,
    slow_polls: CounterFamily,
    message_memory: Family<Label, Gauge>,
    message_memory_exhausted: CounterFamily,
    violations: CounterFamily,
}

impl Metrics {
    fn new() -> Self {
        let mut registry = Registry::with_prefix("edge_gateway");
        let mut counters = |name: &str, help: &str| {
            let counters = CounterFamily::default();
            registry.register(name, help, counters.clone());
            counters
        };
        let exhausted_help = "Messages that were held back, rejected or discarded for lack of memory";
        let message_memory_exhausted = counters("message_memory_exhausted", exhausted_help);
        let message_memory = Family::<Label, Gauge>::default();
        let memory_help = "Memory that messages take, in bytes";
        registry.register("message_memory_bytes", memory_help, message_memory.clone());
        let mut counters = |name: &str, help: &str| {
            let counters = CounterFamily::default();
            registry.register(name, help, counters.clone());
            counters
        };
        Self {
            message_memory,
            message_memory_exhausted,
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
            slow_polls: counters("slow_polls", "Polls that held the thread for long, by kind of task"),
            violations: counters("violations", "Invariants violated, as far as this node can tell"),
            registry,
        }
    }

    /// Counts a request that was answered.
    pub fn record_answer(&self, answer: &Answer) {
        self.answers.get_or_create(&[("answer", answer.name())]).inc();
    }

    /// Counts a client that disconnected before its request was answered.
    pub fn record_client_disconnect(&self) {
        self.answers.get_or_create(&[("answer", "client_disconnected")]).inc();
    }

    /// Counts a rejected request by the name of the reason.
    pub fn record_rejection(&self, reason: &'static str) {
        self.rejections.get_or_create(&[("reason", reason)]).inc();
    }

    /// Counts an attempt that has ended.
    pub fn record_attempt(&self, outcome: Outcome) {
        self.attempts.get_or_create(&[("outcome", outcome.name())]).inc();
    }

    /// Counts an attempt that was chosen but not started.
    pub fn record_denied_attempt(&self, denied: AttemptDenied) {
        self.attempts_denied.get_or_create(&[("reason", denied.name())]).inc();
    }

    /// Counts a client connection that was requested to close.
    pub fn record_close_request(&self, reason: CloseReason) {
        self.client_connections_closed.get_or_create(&[("reason", reason.name())]).inc();
    }

    /// Counts a failed call to discovery by its error, or a received endpoint list as `list_received`.
    pub fn record_discovery_result(&self, result: &'static str) {
        self.discovery_calls.get_or_create(&[("result", result)]).inc();
    }

    /// Counts a client connection that could not be accepted; `kind` is the label that tells the cause.
    pub fn record_accept_failure(&self, kind: &'static str) {
        self.accept_failures.get_or_create(&[("kind", kind)]).inc();
    }

    /// Counts a poll of a task that held the thread for long.
    pub fn record_slow_poll(&self, task: TaskKind) {
        self.slow_polls.get_or_create(&[("task", task.name())]).inc();
    }

    /// Returns the gauge of the memory that messages of this kind take, in bytes.
    pub fn message_memory(&self, kind: MessageKind) -> Gauge {
        self.message_memory.get_or_create(&[("message", kind.name())]).clone()
    }

    /// Counts a message that was held back, rejected or discarded for lack of memory.
    pub fn record_exhausted_message_memory(&self, kind: MessageKind) {
        self.message_memory_exhausted.get_or_create(&[("message", kind.name())]).inc();
    }

    /// Counts and logs a violated invariant; `subject` names the affected requests. The lab's soak test fails
    /// if the log contains this message (`FATAL_LOG_TEXTS`).
    pub fn record_violation(&self, violation: Violation, subject: &str) {
        self.violations.get_or_create(&[("invariant", violation.name())]).inc();
        tracing::error!(violation = violation.name(), what = subject, "invariant violated");
    }

    /// Encodes all counters in the text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
