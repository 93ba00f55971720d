//! The error of a discovery call, and how it affects the next call.

use edge_gateway::EndpointListError;

/// Why a discovery call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// There was no connection or no response, or a watch ended between two lists.
    #[error("disconnected")]
    Disconnected,
    /// A watch received nothing for too long, not even an empty line.
    #[error("silent")]
    Silent,
    /// The status of the response was not 200.
    #[error("rejected")]
    Rejected,
    /// A watch ended within a list.
    #[error("truncated")]
    Truncated,
    /// No data was received for too long within a list: its end was lost or is slow.
    #[error("stalled")]
    Stalled,
    /// The response is unreadable or too long, or a poll ended or timed out without a list.
    #[error("invalid response")]
    InvalidResponse,
    /// A delta was received while no list was held.
    #[error("unexpected delta")]
    UnexpectedDelta,
}

impl CallError {
    /// Returns the value of the label `result` in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            CallError::Disconnected => "disconnected",
            CallError::Silent => "silent",
            CallError::Rejected => "rejected",
            CallError::Truncated => "truncated",
            CallError::Stalled => "stalled",
            CallError::InvalidResponse => "invalid_response",
            CallError::UnexpectedDelta => "unexpected_delta",
        }
    }

    /// Whether the agent sent an unusable response, which it is likely to send again.
    pub fn is_invalid_response(self) -> bool {
        match self {
            CallError::Rejected | CallError::Truncated | CallError::Stalled | CallError::InvalidResponse => {
                true
            }
            CallError::Disconnected | CallError::Silent | CallError::UnexpectedDelta => false,
        }
    }

    /// Whether the complete list must be fetched before the next watch.
    pub fn requires_snapshot(self) -> bool {
        matches!(self, CallError::Stalled | CallError::InvalidResponse | CallError::UnexpectedDelta)
    }
}

impl From<EndpointListError> for CallError {
    fn from(_: EndpointListError) -> Self {
        CallError::InvalidResponse
    }
}
