//! Binds the listening sockets for clients and for metrics.

use crate::io::resource_exhaustion::is_resource_exhaustion;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{sleep, Instant};

/// Maximum number of connections that wait to be accepted; allows for bursts of connects. On overflow a
/// client waits a second until its system retries the connect.
const ACCEPT_BACKLOG: u32 = 1024;
/// Time from the first try during which binding is retried if the address is in use by an earlier process or
/// the system lacks a resource.
const BIND_RETRY_WINDOW: Duration = Duration::from_secs(5);
/// Pause between two tries to bind.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Binds a listening socket to `address`.
///
/// # Errors
/// If the address cannot be bound: for transient errors only after [`BIND_RETRY_WINDOW`], for others at once.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let retry_until = Instant::now() + BIND_RETRY_WINDOW;
    loop {
        match bind(address) {
            Err(error) if is_transient(&error) && Instant::now() < retry_until => {
                sleep(BIND_RETRY_DELAY).await;
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
    // A restarted node can bind its address while the kernel still holds connections of the earlier process.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
