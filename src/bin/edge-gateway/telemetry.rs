//! The log and the counters.

pub mod log;
pub mod metrics;
