//! Loads the configuration at the start, and reloads it at each SIGHUP.

use crate::configuration::{Configuration, LoadError};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::sleep;

/// Time during which a failed load is retried: the system may lack a resource for a moment, and a new file
/// may be half written. A node [counts as notified](edge_gateway::PollBackoff) of a new discovery agent 4 s
/// after SIGHUP; the rest of this time is for the first call.
const RETRY_WINDOW: Duration = Duration::from_secs(2);
/// Delay between two attempts to load the file.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Loads the configuration at the start. Retries transient read errors for [`RETRY_WINDOW`], and blocks the
/// thread meanwhile, since nothing else runs yet.
///
/// # Errors
/// If the last attempt fails. Other errors than transient read errors are not retried.
pub fn load_with_retry() -> Result<Configuration, LoadError> {
    let retry_until = Instant::now() + RETRY_WINDOW;
    loop {
        match Configuration::load() {
            Err(LoadError::Unreadable { path, source: error })
                if is_transient(error.kind()) && Instant::now() < retry_until =>
            {
                tracing::warn!(path, %error, "cannot read the configuration, retrying");
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

/// Whether a read that failed with this error may succeed a moment later.
fn is_transient(kind: ErrorKind) -> bool {
    !matches!(kind, ErrorKind::NotFound | ErrorKind::PermissionDenied | ErrorKind::InvalidData)
}

/// Reloads the configuration at each SIGHUP, also during graceful shutdown, and sends the address of the
/// discovery agent to `address_sender`. A running node ignores all other values of the new file.
pub async fn reload_on_hangup(mut hangups: Signal, address_sender: watch::Sender<SocketAddr>) {
    while hangups.recv().await.is_some() {
        match reload_with_retry().await {
            Ok(configuration) => {
                tracing::info!(discovery = %configuration.discovery, "configuration reloaded");
                address_sender.send_replace(configuration.discovery);
            }
            // The node keeps the agent that was configured last.
            Err(error) => tracing::warn!(%error, "configuration not reloaded"),
        }
    }
}

/// Loads the configuration of a running node. Retries after any error, since a new file may be half written.
async fn reload_with_retry() -> Result<Configuration, LoadError> {
    let retry_until = Instant::now() + RETRY_WINDOW;
    loop {
        match Configuration::load() {
            Err(error) if Instant::now() < retry_until => {
                tracing::debug!(%error, "cannot load the configuration, retrying");
                sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}
