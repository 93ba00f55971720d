//! The final answer to a client's request, as the dispatcher gives it to the client side. How it is written
//! as a response is up to the client side.

use bytes::Bytes;
use edge_gateway::Millis;
use hyper::header::HeaderValue;

/// The final answer to a request; each request gets exactly one.
#[derive(Debug)]
pub enum Answer {
    /// An endpoint served it: its body, and the body's type.
    Served(Bytes, Option<HeaderValue>),
    /// Rejected, with the promise that a retry is harmless; the client should wait this long before it, 0 for
    /// no advice.
    Rejected(Millis),
    /// All attempts failed, or none was possible.
    Failed,
    /// Its deadline has passed.
    DeadlineExceeded,
}

impl Answer {
    /// Its name in logs and counters.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Served(..) => "served",
            Answer::Rejected(_) => "rejected",
            Answer::Failed => "failed",
            Answer::DeadlineExceeded => "deadline_exceeded",
        }
    }
}
