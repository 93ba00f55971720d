//! The rules that nodes must keep, and violations of them.

use std::fmt;
use std::time::Duration;

/// A rule that the nodes must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request that a node has read gets a complete final response in time.
    FinalResponse,
    /// A response of status 200 is one that an endpoint has sent for this request.
    ResponseIntegrity,
    /// No attempt starts after the client has disconnected.
    ClientDisconnected,
    /// No attempt starts after the final response.
    AfterFinalResponse,
    /// A request that is not idempotent is executed at most once.
    NotIdempotent,
    /// A request with an idempotency key is executed again only in the same zone and within its window.
    IdempotencyKey,
    /// Attempts of a request do not overlap where hedging is not allowed.
    Overlap,
    /// The deadline sent to an endpoint is at most the time left.
    Deadline,
    /// No attempt starts at an endpoint that the node was notified to be draining or removed.
    Drain,
    /// An endpoint in slow start gets no more attempts than `Parameters::slow_start_limit`.
    SlowStart,
    /// A customer's ceiling holds over all nodes together.
    Ceiling,
    /// A rejection has a Retry-After if a retry may still be in time.
    RetryAfter,
    /// No node crashes, and each exits in time after SIGTERM.
    Lifecycle,
    /// A node is ready in time after its start.
    Ready,
    /// A node uses at most half of a processor core on average.
    ProcessorTime,
    /// A node logs no violated invariant and no panic.
    Invariant,
}

impl Rule {
    /// Name of the rule in result files and log lines.
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

/// An observation that violates a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// What was observed: the request, node or endpoint, and the values beyond the limit.
    pub detail: String,
}

impl Violation {
    /// Creates a violation. `detail` is the text that log lines show after the name of the rule.
    pub fn new(rule: Rule, detail: impl Into<String>) -> Self {
        Self { rule, detail: detail.into() }
    }
}

/// A violation and when it was recorded.
#[derive(Clone, Debug)]
pub struct TimedViolation {
    /// What was violated, and by which observation.
    pub violation: Violation,
    /// Time from the start of the run.
    pub at: Duration,
}

impl fmt::Display for TimedViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Violation { rule, detail } = &self.violation;
        write!(f, "{} at {:.3} s: {detail}", rule.name(), self.at.as_secs_f64())
    }
}
