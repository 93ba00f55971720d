//! The findings of a run: violations of rules, and counts of ordinary occurrences.

use super::rule::{Rule, TimedViolation, Violation};
use std::collections::BTreeMap;
use std::time::Instant;

/// Maximum number of violations that are reported with their details. Further ones are only counted.
const MAX_DETAILED_VIOLATIONS: usize = 40;

/// An occurrence that is counted for the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Occurrence {
    /// An endpoint received an attempt.
    Attempt,
    /// A client received status 200.
    Served,
    /// A client received status 429 or 503.
    Rejected,
    /// A client received status 504.
    TimedOut,
    /// A client received any other status.
    Failed,
    /// A client disconnected before its response.
    ClientDisconnected,
    /// A client could not connect to a node.
    NotConnected,
    /// A request was in flight at a node that was killed.
    LostWithNode,
    /// A client retried a request because its idle connection had been closed.
    RetriedOnNewConnection,
    /// A client sent several requests as a pipeline.
    Pipelined,
    /// A bad client finished an exchange.
    BadClient,
    /// A node's process was started.
    NodeStarted,
}

impl Occurrence {
    /// Name of the occurrence in result files.
    pub fn name(self) -> &'static str {
        match self {
            Self::Attempt => "attempts",
            Self::Served => "served",
            Self::Rejected => "rejected",
            Self::TimedOut => "timed out",
            Self::Failed => "failed",
            Self::ClientDisconnected => "client disconnected",
            Self::NotConnected => "not connected",
            Self::LostWithNode => "lost with node",
            Self::RetriedOnNewConnection => "retried on a new connection",
            Self::Pipelined => "pipelined",
            Self::BadClient => "bad clients",
            Self::NodeStarted => "nodes started",
        }
    }

    /// Returns the occurrence that a response with this status counts as.
    pub fn of_status(status: u16) -> Self {
        match status {
            200 => Self::Served,
            429 | 503 => Self::Rejected,
            504 => Self::TimedOut,
            _ => Self::Failed,
        }
    }
}

/// Violations and counts of a run.
#[derive(Clone, Debug)]
pub struct Findings {
    started_at: Instant,
    /// Number of violations of each rule; rules without a violation are absent.
    pub violation_counts: BTreeMap<Rule, u32>,
    /// The first violations, at most `MAX_DETAILED_VIOLATIONS`, in order of time.
    pub violations: Vec<TimedViolation>,
    /// Number of occurrences of each kind.
    pub occurrences: BTreeMap<Occurrence, u64>,
}

impl Findings {
    /// Creates empty findings of a run that starts now.
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            violation_counts: BTreeMap::new(),
            violations: Vec::new(),
            occurrences: BTreeMap::new(),
        }
    }

    /// Counts a violation, and keeps its detail if it is among the first `MAX_DETAILED_VIOLATIONS`.
    pub fn record(&mut self, violation: Violation) {
        *self.violation_counts.entry(violation.rule).or_default() += 1;
        if self.violations.len() < MAX_DETAILED_VIOLATIONS {
            self.violations.push(TimedViolation { violation, at: self.started_at.elapsed() });
        }
    }

    /// Adds one occurrence to its count.
    pub fn count(&mut self, occurrence: Occurrence) {
        *self.occurrences.entry(occurrence).or_default() += 1;
    }

    /// Returns the number of violations of all rules.
    pub fn total_violations(&self) -> u32 {
        self.violation_counts.values().sum()
    }
}
