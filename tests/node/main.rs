//! Tests of a running node over loopback sockets: forwarding, retries, admission, limits and shutdown as
//! clients and endpoints observe them.

mod admission;
mod configuration;
mod endpoint_changes;
mod forwarding;
mod limits;
mod replaced_processes;
mod retries;
mod shutdown;
mod slow_start;

#[path = "../support/mod.rs"]
mod support;
