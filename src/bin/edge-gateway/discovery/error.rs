//! Why a call of discovery failed, and what follows from it.

use edge_gateway::EndpointListError;

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection, no response, or a watch that ended between two lists.
    #[error("disconnected")]
    Disconnected,
    /// The watch fell silent.
    #[error("silent")]
    Silent,
    /// The status of the response was not success.
    #[error("rejected")]
    Rejected,
    /// The response ended within a list.
    #[error("truncated")]
    Truncated,
    /// The response stopped within a list: its end was lost, or comes slowly.
    #[error("stalled")]
    Stalled,
    /// The response is unreadable or too long.
    #[error("invalid response")]
    InvalidResponse,
    /// A change of the list was received where no list is held.
    #[error("unexpected delta")]
    UnexpectedDelta,
}

impl CallError {
    /// Its name in counters.
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

    /// Whether the agent responded with something that cannot be used, which it is likely to do again.
    pub fn is_invalid_response(self) -> bool {
        match self {
            CallError::Rejected | CallError::Truncated | CallError::Stalled | CallError::InvalidResponse => {
                true
            }
            CallError::Disconnected | CallError::Silent | CallError::UnexpectedDelta => false,
        }
    }

    /// Whether the complete list has to be fetched before the next watch.
    pub fn requires_snapshot(self) -> bool {
        matches!(self, CallError::Stalled | CallError::InvalidResponse | CallError::UnexpectedDelta)
    }
}

impl From<EndpointListError> for CallError {
    fn from(_: EndpointListError) -> Self {
        CallError::InvalidResponse
    }
}
