//! The log, and the counters with their HTTP server.

pub mod log;
pub mod metrics;
pub mod metrics_server;
