//! The rules of the nodes, and violations of them.

use std::fmt;
use std::time::Duration;

/// A rule that the nodes must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request that was read gets a complete final response in time.
    FinalResponse,
    /// A response of status 200 is what an endpoint made for this request.
    ResponseIntegrity,
    /// No attempt starts after the client has disconnected.
    ClientDisconnected,
    /// No attempt starts after the final response.
    AfterFinalResponse,
    /// A request that is not idempotent is executed once.
    NotIdempotent,
    /// One with an idempotency key stays within its zone and window.
    IdempotencyKey,
    /// Attempts of a request do not overlap where hedging is not allowed.
    Overlap,
    /// The deadline that an endpoint gets is at most the time left.
    Deadline,
    /// No attempt starts at an endpoint that the node was notified to be draining or removed.
    Drain,
    /// An endpoint in slow start is not overloaded.
    SlowStart,
    /// A ceiling holds over all nodes.
    Ceiling,
    /// A rejection has a Retry-After.
    RetryAfter,
    /// No node crashes, and each ends in time after SIGTERM.
    Lifecycle,
    /// A node is ready in time after its start.
    Ready,
    /// A node uses little processor time.
    ProcessorTime,
    /// A node reports no violated invariant of its own, and no panic.
    Invariant,
}

impl Rule {
    /// Its name in result files and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::FinalResponse => "FinalResponse",
            Self::ResponseIntegrity => "ResponseIntegrity",
            Self::ClientDisconnected => "ClientDisconnected",
            Self::AfterFinalResponse => "AfterFinalResponse",
            Self::NotIdempotent => "NotIdempotent",
            Self::IdempotencyKey => "IdempotencyKey",
            Self::Overlap => "Overlap",
            Self::Deadline => "Deadline",
            Self::Drain => "Drain",
            Self::SlowStart => "SlowStart",
            Self::Ceiling => "Ceiling",
            Self::RetryAfter => "RetryAfter",
            Self::Lifecycle => "Lifecycle",
            Self::Ready => "Ready",
            Self::ProcessorTime => "ProcessorTime",
            Self::Invariant => "Invariant",
        }
    }
}

/// A violated rule, and what was observed.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// What was observed.
    pub detail: String,
}

impl Violation {
    /// One of a rule.
    pub fn new(rule: Rule, detail: impl Into<String>) -> Self {
        Self { rule, detail: detail.into() }
    }
}

/// A violation and its time since the start of the run.
#[derive(Clone, Debug)]
pub struct TimedViolation {
    /// The violation.
    pub violation: Violation,
    /// Time since the start of the run.
    pub at: Duration,
}

impl fmt::Display for TimedViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Violation { rule, detail } = &self.violation;
        write!(f, "{} at {:.3} s: {detail}", rule.name(), self.at.as_secs_f64())
    }
}
