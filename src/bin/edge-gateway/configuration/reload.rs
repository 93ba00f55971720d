//! Reading the configuration: at the start, and anew at each SIGHUP.

use crate::configuration::{Configuration, ConfigurationError};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::sleep;

/// A file that cannot be used is tried again for this long: the system may lack something for a moment, and a new
/// file may be half written. What a new discovery has counts as told 4 s after the signal.
const PATIENCE: Duration = Duration::from_secs(2);
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(50);

/// Reads the configuration at the start, for some time if the system fails to give it.
///
/// # Errors
/// If it cannot be used.
pub fn load_through_trouble() -> Result<Configuration, ConfigurationError> {
    let end = Instant::now() + PATIENCE;
    loop {
        match Configuration::load() {
            Err(ConfigurationError::Unreadable(path, error))
                if may_pass(error.kind()) && Instant::now() < end =>
            {
                tracing::warn!(path, %error, "the configuration cannot be read yet");
                std::thread::sleep(PAUSE);
            }
            result => return result,
        }
    }
}

/// Whether a file that is there may be read a moment later.
fn may_pass(kind: ErrorKind) -> bool {
    !matches!(kind, ErrorKind::NotFound | ErrorKind::PermissionDenied | ErrorKind::InvalidData)
}

/// Reads the configuration anew at each SIGHUP, also while the node winds up. What a running node takes from it is the
/// address of discovery; all else stays as it was at the start.
pub async fn reload_on(mut hangups: Signal, agent: watch::Sender<SocketAddr>) {
    while hangups.recv().await.is_some() {
        let end = Instant::now() + PATIENCE;
        loop {
            match Configuration::load() {
                Ok(config) => {
                    tracing::info!(discovery = %config.discovery, "configuration read anew");
                    agent.send_replace(config.discovery);
                    break;
                }
                Err(error) if Instant::now() >= end => {
                    // Guards a running node against a file that is wrong.
                    tracing::warn!(%error, "the configuration stays as it was");
                    break;
                }
                Err(error) => {
                    tracing::debug!(%error, "the configuration cannot be used yet");
                    sleep(PAUSE).await;
                }
            }
        }
    }
}
