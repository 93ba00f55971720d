//! Runs a node as a child process, together with its clients, stub endpoints and a stub discovery agent.
//! Everything listens on loopback, on ports that the system chooses.

#![allow(dead_code, reason = "each test file uses a part of this")]

mod blocked_endpoint;
mod client;
mod configuration;
mod counters;
mod http;
mod node;
mod sockets;
mod stub_discovery;
mod stub_endpoint;
mod wait;

#[allow(unused_imports, reason = "each test file uses a part of this")]
pub use {
    blocked_endpoint::*, client::*, configuration::*, counters::*, http::*, node::*, sockets::*,
    stub_discovery::*, stub_endpoint::*, wait::*,
};
