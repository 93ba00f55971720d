//! The endpoint list in the format of discovery, an incremental parser for it, and the delays between polls.

mod parser;
mod poll_backoff;

pub use parser::{EndpointListError, EndpointListParser};
pub use poll_backoff::{
    PollBackoff, DISCOVERY_RESPONSE_TIMEOUT, MAX_POLL_DELAY, MAX_SHORT_JITTER, NOTIFICATION_DEADLINE,
};

use crate::interface::Millis;
use serde::Deserialize;
use std::net::SocketAddr;

/// An endpoint list received from discovery: the complete list, or the entries that changed.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct EndpointList {
    /// Version of the list, from which a watch can continue. Each agent numbers its versions independently.
    #[serde(rename = "rev")]
    pub version: u64,
    /// Whether the list is complete, so that endpoints that are not on it have been removed.
    #[serde(rename = "all")]
    pub is_snapshot: bool,
    /// The entries of the list; may be missing in the text.
    #[serde(default, rename = "targets")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// An entry of an [`EndpointList`].
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ListedEndpoint {
    /// Name of the endpoint, the same at every node.
    #[serde(rename = "uid")]
    pub name: String,
    /// Address that the endpoint listens on; a removed endpoint may have none.
    #[serde(rename = "endpoint")]
    pub address: Option<SocketAddr>,
    /// Zone of the endpoint; empty if the text names none.
    #[serde(default, rename = "az")]
    pub zone: String,
    /// Cell of the endpoint, as in [`KeyScope::Cell`](crate::KeyScope::Cell); 0 if the text names none.
    #[serde(default, rename = "pod_group")]
    pub cell: u32,
    /// Whether the endpoint takes requests.
    #[serde(rename = "state")]
    pub status: ListedStatus,
    /// When the endpoint's process last started, in milliseconds of Unix time; 0 if that was long ago.
    #[serde(default, rename = "boot_ms")]
    pub started_at: Millis,
}

/// Length of the texts of an entry that the memory of one endpoint has room for, in bytes.
const TEXT_LENGTH_PER_ENDPOINT: usize = 256;

impl ListedEndpoint {
    /// For how many endpoints this one counts in a limit on their number: more than one if its name or its
    /// zone is long, since these are kept in memory.
    pub fn weight(&self) -> usize {
        1 + (self.name.len() + self.zone.len()) / TEXT_LENGTH_PER_ENDPOINT
    }
}

/// Whether an endpoint takes requests, as discovery writes it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum ListedStatus {
    /// The endpoint takes requests.
    Serving,
    /// The endpoint finishes its requests in flight and must not be sent new ones.
    Draining,
    /// The endpoint was removed.
    Deleted,
}
