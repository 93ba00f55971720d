//! The outcome of an attempt, and the load report that endpoints attach to responses.

use super::Millis;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint served the request.
    Success,
    /// The endpoint answered with an error, or with far more data than a response has; the request may have
    /// been executed.
    Error,
    /// The response was invalid; the request may have been executed. This says nothing about the endpoint's
    /// health.
    InvalidResponse,
    /// The endpoint rejected the request as overloaded, without executing it.
    Overloaded,
    /// No response arrived in time; the request may have been executed or may still be.
    Timeout,
    /// No connection could be established, so the request was not sent.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    Reset,
    /// This gateway cancelled the attempt; the request may have been executed.
    Cancelled,
    /// The request was not sent, for another reason than a failed connection.
    NotSent,
}

impl Outcome {
    /// The name of the outcome in logs and metrics.
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

    /// Whether the outcome proves that the request was not executed.
    pub fn not_executed(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// Load that an endpoint reports with a response; a field is `None` if it was not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at the endpoint, including queued ones.
    pub in_flight: Option<f64>,
    /// Requests queued at the endpoint.
    pub queued: Option<f64>,
    /// Recent fraction of the endpoint's processors that was busy; no decision uses it.
    pub utilization: Option<f64>,
    /// Recent service time of requests at the endpoint, without their time in its queue.
    pub service_time: Option<Millis>,
}
