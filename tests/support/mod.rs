//! A node as a process of its own, and what stands round it: clients, endpoints, a discovery agent. All on
//! loopback, on ports that the system chooses.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of this")]

mod blocked_endpoint;
mod client;
mod configuration;
mod http;
mod node;
mod sockets;
mod stub_discovery;
mod stub_endpoint;
mod wait;

pub use blocked_endpoint::*;
pub use client::*;
pub use configuration::*;
pub use http::*;
pub use node::*;
pub use sockets::*;
pub use stub_discovery::*;
pub use stub_endpoint::*;
pub use wait::*;
