//! Bodies of messages, and sockets, streams and listeners that tolerate interrupted and failing system calls.
//! The client side, the upstream side, discovery and the metrics server use them; they do not depend on
//! requests.

pub mod body;
pub mod http_error;
pub mod listener;
pub mod memory_pool;
pub mod read_ahead;
pub mod resilient_stream;
pub mod resource_exhaustion;
pub mod socket;
pub mod task_budget;
