//! The node over loopback sockets: forwarding, retries, admission and shutdown as clients and endpoints see
//! them.

mod admission;
mod configuration;
mod endpoint_changes;
mod forwarding;
mod limits;
mod retries;
mod shutdown;
mod slow_start;

#[path = "../support/mod.rs"]
mod support;
