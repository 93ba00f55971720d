//! Connects to an endpoint, with retries while this machine lacks a resource that a connection needs.

use super::connection::{ConnectionPermit, PooledConnection};
use super::EndpointInstance;
use crate::io::http_error::with_source;
use crate::io::resource_exhaustion::is_resource_exhaustion;
use edge_gateway::Outcome;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Time from the first try during which connecting is retried if this machine lacks ports, buffers or
/// descriptors.
const RETRY_WINDOW: Duration = Duration::from_millis(200);
/// Pause between two tries to connect.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Why there is no connection to an endpoint.
#[derive(Debug, thiserror::Error)]
#[error("cannot connect to {address}: {cause}")]
pub struct ConnectError {
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    /// What failed: a limit, a resource, the network, a timeout or HTTP.
    pub cause: ConnectFailure,
}

/// What failed when a connection to an endpoint was to be opened.
#[derive(Debug, thiserror::Error)]
pub enum ConnectFailure {
    /// The pool has this many connections, its maximum, and none of them is idle.
    #[error("all {0} connections of the pool are in use")]
    PoolExhausted(usize),
    /// This machine lacks a resource that a connection needs; the endpoint may be healthy.
    #[error("resources exhausted: {0}")]
    ResourceExhausted(io::Error),
    /// The endpoint did not accept the connection, or there is no route to it.
    #[error("{0}")]
    Unreachable(io::Error),
    /// There was no connection within the connect timeout.
    #[error("no connection within {0:?}")]
    Timeout(Duration),
    /// hyper could not set up HTTP on the connection.
    #[error("cannot set up HTTP: {}", with_source(.0))]
    Handshake(hyper::Error),
}

impl From<&ConnectError> for Outcome {
    fn from(error: &ConnectError) -> Self {
        match error.cause {
            ConnectFailure::PoolExhausted(_) | ConnectFailure::ResourceExhausted(_) => Outcome::NotSent,
            ConnectFailure::Unreachable(_) | ConnectFailure::Timeout(_) | ConnectFailure::Handshake(_) => {
                Outcome::ConnectFailed
            }
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
    let address = instance.address;
    let failed = |cause| ConnectError { address, cause };
    let connected = timeout(connect_timeout, connect_with_retries(address)).await;
    let connected = connected.unwrap_or(Err(ConnectFailure::Timeout(connect_timeout)));
    let stream = connected.map_err(failed)?;
    stream.set_nodelay(true).map_err(|error| failed(ConnectFailure::Unreachable(error)))?;
    let connection = PooledConnection::handshake(stream, instance, permit).await;
    connection.map_err(|error| failed(ConnectFailure::Handshake(error)))
}

/// Connects, and retries within [`RETRY_WINDOW`] while this machine lacks a resource. Without the retries,
/// such a failure would use up all attempts of a request at once, although no endpoint is at fault.
async fn connect_with_retries(address: SocketAddr) -> Result<TcpStream, ConnectFailure> {
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
            return Err(ConnectFailure::Unreachable(error));
        }
        if Instant::now() >= give_up_at {
            tracing::warn!(%error, %address, "cannot connect to an endpoint");
            return Err(if network_unreachable {
                ConnectFailure::Unreachable(error)
            } else {
                ConnectFailure::ResourceExhausted(error)
            });
        }
        sleep(RETRY_DELAY).await;
    }
}
