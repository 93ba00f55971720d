//! What a node is told at its start.

pub mod reload;

use edge_gateway::{
    ConnectionSettings, EndpointList, PollSettings, RequestLimits, Settings, SettingsDocument,
};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// A node's configuration.
pub struct Configuration {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Seed for random numbers.
    pub seed: u64,
    /// Most file descriptors that the node may hold.
    pub sockets: usize,
    /// Most entries that a list of app servers may have, by the memory that the node may use.
    pub max_endpoints: usize,
    /// The list of app servers as this node last had it.
    pub known: Option<EndpointList>,
    /// What the decisions rest on.
    pub settings: Settings,
    /// What the settings tell of connections.
    pub links: ConnectionSettings,
    /// What the settings tell of calls to discovery.
    pub asking: PollSettings,
    /// What requests may say of themselves.
    pub bounds: RequestLimits,
}

/// Why a configuration cannot be used.
#[derive(Debug)]
pub enum ConfigurationError {
    /// An environment variable is missing.
    Unset(&'static str),
    /// The file cannot be read.
    Unreadable(String, std::io::Error),
    /// The file is not what it should be.
    Malformed(String, String),
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigurationError::Unset(name) => write!(f, "the environment variable {name} is not set"),
            ConfigurationError::Unreadable(path, error) => write!(f, "cannot read {path}: {error}"),
            ConfigurationError::Malformed(path, what) => write!(f, "{path}: {what}"),
        }
    }
}

impl std::error::Error for ConfigurationError {}

#[derive(Deserialize)]
struct File {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<EndpointList>,
    settings: SettingsDocument,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 192.0, sockets: 1024 }
    }
}

/// Part of the memory that app servers may take, with all that is known and learned of them.
const TARGETS_PART: f64 = 0.75;
/// What one of them takes at the most, in bytes, while a whole list takes the place of another.
const TARGET_BYTES: f64 = 900.0;
/// So many may always be listed.
const TARGETS_LEAST: usize = 1024;

/// How many entries of a list fit into a memory of so many megabytes.
fn max_endpoints(memory_mb: f64) -> usize {
    let bytes = memory_mb * f64::from(1 << 20) * TARGETS_PART;
    ((bytes / TARGET_BYTES) as usize).max(TARGETS_LEAST)
}

/// The fewest descriptors with which a node can serve at all.
const SOCKETS_LEAST: usize = 32;

impl Configuration {
    /// Reads the file that `RELAY_CONFIG` names.
    pub fn load() -> Result<Self, ConfigurationError> {
        let path = std::env::var("RELAY_CONFIG").map_err(|_| ConfigurationError::Unset("RELAY_CONFIG"))?;
        let text =
            std::fs::read_to_string(&path).map_err(|e| ConfigurationError::Unreadable(path.clone(), e))?;
        Self::parse(&text).map_err(|what| ConfigurationError::Malformed(path, what))
    }

    fn parse(text: &str) -> Result<Self, String> {
        let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("seed: '{}' is not a hexadecimal number", file.seed))?;
        if file.limits.sockets < SOCKETS_LEAST {
            return Err(format!(
                "limits: {} sockets are too few, {SOCKETS_LEAST} needed",
                file.limits.sockets
            ));
        }
        let (links, asking, bounds) = (
            file.settings.connection_settings(),
            file.settings.poll_settings(),
            file.settings.request_limits(),
        );
        Ok(Self {
            listen: file.listen,
            discovery: file.discovery,
            seed,
            sockets: file.limits.sockets,
            max_endpoints: max_endpoints(file.limits.memory_mb),
            known: file.known,
            settings: file.settings.settings().map_err(|e| format!("settings: {e}"))?,
            links,
            asking,
            bounds,
        })
    }
}
