//! Loads the configuration: at the start, and again at each SIGHUP.

use crate::configuration::{Configuration, ConfigurationError};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::sleep;

/// A file that cannot be used is loaded again for this long: the system may lack a resource for a moment, and
/// a new file may be half written. A node counts as notified of a new discovery agent 4 s after the signal.
const RETRY_WINDOW: Duration = Duration::from_secs(2);
/// Pause between two attempts to load.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Loads the configuration at the start. Retries for some time while the system fails to read a file that
/// exists; blocks the thread meanwhile, since nothing runs yet.
///
/// # Errors
/// If the configuration cannot be used.
pub fn load_with_retry() -> Result<Configuration, ConfigurationError> {
    let retry_until = Instant::now() + RETRY_WINDOW;
    loop {
        match Configuration::load() {
            Err(ConfigurationError::Unreadable { path, source: error })
                if is_transient(error.kind()) && Instant::now() < retry_until =>
            {
                tracing::warn!(path, %error, "cannot read the configuration yet");
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

/// Whether the file may be readable a moment later.
fn is_transient(kind: ErrorKind) -> bool {
    !matches!(kind, ErrorKind::NotFound | ErrorKind::PermissionDenied | ErrorKind::InvalidData)
}

/// Reloads the configuration at each SIGHUP, also during graceful shutdown. A running node takes the address
/// of the discovery agent from it, and sends it to `agent`; all else stays as it was at the start.
pub async fn reload_on_hangup(mut hangups: Signal, agent: watch::Sender<SocketAddr>) {
    while hangups.recv().await.is_some() {
        match reload_with_retry().await {
            Ok(configuration) => {
                tracing::info!(discovery = %configuration.discovery, "configuration reloaded");
                agent.send_replace(configuration.discovery);
            }
            // Guards a running node against an invalid file.
            Err(error) => tracing::warn!(%error, "configuration not reloaded"),
        }
    }
}

/// Loads the configuration of a running node; retries after any error, since a new file may be half written.
async fn reload_with_retry() -> Result<Configuration, ConfigurationError> {
    let retry_until = Instant::now() + RETRY_WINDOW;
    loop {
        match Configuration::load() {
            Err(error) if Instant::now() < retry_until => {
                tracing::debug!(%error, "cannot use the configuration yet");
                sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}
