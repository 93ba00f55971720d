//! The configuration file of a node: its addresses, its limits, and the settings that the library parses.

pub mod reload;

use crate::memory_budget::MEMORY_PER_ENDPOINT;
use edge_gateway::{
    ConnectionSettings, EndpointList, PollSettings, RequestLimits, Settings, SettingsDocument,
};
use serde::Deserialize;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::{env, fs, io};

/// The environment variable that contains the path of the configuration file.
const PATH_VARIABLE: &str = "RELAY_CONFIG";
/// Smallest limit of file descriptors with which a node can serve requests.
pub const MIN_DESCRIPTORS: usize = 32;
/// Limit of file descriptors if the file sets none.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// Memory limit in mebibytes if the file sets none.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Fraction of the memory limit that the endpoint list and all state of its endpoints may use.
const ENDPOINT_MEMORY_FRACTION: f64 = 0.75;
/// Smallest maximum length of the endpoint list, however low the memory limit.
const MIN_ENDPOINT_LIMIT: usize = 1024;

/// A node's configuration.
pub struct Configuration {
    /// The address on which the node listens for clients.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// Seed of the node's random numbers, written in hexadecimal digits; must differ between nodes.
    pub seed: u64,
    /// Maximum number of file descriptors that the node may have open.
    pub max_descriptors: usize,
    /// Memory in bytes that the node may use.
    pub max_memory: usize,
    /// Maximum number of entries in an endpoint list, so that the node stays within its memory limit.
    pub max_endpoints: usize,
    /// The endpoint list that this node held last; `None` if the file contains none.
    pub cached_endpoints: Option<EndpointList>,
    /// The settings of the gateway.
    pub settings: Settings,
    /// The settings of connections to endpoints.
    pub connection_settings: ConnectionSettings,
    /// The settings of the polls of discovery.
    pub poll_settings: PollSettings,
    /// Limits on the values that a request may specify.
    pub request_limits: RequestLimits,
}

/// Why the configuration file could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The environment variable that contains the path cannot be used.
    #[error("the environment variable {name}, the path of the configuration: {source}")]
    Variable {
        name: &'static str,
        /// Whether the variable is missing or is not Unicode.
        source: env::VarError,
    },
    /// The file at `path` cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable { path: String, source: io::Error },
    /// The content of the file at `path` cannot be used.
    #[error("{path}: {source}")]
    Invalid { path: String, source: ContentError },
}

/// What is wrong with the content of a configuration file.
#[derive(Debug, thiserror::Error)]
pub enum ContentError {
    /// It is not JSON, or a key is missing or malformed.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("seed: '{text}' is not a hexadecimal number of at most 64 bits: {source}")]
    Seed {
        text: String,
        /// What is wrong with the value: a digit, or its size.
        source: ParseIntError,
    },
    /// The limit of file descriptors is lower than [`MIN_DESCRIPTORS`].
    #[error("limits.sockets: {0} file descriptors, must be at least {MIN_DESCRIPTORS}")]
    TooFewDescriptors(usize),
    /// The settings object contains a value that the library does not know.
    #[error("settings: {0}")]
    Settings(#[from] edge_gateway::ConfigurationError),
}

/// The configuration file as it is written in JSON.
#[derive(Deserialize)]
struct ConfigurationFile {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(rename = "known")]
    cached_endpoints: Option<EndpointList>,
    settings: SettingsDocument,
}

/// The limits of the process in the configuration file.
#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    /// Memory in mebibytes.
    memory_mb: f64,
    /// Maximum number of open file descriptors.
    #[serde(rename = "sockets")]
    max_descriptors: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: DEFAULT_MEMORY_MB, max_descriptors: DEFAULT_MAX_DESCRIPTORS }
    }
}

impl Limits {
    /// Returns the memory limit in bytes.
    fn max_memory(&self) -> usize {
        (self.memory_mb * f64::from(1 << 20)) as usize
    }

    /// Returns the maximum number of entries of an endpoint list that fits into the memory limit.
    fn max_endpoints(&self) -> usize {
        let bytes = self.max_memory() as f64 * ENDPOINT_MEMORY_FRACTION;
        ((bytes / MEMORY_PER_ENDPOINT as f64) as usize).max(MIN_ENDPOINT_LIMIT)
    }
}

impl Configuration {
    /// Loads the file whose path is in `RELAY_CONFIG`.
    ///
    /// # Errors
    /// If the variable is not set, the file cannot be read, or its content is invalid.
    pub fn load() -> Result<Self, LoadError> {
        let path =
            env::var(PATH_VARIABLE).map_err(|source| LoadError::Variable { name: PATH_VARIABLE, source })?;
        match fs::read_to_string(&path) {
            Ok(text) => Self::parse(&text).map_err(|source| LoadError::Invalid { path, source }),
            Err(source) => Err(LoadError::Unreadable { path, source }),
        }
    }

    fn parse(text: &str) -> Result<Self, ContentError> {
        let file: ConfigurationFile = serde_json::from_str(text)?;
        let seed = parse_seed(&file.seed)?;
        let max_descriptors = file.limits.max_descriptors;
        if max_descriptors < MIN_DESCRIPTORS {
            return Err(ContentError::TooFewDescriptors(max_descriptors));
        }
        let settings = file.settings;
        Ok(Self {
            listen: file.listen,
            discovery: file.discovery,
            seed,
            max_descriptors,
            max_memory: file.limits.max_memory(),
            max_endpoints: file.limits.max_endpoints(),
            cached_endpoints: file.cached_endpoints,
            connection_settings: settings.connection_settings(),
            poll_settings: settings.poll_settings(),
            request_limits: settings.request_limits(),
            settings: settings.settings()?,
        })
    }
}

fn parse_seed(text: &str) -> Result<u64, ContentError> {
    u64::from_str_radix(text, 16).map_err(|source| ContentError::Seed { text: text.to_owned(), source })
}
