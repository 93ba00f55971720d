//! The outcome of an attempt, and the load report that comes with a response.

use super::Millis;

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// The endpoint answered with an error; the request may have been executed.
    Error,
    /// A response that cannot be used; the request may have been executed, and the endpoint's health is not
    /// in question.
    InvalidResponse,
    /// The endpoint rejected it without looking at it.
    Overloaded,
    /// No response in time; the request may have been executed or may yet be.
    Timeout,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    Reset,
    /// Withdrawn by this gateway; the request may have been executed.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Success => "success",
            Outcome::Error => "error",
            Outcome::InvalidResponse => "invalid_response",
            Outcome::Overloaded => "overloaded",
            Outcome::Timeout => "timeout",
            Outcome::ConnectFailed => "connect_failed",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::NotSent => "not_sent",
        }
    }

    /// Whether it proves that the attempt was not executed.
    pub fn not_executed(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// An endpoint's report of its load, as far as it sends one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in progress, waiting ones included.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queued: Option<f64>,
    /// Fraction of its processors that was busy over some past time; no decision uses it.
    pub utilization: Option<f64>,
    /// Recent service time without waiting.
    pub service_time: Option<Millis>,
}
