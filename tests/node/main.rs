//! The node over loopback sockets: what clients, endpoints and the discovery agent may do to it.

#[path = "../support/mod.rs"]
mod support;

mod common;
mod configuration;
mod endpoint_changes;
mod forwarding;
mod limits;
mod retries;
mod shutdown;
