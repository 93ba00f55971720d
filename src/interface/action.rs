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
        /// When the caller must end the attempt as timed out if it has no response.
        timeout_at: Millis,
    },
    /// Answer the client with a rejection, which states that the client may safely retry the request.
    Reject {
        /// The request to answer.
        request: RequestId,
        /// How long the client should wait before a retry, in milliseconds; 0 to send no Retry-After.
        retry_after: Millis,
        /// The cause; metrics count rejections by it.
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
        /// The gateway's name for the timer, which the event must return.
        token: u64,
        /// When the timer fires.
        at: Millis,
    },
    /// Subscribe to updates of the endpoint list, which are sent only to subscribers.
    Subscribe,
    /// Write a status summary to the log.
    Log(StatusSummary),
}

/// The cause of a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The settings contain no such class or plan.
    UnknownClassOrPlan,
    /// The request is over its customer's quota, or its customer has too many attempts in flight.
    OverQuota,
    /// The request would exceed its customer's ceiling.
    CeilingReached,
    /// No endpoint has capacity for the request.
    NoCapacity,
    /// All attempts failed and no further one is made, but the client may safely retry the request.
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

/// Requests rejected since the last summary, and the numbers of customers and endpoints with a record now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatusSummary {
    /// Requests rejected because they were over quota.
    pub over_quota: u32,
    /// Requests rejected because they would have exceeded a ceiling.
    pub ceiling_reached: u32,
    /// Requests rejected because no endpoint had capacity.
    pub no_capacity: u32,
    /// Customers with a record of their own: those that have a ceiling or may recently have been over quota.
    pub customers: usize,
    /// Endpoints with a record: those on the endpoint list, and removed ones with attempts in flight.
    pub endpoints: usize,
    /// Endpoints that were ejected for failures and have not succeeded since. They are on probation, even if
    /// the ejection itself is over.
    pub ejected: usize,
}

impl fmt::Display for StatusSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "rejected since the last summary: {} over quota, {} at a ceiling, {} without capacity; \
             tracking {} customers and {} endpoints, {} of them ejected",
            self.over_quota,
            self.ceiling_reached,
            self.no_capacity,
            self.customers,
            self.endpoints,
            self.ejected
        )
    }
}
