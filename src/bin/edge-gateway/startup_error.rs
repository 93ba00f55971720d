//! The error with which the start of a node fails.

use crate::configuration::LoadError;
use edge_gateway::SettingsError;
use std::io;
use std::net::SocketAddr;

/// The reason why a node could not start. Each message is a single line.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// The system refused a resource that the asynchronous runtime needs.
    #[error("cannot start the runtime: {0}")]
    Runtime(io::Error),
    /// The system refused a signal handler.
    #[error("cannot install the signal handlers: {0}")]
    SignalHandlers(io::Error),
    /// The configuration cannot be read or is invalid.
    #[error(transparent)]
    Configuration(#[from] LoadError),
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The node cannot listen for clients.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The configured address to listen on.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
}
