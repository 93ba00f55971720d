//! The final answer to a client's request, which the dispatcher passes to the client side. The client side
//! converts it to a response.

use bytes::Bytes;
use edge_gateway::Millis;
use hyper::header::HeaderValue;

/// The final answer to a request; each request gets exactly one.
#[derive(Debug)]
pub enum Answer {
    /// An endpoint served the request: the body of its response, and the content type if there is one.
    Served(Bytes, Option<HeaderValue>),
    /// The request was rejected, and a retry of it is harmless. The value is how long the client should wait
    /// before a retry; 0 for no advice.
    Rejected(Millis),
    /// The request failed: all attempts failed, or none was possible.
    Failed,
    /// No other answer was available by the deadline.
    DeadlineExceeded,
}

impl Answer {
    /// Name of the answer in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Served(..) => "served",
            Answer::Rejected(_) => "rejected",
            Answer::Failed => "failed",
            Answer::DeadlineExceeded => "deadline_exceeded",
        }
    }
}
