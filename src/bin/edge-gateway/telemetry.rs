//! The log, the metrics and the HTTP server of the metrics.

pub mod log;
pub mod metrics;
pub mod metrics_server;
