//! The final answer to a client's request, as the dispatcher gives it to the client side.

use bytes::Bytes;
use edge_gateway::Millis;
use hyper::header::HeaderValue;

/// The final answer to a request; each request gets exactly one.
#[derive(Debug)]
pub enum Answer {
    /// Served, with the app server's body and its type.
    Served(Bytes, Option<HeaderValue>),
    /// Refused; the client should stay away this long, or is told nothing if it is 0.
    Rejected(Millis),
    /// Failed.
    Failed,
    /// Failed because the time was up.
    DeadlineExceeded,
}

impl Answer {
    /// A word for it, for logs and counters.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Served(..) => "served",
            Answer::Rejected(_) => "rejected",
            Answer::Failed => "failed",
            Answer::DeadlineExceeded => "deadline_exceeded",
        }
    }
}
