//! Sockets, streams and the listener, made robust against interrupted and failing system calls. Shared by the
//! client and the upstream side; nothing here knows of requests.

pub mod listener;
pub mod read_ahead;
pub mod resilient_stream;
pub mod resource_exhaustion;
pub mod socket;
