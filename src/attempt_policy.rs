//! The rules on which attempts may be forwarded, retried or rejected, in one place.
//!
//! A gateway asks here when it selects an endpoint; a node asks again immediately before the first byte of an
//! attempt is written, when some of the answers may have changed.

use crate::interface::{Idempotency, KeyScope, Millis, RequestClass};
use std::fmt;

/// Kept before the end of an idempotency window, in milliseconds.
const IDEMPOTENCY_WINDOW_MARGIN: Millis = 2.0;

/// What is known of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// It has no outcome yet.
    InFlight,
    /// It was certainly not executed.
    NotExecuted,
    /// It was executed, may have been, or may yet be.
    MayHaveExecuted,
}

/// Why an attempt must not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AttemptDenied {
    /// The client has its final answer or has disconnected.
    RequestClosed,
    /// The endpoint is draining, removed, or has been replaced by another process.
    EndpointUnavailable,
    /// No time is left.
    DeadlineExceeded,
    /// Another attempt is in flight, and hedging is not allowed.
    AttemptInFlight,
    /// An earlier attempt may have been executed, and the request is not idempotent.
    MayHaveExecuted,
    /// An earlier attempt may have been executed, and this endpoint does not share its idempotency keys.
    OutsideKeyScope,
    /// An earlier attempt may have been executed, and its idempotency key has expired.
    IdempotencyWindowExpired,
}

impl AttemptDenied {
    /// Its name in logs and counters.
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

/// The first attempt of a request that may have been executed, compared with the endpoint of a possible
/// retry.
#[derive(Clone, Copy, Debug)]
pub struct EarlierAttempt {
    /// When it was forwarded.
    pub sent_at: Millis,
    /// Whether both endpoints are in one zone.
    pub same_zone: bool,
    /// Whether both endpoints are in one cell.
    pub same_cell: bool,
}

/// Whether a request of which an attempt may have been executed may be executed again, starting at the latest
/// at `starts_by`.
///
/// # Errors
/// The reason why it may not.
pub fn may_retry(
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
    // The window counts from the start of the first attempt.
    if starts_by >= earlier.sent_at + class.idempotency_window - IDEMPOTENCY_WINDOW_MARGIN {
        return Err(AttemptDenied::IdempotencyWindowExpired);
    }
    Ok(())
}

/// Whether a client may be told that a retry is harmless; `not_executed` says that no attempt can have been
/// executed.
pub fn may_reject(idempotency: Idempotency, not_executed: bool) -> bool {
    not_executed || matches!(idempotency, Idempotency::Idempotent | Idempotency::WithKey(KeyScope::All))
}

/// All that decides whether an attempt may start now.
#[derive(Clone, Debug)]
pub struct AttemptContext<'a> {
    /// Whether the client is waiting and has no answer.
    pub awaiting_response: bool,
    /// Whether the selected endpoint, and the same process of it, still takes requests.
    pub endpoint_available: bool,
    /// Time left for the attempt.
    pub time_left: Millis,
    /// The request's class.
    pub class: &'a RequestClass,
    /// Whether two attempts may be in flight at once.
    pub hedging: bool,
    /// The request's other attempts.
    pub other_attempts: &'a [AttemptState],
    /// The first of them that may have been executed.
    pub earlier_attempt: Option<EarlierAttempt>,
    /// The present time.
    pub now: Millis,
}

/// Whether the first byte of an attempt may be written; returns the time left, which its endpoint is to be
/// told.
///
/// # Errors
/// The reason why it may not.
pub fn may_start(attempt: &AttemptContext<'_>) -> Result<Millis, AttemptDenied> {
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
        may_retry(attempt.class, earlier, attempt.now)?;
    }
    Ok(attempt.time_left)
}

#[cfg(test)]
mod tests;
