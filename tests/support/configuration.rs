//! The settings and configuration files of the nodes under test.

use super::stub_discovery::StubDiscovery;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The settings of a node unless a test changes them.
pub const SETTINGS: &str = r#"{
    "allowed": {"cancel": true, "connectTimeoutMs": 1000, "keepaliveMs": 15000, "maxRetryAfterMs": 2000,
                "mayProbe": false, "mostTries": 5, "retryAfter": true, "secondCopies": false},
    "az": "north", "balancers": 1, "discovery": "automatic", "rank": 0, "prices": {},
    "classes": [
        {"name": "read", "aimMs": 8000, "deadlineMs": 20000, "worth": 2, "lateWorth": 0.2, "effect": "safe"},
        {"name": "edit", "aimMs": 8000, "deadlineMs": 20000, "worth": 3, "effect": "keyed",
         "keyScope": "zone", "windowMs": 15000},
        {"name": "order", "aimMs": 8000, "deadlineMs": 20000, "worth": 5, "effect": "unsafe"}],
    "contracts": [{"name": "large", "refill": 1000, "mostAtOnce": 10000, "worthFactor": 1},
                  {"name": "small", "refill": 0.001, "mostAtOnce": 1, "worthFactor": 1, "excessCost": 1}],
    "domain": {"unitsTop": 4, "usePeriodMs": 1000},
    "rules": {"coldFrom": 0.2, "warmAfterMs": 9000, "fallMultiple": 2, "overloadForMs": 1000}}"#;

/// The configuration file of a node. The defaults are no known endpoint list, [`SETTINGS`], and limits that
/// no test reaches.
#[derive(Clone)]
pub struct NodeConfig {
    discovery: SocketAddr,
    known_list: String,
    settings: String,
    sockets: usize,
    memory_mb: u32,
}

impl NodeConfig {
    /// Creates the configuration of a node that gets its endpoint list from the agent at this address.
    pub fn new(discovery: SocketAddr) -> Self {
        Self {
            discovery,
            known_list: "null".to_owned(),
            settings: SETTINGS.to_owned(),
            sockets: 1024,
            memory_mb: 192,
        }
    }

    /// Creates the configuration of a node that knows the current list of its agent when it starts.
    pub fn with_list_of(discovery: &StubDiscovery) -> Self {
        Self::new(discovery.address).known_list(&discovery.list())
    }

    /// Sets the endpoint list that the node knows when it starts.
    pub fn known_list(self, list: &str) -> Self {
        Self { known_list: list.to_owned(), ..self }
    }

    /// Replaces the settings.
    pub fn settings(self, settings: &str) -> Self {
        Self { settings: settings.to_owned(), ..self }
    }

    /// Sets the limit on file descriptors.
    pub fn sockets(self, sockets: usize) -> Self {
        Self { sockets, ..self }
    }

    /// Sets the limit on memory.
    pub fn memory_mb(self, memory_mb: u32) -> Self {
        Self { memory_mb, ..self }
    }

    /// Returns the text of the file.
    pub fn to_json(&self) -> String {
        let Self { discovery, known_list, settings, sockets, memory_mb } = self;
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known_list},"settings":{settings}}}"#
        )
    }
}

/// Writes a temporary file with a name that no other test uses.
pub fn temporary_file(text: &str) -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("edge-gateway-test-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("failed to write the configuration file");
    path
}
