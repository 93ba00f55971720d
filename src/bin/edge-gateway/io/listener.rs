//! The listener for clients.

use crate::io::resource_exhaustion::is_resource_exhaustion;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{sleep, Instant};

/// Connections that may wait to be accepted: a queue that holds a crowd. One that runs over costs whoever comes next
/// a second, until the system tries again.
const QUEUE: u32 = 1024;
/// Where the address is still taken by an earlier process, or the system lacks something, it is tried again for this
/// long ...
const PATIENCE: Duration = Duration::from_secs(5);
/// ... with this pause between.
const PAUSE: Duration = Duration::from_millis(20);

/// Listens at an address.
///
/// # Errors
/// If the address cannot be had, at once or after some seconds if that may pass.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let end = Instant::now() + PATIENCE;
    loop {
        let error = match try_listen(address) {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        let passes = is_resource_exhaustion(&error) || error.kind() == io::ErrorKind::AddrInUse;
        if !passes || Instant::now() >= end {
            return Err(error);
        }
        sleep(PAUSE).await;
    }
}

fn try_listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A node that starts again takes over its address while old connections still linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(QUEUE)
}
