//! The log, the metrics, the HTTP server of the metrics, and the detection of slow polls.

pub mod log;
pub mod metrics;
pub mod metrics_server;
pub mod slow_polls;
