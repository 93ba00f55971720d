//! Connects to an endpoint, with retries while this machine lacks a resource that a connection needs.

use super::connection::{ConnectionPermit, PooledConnection};
use super::EndpointInstance;
use crate::io::resource_exhaustion::is_resource_exhaustion;
use edge_gateway::Outcome;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// How long connecting is retried if this machine lacks ports, buffers or descriptors.
const RETRY_WINDOW: Duration = Duration::from_millis(200);
/// Delay before connecting is retried.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Why there is no connection to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// This node lacks a resource or has reached its limit on connections; the endpoint may be healthy.
    #[error("no resources for another connection")]
    ResourceExhausted,
    /// The endpoint did not accept the connection, or not before the timeout.
    #[error("the endpoint cannot be reached")]
    Unreachable,
}

impl From<ConnectError> for Outcome {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::ResourceExhausted => Outcome::NotSent,
            ConnectError::Unreachable => Outcome::ConnectFailed,
        }
    }
}

/// Connects to an endpoint and prepares the connection for HTTP. `connect_timeout` includes the retries.
///
/// # Errors
/// If no connection can be established before the timeout.
pub async fn connect(
    instance: EndpointInstance,
    connect_timeout: Duration,
    permit: ConnectionPermit,
) -> Result<PooledConnection, ConnectError> {
    let connected = timeout(connect_timeout, connect_with_retries(instance.address)).await;
    let stream = connected.unwrap_or(Err(ConnectError::Unreachable))?;
    stream.set_nodelay(true).map_err(|_| ConnectError::Unreachable)?;
    let connection = PooledConnection::handshake(stream, instance, permit).await;
    connection.map_err(|_| ConnectError::Unreachable)
}

/// Connects, and retries within [`RETRY_WINDOW`] while this machine lacks a resource. Without the retries,
/// such a failure would use up all attempts of a request at once, although no endpoint is at fault.
async fn connect_with_retries(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let give_up_at = Instant::now() + RETRY_WINDOW;
    loop {
        let error = match TcpStream::connect(address).await {
            Ok(stream) => return Ok(stream),
            Err(error) => error,
        };
        let network_unreachable = matches!(error.raw_os_error(), Some(libc::ENETUNREACH));
        let is_transient = network_unreachable
            || is_resource_exhaustion(&error)
            || error.kind() == io::ErrorKind::Interrupted;
        if !is_transient {
            return Err(ConnectError::Unreachable);
        }
        if Instant::now() >= give_up_at {
            tracing::warn!(%error, %address, "cannot connect to an endpoint");
            return Err(if network_unreachable {
                ConnectError::Unreachable
            } else {
                ConnectError::ResourceExhausted
            });
        }
        sleep(RETRY_DELAY).await;
    }
}
