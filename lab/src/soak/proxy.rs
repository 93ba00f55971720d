//! A TCP proxy in front of each endpoint, which injects faults of the network.
//!
//! Request bytes are forwarded at once or not at all, so that an endpoint observes them when the node sends
//! them. Responses can be delayed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Maximum number of bytes that are forwarded at a time.
const BUFFER_BYTES: usize = 16 << 10;
/// Time within which a closed proxy can be opened again.
const REOPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two attempts to open a closed proxy again.
const REOPEN_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 128;
/// Idle time after which connections without a fault are closed. No node keeps them idle for this long.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// A fault that cuts off data does so on average at one in this many reads.
const READS_PER_TRUNCATION: u32 = 5;

/// How the network between the nodes and one endpoint misbehaves while a fault is injected.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NetworkFault {
    /// All bytes are forwarded at once.
    #[default]
    None,
    /// Some connections are reset within a request.
    ResetRequests,
    /// Some connections are reset before or within a response.
    ResetResponses,
    /// Some connections are closed without a reset before or within a response.
    TruncateResponses,
    /// Each read of a response is delayed by up to this time.
    Delay(Duration),
    /// Nothing is forwarded in either direction, and connections stay open.
    BlackHole,
    /// Connections on which nothing was forwarded for this long are closed.
    CloseIdle(Duration),
}

/// A proxy, which runs until it is dropped.
pub struct Proxy {
    /// Address to which nodes connect. It stays the same when the proxy is closed and opened again.
    pub address: SocketAddr,
    fault: watch::Sender<NetworkFault>,
    task: Mutex<Option<JoinHandle<()>>>,
    endpoint: SocketAddr,
}

impl Proxy {
    /// Starts a proxy in front of an endpoint.
    pub async fn start(endpoint: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (fault, _) = watch::channel(NetworkFault::None);
        let proxy = Arc::new(Self { address, fault, task: Mutex::default(), endpoint });
        proxy.spawn_accept_loop(listener);
        Ok(proxy)
    }

    /// Sets the fault of the network from now on.
    pub fn set_fault(&self, fault: NetworkFault) {
        self.fault.send_replace(fault);
    }

    /// Refuses new connections from now on, and resets the open ones.
    pub fn close(&self) {
        let task = self.task.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(task) = task {
            task.abort();
        }
    }

    /// Accepts connections again at the same address.
    pub async fn open(self: &Arc<Self>) -> io::Result<()> {
        self.close();
        let started_at = Instant::now();
        loop {
            match self.listen() {
                Ok(listener) => {
                    self.spawn_accept_loop(listener);
                    return Ok(());
                }
                // The aborted task may still hold the listener.
                Err(_) if started_at.elapsed() < REOPEN_TIMEOUT => sleep(REOPEN_INTERVAL).await,
                Err(error) => return Err(error),
            }
        }
    }

    fn listen(&self) -> io::Result<TcpListener> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        socket.listen(LISTEN_BACKLOG)
    }

    fn spawn_accept_loop(self: &Arc<Self>, listener: TcpListener) {
        let (fault, endpoint) = (self.fault.subscribe(), self.endpoint);
        let task = tokio::spawn(async move {
            // Aborting this task drops the set, which aborts the tasks of all connections.
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(proxy_connection(stream, endpoint, fault.clone()));
                while connections.try_join_next().is_some() {}
            }
        });
        *self.task.lock().unwrap_or_else(PoisonError::into_inner) = Some(task);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.close();
    }
}

/// How the proxy ends its connection to the node.
enum ConnectionEnd {
    Closed,
    Reset,
}

async fn proxy_connection(node: TcpStream, endpoint: SocketAddr, fault: watch::Receiver<NetworkFault>) {
    // With a linger time of 0, dropping the stream resets the connection, also if this task is aborted.
    let _ = socket2::SockRef::from(&node).set_linger(Some(Duration::ZERO));
    let Ok(endpoint) = TcpStream::connect(endpoint).await else { return };
    let _ = (node.set_nodelay(true), endpoint.set_nodelay(true));
    let relay = Relay { node: &node, endpoint, fault, rng: connection_rng(&node) };
    if let ConnectionEnd::Closed = relay.run().await {
        let _ = socket2::SockRef::from(&node).set_linger(None);
    }
}

/// Returns the random generator of a connection, seeded by the node's port.
fn connection_rng(node: &TcpStream) -> StdRng {
    StdRng::seed_from_u64(node.peer_addr().map_or(0, |peer| u64::from(peer.port())))
}

