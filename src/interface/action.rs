//! The actions that a gateway returns to its caller.

use super::{EndpointId, Millis, RequestId};
use std::fmt;

/// An operation that the caller of a gateway must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a new attempt of a request.
    Forward {
        /// The request to forward.
        request: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// When the attempt times out.
        timeout_at: Millis,
    },
    /// Answer the client with a rejection, which states that the client may safely retry the request.
    Reject {
        /// The request to answer.
        request: RequestId,
        /// How long the client should wait before a retry; 0 to send no Retry-After.
        retry_after: Millis,
        /// Why the request is rejected.
        reason: RejectReason,
    },
    /// Answer the client with a failure, after which a retry may execute the request a second time.
    Fail {
        /// The request to answer.
        request: RequestId,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Index of the attempt, as in [`AttemptResult`](crate::AttemptResult).
        attempt: u32,
    },
    /// Set a timer that produces [`Event::TimerFired`](crate::Event::TimerFired).
    SetTimer {
        /// Identifies the timer in the event.
        token: u64,
        /// When the timer fires.
        at: Millis,
    },
    /// Subscribe to updates of the endpoint list.
    Subscribe,
    /// Write a status summary to the log.
    Log(StatusSummary),
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The settings contain no such class or plan.
    UnknownClassOrPlan,
    /// The request is over its customer's quota.
    OverQuota,
    /// The request would exceed its customer's ceiling.
    CeilingReached,
    /// No endpoint has capacity for the request.
    NoCapacity,
    /// All attempts failed, and the request is not retried.
    AttemptsFailed,
}

impl RejectReason {
    /// The name of the reason in logs and metrics.
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

/// Requests rejected since the last summary, and the number of customers and endpoints that are tracked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatusSummary {
    /// Requests rejected because they were over quota.
    pub over_quota: u32,
    /// Requests rejected because they would have exceeded a ceiling.
    pub ceiling_reached: u32,
    /// Requests rejected because no endpoint had capacity.
    pub no_capacity: u32,
    /// Customers that are tracked individually, because they were flagged or have a ceiling.
    pub customers: usize,
    /// Endpoints that are tracked.
    pub endpoints: usize,
    /// Endpoints on probation: they were ejected for failures and have not succeeded since.
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
