//! The actions that a gateway returns.

use super::{EndpointId, Millis, RequestId};
use std::fmt;

/// What a gateway wants its caller to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forward the request in a new attempt.
    Forward {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// When the attempt times out.
        timeout_at: Millis,
    },
    /// Final answer: rejected, with the promise that a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before a retry, 0 for no advice.
        retry_after: Millis,
        /// Why it is rejected.
        reason: RejectReason,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Withdraw an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Index of the attempt.
        attempt: u32,
    },
    /// Set a timer.
    SetTimer {
        /// Comes back with the event.
        token: u64,
        /// When it expires.
        at: Millis,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Write a line to the log.
    Log(StatusSummary),
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Its class or plan is not in the settings.
    UnknownClassOrPlan,
    /// It is beyond its customer's quota.
    OverQuota,
    /// It would exceed its customer's ceiling.
    CeilingReached,
    /// No endpoint has capacity for it.
    NoCapacity,
    /// Its attempts failed, and it gets no retry.
    AttemptsFailed,
}

impl RejectReason {
    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            RejectReason::UnknownClassOrPlan => "unknown_class_or_plan",
            RejectReason::OverQuota => "over_quota",
            RejectReason::CeilingReached => "ceiling_reached",
            RejectReason::NoCapacity => "no_capacity",
            RejectReason::AttemptsFailed => "attempts_failed",
        }
    }
}

/// Requests rejected since the last summary, and the size of the gateway's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatusSummary {
    /// Requests rejected beyond a quota.
    pub over_quota: u32,
    /// Requests rejected at a ceiling.
    pub ceiling_reached: u32,
    /// Requests rejected for lack of capacity at endpoints.
    pub no_capacity: u32,
    /// Customers with an exact record.
    pub customers: usize,
    /// Endpoints known.
    pub endpoints: usize,
    /// Endpoints ejected, or on probation after an ejection.
    pub ejected: usize,
}

impl fmt::Display for StatusSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "rejected: {} over quota, {} at a ceiling, {} without capacity; tracking {} customers and {} \
             endpoints, {} of them ejected",
            self.over_quota,
            self.ceiling_reached,
            self.no_capacity,
            self.customers,
            self.endpoints,
            self.ejected
        )
    }
}
