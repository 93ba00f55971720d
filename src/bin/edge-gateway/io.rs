//! Sockets, streams and the listener, made robust against interrupted and failing system calls.

pub mod listener;
pub mod read_ahead;
pub mod resilient_stream;
pub mod resource_exhaustion;
pub mod socket;
