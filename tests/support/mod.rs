//! A node as a process of its own and what it talks to: clients, stub endpoints, a stub discovery agent. All
//! listen on loopback, on ports that the system chooses.

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
