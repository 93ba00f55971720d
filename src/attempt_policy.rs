//! The rules on which attempts may start, and which requests may be retried or rejected.
//!
//! The gateway applies them when it selects an endpoint. The node applies them again immediately before it
//! writes the first byte of an attempt, because the state may have changed in between.

use crate::interface::{Idempotency, KeyScope, Millis, RequestClass};
use std::fmt;

/// Time before the end of an idempotency window in which no retry may start, in milliseconds.
const IDEMPOTENCY_WINDOW_MARGIN: Millis = 2.0;

/// Whether an attempt is in flight, and whether its endpoint may have executed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// The attempt has no outcome yet.
    InFlight,
    /// The attempt finished and was certainly not executed.
    NotExecuted,
    /// The attempt finished and was executed, may have been executed, or may still be.
    MayHaveExecuted,
}

/// Why an attempt may not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AttemptDenied {
    /// The client has its final answer or has disconnected.
    RequestClosed,
    /// The endpoint is draining, was removed, or its process was replaced after it was selected.
    EndpointUnavailable,
    /// The attempt would time out before it starts.
    DeadlineExceeded,
    /// Another attempt of the request is in flight, and hedging is disabled.
    AttemptInFlight,
    /// An earlier attempt may have been executed, and the request is not idempotent.
    MayHaveExecuted,
    /// An earlier attempt may have been executed, and the endpoint of the next one is outside the key scope.
    OutsideKeyScope,
    /// An earlier attempt may have been executed, and the idempotency window that began with it has ended or
    /// is about to.
    IdempotencyWindowExpired,
}

impl AttemptDenied {
    /// The name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AttemptDenied::RequestClosed => "request_closed",
            AttemptDenied::EndpointUnavailable => "endpoint_unavailable",
            AttemptDenied::DeadlineExceeded => "deadline_exceeded",
            AttemptDenied::AttemptInFlight => "attempt_in_flight",
            AttemptDenied::MayHaveExecuted => "may_have_executed",
            AttemptDenied::OutsideKeyScope => "outside_key_scope",
            AttemptDenied::IdempotencyWindowExpired => "idempotency_window_expired",
        }
    }
}

impl fmt::Display for AttemptDenied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl std::error::Error for AttemptDenied {}

/// The first attempt of a request that may have been executed, in relation to the endpoint of the next one.
#[derive(Clone, Copy, Debug)]
pub struct EarlierAttempt {
    /// When the earlier attempt was forwarded.
    pub sent_at: Millis,
    /// Whether the endpoints of both attempts are in the same zone.
    pub same_zone: bool,
    /// Whether the endpoints of both attempts are in the same cell.
    pub same_cell: bool,
}

/// Checks whether a request may be sent again although the `earlier` attempt may have been executed. The new
/// attempt starts at `starts_by` at the latest.
///
/// # Errors
/// Returns the reason if the request may not be sent again.
pub fn check_retry(
    class: &RequestClass,
    earlier: EarlierAttempt,
    starts_by: Millis,
) -> Result<(), AttemptDenied> {
    let scope = match class.idempotency {
        Idempotency::Idempotent => return Ok(()),
        Idempotency::NotIdempotent => return Err(AttemptDenied::MayHaveExecuted),
        Idempotency::WithKey(scope) => scope,
    };
    let shares_keys = match scope {
        KeyScope::All => true,
        KeyScope::Zone => earlier.same_zone,
        KeyScope::Cell => earlier.same_cell,
    };
    if !shares_keys {
        return Err(AttemptDenied::OutsideKeyScope);
    }
    // The window starts with the first attempt that may have been executed.
    if starts_by >= earlier.sent_at + class.idempotency_window - IDEMPOTENCY_WINDOW_MARGIN {
        return Err(AttemptDenied::IdempotencyWindowExpired);
    }
    Ok(())
}

/// Whether a request may be rejected, which tells the client that a retry is safe. `not_executed` is whether
/// certainly none of its attempts was executed.
pub fn may_reject(idempotency: Idempotency, not_executed: bool) -> bool {
    not_executed || matches!(idempotency, Idempotency::Idempotent | Idempotency::WithKey(KeyScope::All))
}

/// What decides whether an attempt may start: the state of the attempt, its request and its endpoint.
#[derive(Clone, Debug)]
pub struct AttemptContext<'a> {
    /// Whether the client still waits for the final answer.
    pub awaiting_response: bool,
    /// Whether the selected endpoint still takes requests, and still is the process that was selected.
    pub endpoint_available: bool,
    /// Time until the attempt times out; 0 or negative if it already should have.
    pub time_left: Millis,
    /// The request's class, for its idempotency and its idempotency window.
    pub class: &'a RequestClass,
    /// Whether hedging is enabled: two attempts of a request may then be in flight at once.
    pub hedging: bool,
    /// States of the other attempts of the request.
    pub other_attempts: &'a [AttemptState],
    /// The first of the other attempts that may have been executed, or may still be; `None` if there is none.
    pub earlier_attempt: Option<EarlierAttempt>,
    /// The current time, at which the attempt would start.
    pub now: Millis,
}

/// Checks whether the first byte of an attempt may be written now. Returns the time left, which the node
/// sends to the endpoint as the deadline.
///
/// # Errors
/// Returns the reason if the attempt may not start.
pub fn check_start(attempt: &AttemptContext<'_>) -> Result<Millis, AttemptDenied> {
    if !attempt.awaiting_response {
        return Err(AttemptDenied::RequestClosed);
    }
    if !attempt.endpoint_available {
        return Err(AttemptDenied::EndpointUnavailable);
    }
    if attempt.time_left <= 0.0 {
        return Err(AttemptDenied::DeadlineExceeded);
    }
    if !attempt.hedging && attempt.other_attempts.contains(&AttemptState::InFlight) {
        return Err(AttemptDenied::AttemptInFlight);
    }
    if let Some(earlier) = attempt.earlier_attempt {
        check_retry(attempt.class, earlier, attempt.now)?;
    }
    Ok(attempt.time_left)
}

#[cfg(test)]
mod tests;
