//! The configuration file of a node: where it listens, its limits, and the settings that the library parses.

pub mod reload;

use edge_gateway::{
    ConnectionSettings, EndpointList, PollSettings, RequestLimits, Settings, SettingsDocument,
};
use serde::Deserialize;
use std::net::SocketAddr;
use std::{env, fs, io};

/// The environment variable that names the configuration file.
const PATH_VARIABLE: &str = "RELAY_CONFIG";
/// The least limit of file descriptors with which a node can serve at all.
pub const MIN_DESCRIPTORS: usize = 32;
/// Limit of file descriptors where the file sets none.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// Limit of memory where the file sets none, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Part of the memory that the endpoint list may take, with all state of its endpoints.
const ENDPOINT_MEMORY_FRACTION: f64 = 0.75;
/// Most memory that one endpoint takes, in bytes, while a complete list replaces another.
const BYTES_PER_ENDPOINT: f64 = 900.0;
/// Endpoints that may be listed however small the memory.
const MIN_ENDPOINT_LIMIT: usize = 1024;

/// A node's configuration.
pub struct Configuration {
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// Seed of random numbers.
    pub seed: u64,
    /// Most file descriptors that the node may have open.
    pub max_descriptors: usize,
    /// Most entries that an endpoint list may have, by the memory that the node may use.
    pub max_endpoints: usize,
    /// The endpoint list as this node last had it.
    pub cached_endpoints: Option<EndpointList>,
    /// The settings that decisions depend on.
    pub settings: Settings,
    /// The settings of connections to endpoints.
    pub connection_settings: ConnectionSettings,
    /// The settings of polls of discovery.
    pub poll_settings: PollSettings,
    /// Limits on what a request may say of itself.
    pub request_limits: RequestLimits,
}

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// An environment variable is missing.
    #[error("the environment variable {0} is not set")]
    VariableNotSet(&'static str),
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The file's content cannot be used.
    #[error("{path}: {source}")]
    Invalid {
        /// The file.
        path: String,
        /// What is wrong with it.
        source: InvalidConfiguration,
    },
}

/// What is wrong with the content of a configuration file.
#[derive(Debug, thiserror::Error)]
pub enum InvalidConfiguration {
    /// It is not JSON, or a key is missing or malformed.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The seed is not a number.
    #[error("seed: '{0}' is not a hexadecimal number")]
    Seed(String),
    /// The limit of file descriptors is too low to serve at all.
    #[error("limits: {0} sockets are too few, {MIN_DESCRIPTORS} needed")]
    TooFewDescriptors(usize),
    /// The settings object cannot be used.
    #[error("settings: {0}")]
    Settings(#[from] edge_gateway::ConfigurationError),
}

/// The file as it is written.
#[derive(Deserialize)]
struct File {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(rename = "known")]
    cached_endpoints: Option<EndpointList>,
    settings: SettingsDocument,
}

/// The limits of the process, as the file sets them.
#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    /// Memory, in megabytes.
    memory_mb: f64,
    /// Open file descriptors.
    #[serde(rename = "sockets")]
    max_descriptors: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: DEFAULT_MEMORY_MB, max_descriptors: DEFAULT_MAX_DESCRIPTORS }
    }
}

impl Limits {
    /// Most entries of an endpoint list that fit into the memory.
    fn max_endpoints(&self) -> usize {
        let bytes = self.memory_mb * f64::from(1 << 20) * ENDPOINT_MEMORY_FRACTION;
        ((bytes / BYTES_PER_ENDPOINT) as usize).max(MIN_ENDPOINT_LIMIT)
    }
}

impl Configuration {
    /// Loads the file that `RELAY_CONFIG` names.
    ///
    /// # Errors
    /// If the variable is not set, or the file cannot be read or used.
    pub fn load() -> Result<Self, ConfigurationError> {
        let path = env::var(PATH_VARIABLE).map_err(|_| ConfigurationError::VariableNotSet(PATH_VARIABLE))?;
        match fs::read_to_string(&path) {
            Ok(text) => Self::parse(&text).map_err(|source| ConfigurationError::Invalid { path, source }),
            Err(source) => Err(ConfigurationError::Unreadable { path, source }),
        }
    }

    fn parse(text: &str) -> Result<Self, InvalidConfiguration> {
        let file: File = serde_json::from_str(text)?;
        let seed = parse_seed(&file.seed)?;
        let max_descriptors = file.limits.max_descriptors;
        if max_descriptors < MIN_DESCRIPTORS {
            return Err(InvalidConfiguration::TooFewDescriptors(max_descriptors));
        }
        let settings = file.settings;
        Ok(Self {
            listen: file.listen,
            discovery: file.discovery,
            seed,
            max_descriptors,
            max_endpoints: file.limits.max_endpoints(),
            cached_endpoints: file.cached_endpoints,
            connection_settings: settings.connection_settings(),
            poll_settings: settings.poll_settings(),
            request_limits: settings.request_limits(),
            settings: settings.settings()?,
        })
    }
}

fn parse_seed(text: &str) -> Result<u64, InvalidConfiguration> {
    u64::from_str_radix(text, 16).map_err(|_| InvalidConfiguration::Seed(text.to_owned()))
}