/// Forwards bytes between a node and an endpoint under the current fault.
struct Relay<'a> {
    node: &'a TcpStream,
    endpoint: TcpStream,
    fault: watch::Receiver<NetworkFault>,
    rng: StdRng,
}

impl Relay<'_> {
    async fn run(mut self) -> ConnectionEnd {
        let (mut request, mut response) = (vec![0; BUFFER_BYTES], vec![0; BUFFER_BYTES]);
        loop {
            let fault = *self.fault.borrow();
            if fault == NetworkFault::BlackHole {
                return self.forward_nothing().await;
            }
            let idle_timeout =
                if let NetworkFault::CloseIdle(timeout) = fault { timeout } else { DEFAULT_IDLE_TIMEOUT };
            let forwarded = tokio::select! {
                read = read_from_node(self.node, &mut request) => match read {
                    Ok(0) | Err(_) => Err(ConnectionEnd::Closed),
                    Ok(length) => self.forward_request(fault, &request[..length]).await,
                },
                read = self.endpoint.read(&mut response) => match read {
                    Ok(0) => Err(ConnectionEnd::Closed),
                    Err(_) => Err(ConnectionEnd::Reset),
                    Ok(length) => self.forward_response(fault, &response[..length]).await,
                },
                () = sleep(idle_timeout) => Err(ConnectionEnd::Closed),
            };
            if let Err(end) = forwarded {
                return end;
            }
        }
    }

    /// Forwards nothing until the fault changes or the node closes its connection.
    async fn forward_nothing(&mut self) -> ConnectionEnd {
        tokio::select! {
            // A peer that is reachable again after a network failure does not know its earlier connections.
            _ = self.fault.changed() => ConnectionEnd::Reset,
            () = wait_until_closed_by_node(self.node) => ConnectionEnd::Closed,
        }
    }

    async fn forward_request(&mut self, fault: NetworkFault, bytes: &[u8]) -> Result<(), ConnectionEnd> {
        let (forwarded, truncated) = self.maybe_truncate(bytes, fault == NetworkFault::ResetRequests);
        let written = self.endpoint.write_all(forwarded).await;
        if written.is_err() || truncated {
            return Err(ConnectionEnd::Reset);
        }
        Ok(())
    }

    async fn forward_response(&mut self, fault: NetworkFault, bytes: &[u8]) -> Result<(), ConnectionEnd> {
        if let NetworkFault::Delay(max) = fault {
            sleep(max.mul_f64(self.rng.random())).await;
        }
        // Without a length, a truncated response would look complete when the connection is closed.
        let truncating = fault == NetworkFault::TruncateResponses && has_length(bytes);
        let faulty = fault == NetworkFault::ResetResponses || truncating;
        let (forwarded, truncated) = self.maybe_truncate(bytes, faulty);
        let written = write_to_node(self.node, forwarded).await;
        if written.is_err() || truncated {
            let orderly = fault == NetworkFault::TruncateResponses;
            return Err(if orderly { ConnectionEnd::Closed } else { ConnectionEnd::Reset });
        }
        Ok(())
    }

    /// Returns the bytes to forward, and whether the rest was cut off. That happens only with `faulty`, on
    /// average at one in `READS_PER_TRUNCATION` reads.
    fn maybe_truncate<'a>(&mut self, bytes: &'a [u8], faulty: bool) -> (&'a [u8], bool) {
        if faulty && self.rng.random_ratio(1, READS_PER_TRUNCATION) {
            return (&bytes[..self.rng.random_range(0..bytes.len())], true);
        }
        (bytes, false)
    }
}

/// Whether these bytes of a response contain a `Content-Length` header.
fn has_length(response: &[u8]) -> bool {
    const HEADER: &[u8] = b"Content-Length: ";
    response.windows(HEADER.len()).any(|window| window == HEADER)
}

/// Reads from a node's connection, which is only borrowed; 0 bytes at its end.
async fn read_from_node(node: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        node.readable().await?;
        match node.try_read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// Writes all bytes to a node's connection, which is only borrowed.
async fn write_to_node(node: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        node.writable().await?;
        match node.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Waits until a node has closed its connection. Bytes that it sends are left unread.
async fn wait_until_closed_by_node(node: &TcpStream) {
    const CHECK_INTERVAL: Duration = Duration::from_millis(5);
    while !matches!(node.peek(&mut [0]).await, Ok(0) | Err(_)) {
        sleep(CHECK_INTERVAL).await;
    }
}
