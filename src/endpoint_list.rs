//! The endpoint list as discovery writes it: its types, an incremental parser, and the delays between polls.

mod parser;
mod poll_backoff;

pub use parser::{EndpointListError, EndpointListParser};
pub use poll_backoff::{
    PollBackoff, DISCOVERY_RESPONSE_TIMEOUT, MAX_POLL_DELAY, MAX_SHORT_JITTER, NOTIFICATION_DEADLINE,
};

use crate::interface::Millis;
use serde::Deserialize;
use std::net::SocketAddr;

/// The endpoint list, or a change of it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct EndpointList {
    /// Its version.
    #[serde(rename = "rev")]
    pub version: u64,
    /// Whether it is complete, so that an endpoint that it lacks has been removed.
    #[serde(rename = "all")]
    pub is_snapshot: bool,
    /// The entries.
    #[serde(default, rename = "targets")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ListedEndpoint {
    /// Its name, the same at every node.
    #[serde(rename = "uid")]
    pub name: String,
    /// Where it listens; a removed endpoint need not listen anywhere.
    #[serde(rename = "endpoint")]
    pub address: Option<SocketAddr>,
    /// Its zone.
    #[serde(default, rename = "az")]
    pub zone: String,
    /// Its cell.
    #[serde(default, rename = "pod_group")]
    pub cell: u32,
    /// Its status.
    #[serde(rename = "state")]
    pub status: ListedStatus,
    /// When its process last started, in milliseconds of Unix time; 0 for long ago.
    #[serde(default, rename = "boot_ms")]
    pub started_at: Millis,
}

/// Status of an endpoint on the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum ListedStatus {
    /// Takes requests.
    Serving,
    /// Finishes the requests that it has.
    Draining,
    /// Removed.
    Deleted,
}
