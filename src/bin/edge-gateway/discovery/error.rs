//! The error of a discovery call, and how it affects the next call.

use super::stream::ElapsedTimeout;
use crate::io::http_error::with_source;
use edge_gateway::EndpointListError;
use hyper::StatusCode;
use std::io;
use std::time::Duration;
use tokio::task::JoinError;

/// Why a discovery call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// There was no response, or a watch ended between two lists.
    #[error(transparent)]
    Failed(#[from] CallFailure),
    /// A watch received no data between two lists for this time, not even an empty line.
    #[error("silent: no data for {0:?} between two lists, not even an empty line")]
    Silent(Duration),
    /// The status of the response was this one instead of 200.
    #[error("rejected with status {0}")]
    Rejected(StatusCode),
    /// A watch ended within a list.
    #[error("truncated within a list: {0}")]
    Truncated(BodyEnd),
    /// A list exceeded this timeout after it had begun: its end was lost or is slow.
    #[error("stalled within a list: {0}")]
    Stalled(ElapsedTimeout),
    /// The response is unreadable or too long, or a poll ended or timed out without a list.
    #[error("invalid response: {0}")]
    InvalidResponse(#[from] InvalidResponse),
    /// A delta of this version was received while no list was held.
    #[error("unexpected delta of version {0}: no list is held that it could change")]
    UnexpectedDelta(u64),
}

/// Why there is no response, or why a watch ended between two lists. The texts say what each variant means.
#[derive(Debug, thiserror::Error)]
pub enum CallFailure {
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    #[error("cannot build the request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("no response: {}", with_source(.0))]
    Connection(#[from] hyper::Error),
    #[error("no response within {0:?}")]
    Timeout(Duration),
    #[error("no response, the task of a hedged call ended: {0}")]
    Task(#[from] JoinError),
    #[error("the watch ended between two lists: {0}")]
    WatchEnded(BodyEnd),
}

/// Why the response to a poll or a watch cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InvalidResponse {
    #[error(transparent)]
    List(#[from] EndpointListError),
    #[error("the response to the poll ended without a complete list: {0}")]
    Ended(BodyEnd),
    /// The response to a poll exceeded this timeout before a list began.
    #[error("no list began: {0}")]
    TimedOut(ElapsedTimeout),
}

/// How a response body ended.
#[derive(Debug, thiserror::Error)]
pub enum BodyEnd {
    #[error("the agent ended the response")]
    Complete,
    #[error("{}", with_source(.0))]
    Failed(#[from] hyper::Error),
}

impl CallError {
    /// Returns the value of the label `result` in the metrics.
    pub fn name(&self) -> &'static str {
        match self {
            CallError::Failed(_) => "disconnected",
            CallError::Silent(_) => "silent",
            CallError::Rejected(_) => "rejected",
            CallError::Truncated(_) => "truncated",
            CallError::Stalled(_) => "stalled",
            CallError::InvalidResponse(_) => "invalid_response",
            CallError::UnexpectedDelta(_) => "unexpected_delta",
        }
    }

    /// Whether the agent sent an unusable response, which it is likely to send again.
    pub fn is_invalid_response(&self) -> bool {
        match self {
            CallError::Rejected(_)
            | CallError::Truncated(_)
            | CallError::Stalled(_)
            | CallError::InvalidResponse(_) => true,
            CallError::Failed(_) | CallError::Silent(_) | CallError::UnexpectedDelta(_) => false,
        }
    }

    /// Whether the complete list must be fetched before the next watch.
    pub fn requires_snapshot(&self) -> bool {
        matches!(self, CallError::Stalled(_) | CallError::InvalidResponse(_) | CallError::UnexpectedDelta(_))
    }
}

impl From<EndpointListError> for CallError {
    fn from(error: EndpointListError) -> Self {
        CallError::InvalidResponse(error.into())
    }
}
