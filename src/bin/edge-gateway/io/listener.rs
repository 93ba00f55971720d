//! Binds the listening sockets of clients and metrics.

use crate::io::resource_exhaustion::is_resource_exhaustion;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{sleep, Instant};

/// Connections that may wait to be accepted: room for a burst of connects. An overflow costs the next client
/// a second, until its system retries.
const ACCEPT_BACKLOG: u32 = 1024;
/// While the address is in use by an earlier process, or the system lacks a resource, binding is retried for
/// this long ...
const RETRY_TIMEOUT: Duration = Duration::from_secs(5);
/// ... with this pause between the attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Listens at an address.
///
/// # Errors
/// If the address is not available: at once, or after some seconds of retries where that may change.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let retry_until = Instant::now() + RETRY_TIMEOUT;
    loop {
        match bind(address) {
            Err(error) if is_transient(&error) && Instant::now() < retry_until => {
                sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

fn is_transient(error: &io::Error) -> bool {
    is_resource_exhaustion(error) || error.kind() == io::ErrorKind::AddrInUse
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A node that starts again takes over its address while old connections still linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
