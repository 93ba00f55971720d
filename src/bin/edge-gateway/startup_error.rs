//! Why a node could not start.

use crate::configuration::ConfigurationError;
use edge_gateway::SettingsError;
use std::io;
use std::net::SocketAddr;

/// Why a node could not start. Each message is one line.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// The system refused something that the process needs: threads, signal handlers, sockets.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The configuration cannot be used.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The settings cannot be acted on.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The address for clients is not available.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
}
