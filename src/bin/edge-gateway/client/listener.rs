//! The accept loop: accepts connections from the kernel's backlog, up to the connection limit, and spawns a
//! task for each.
//!
//! [`super::accept_backoff`] decides how long to pause after a failure, [`super::connection_table`] which
//! connections are closed to stay below the limit.

use crate::client::accept_backoff::AcceptBackoff;
use crate::client::connection_table::ConnectionTable;
use crate::client::handler::RequestHandler;
use crate::client::serve::serve;
use crate::io::resource_exhaustion::RESOURCE_EXHAUSTION_PAUSE;
use crate::telemetry::slow_polls::{time_polls, TaskKind};
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{interval, timeout, Instant};

/// Interval between two checks for connections that have timed out.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time to accept what is in the backlog at shutdown, in case accepting fails. After a
/// longer time too little would be left before the process is killed (see [`super::shutdown`]).
const BACKLOG_DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts client connections and spawns the tasks that serve them.
pub struct Acceptor {
    listener: TcpListener,
    connections: Rc<ConnectionTable>,
    handler: Rc<RequestHandler>,
    backoff: AcceptBackoff,
}

impl Acceptor {
    /// Creates an acceptor for `listener` that enters connections in `connections`.
    pub fn new(listener: TcpListener, connections: Rc<ConnectionTable>, handler: Rc<RequestHandler>) -> Self {
        Self { listener, connections, handler, backoff: AcceptBackoff::default() }
    }

    /// Accepts connections until `stop` is notified, then those in the backlog, and closes the listener.
    pub async fn run(mut self, stop: &Notify) {
        self.accept_until(stop).await;
        if timeout(BACKLOG_DRAIN_TIMEOUT, self.drain_backlog()).await.is_err() {
            tracing::error!(
                time_limit = ?BACKLOG_DRAIN_TIMEOUT,
                "cannot accept all connections in the backlog before shutdown"
            );
        }
    }

    async fn accept_until(&mut self, stop: &Notify) {
        let mut timeout_check = interval(TIMEOUT_CHECK_INTERVAL);
        loop {
            // Prevents running out of file descriptors: at the limit the next connection waits in the backlog
            // until one has closed.
            self.connections.evict_excess();
            if self.backoff.may_have_backlog() {
                self.accept_backlog();
            }
            let at_limit = self.connections.is_full();
            if at_limit {
                self.backoff.record_limit_reached();
            }
            tokio::select! {
                () = self.connections.connection_closed(), if at_limit => {}
                accepted = self.listener.accept(), if !at_limit => match accepted {
                    Ok((stream, client_address)) => self.spawn(stream, Some(client_address)),
                    Err(error) => self.backoff.pause_after_failure(&error).await,
                },
                _ = timeout_check.tick() => self.connections.close_timed_out(),
                () = stop.notified() => return,
            }
        }
    }

    /// Accepts the connections that waited in the backlog while accepting failed or the limit was reached.
    /// Ends when the backlog is empty, at the limit or at the next failure. Bypasses tokio, whose `accept`
    /// does not report an empty backlog but waits for the next connection.
    fn accept_backlog(&mut self) {
        while !self.connections.is_full() {
            match try_accept(&self.listener) {
                Ok((stream, client_address)) => self.spawn(stream, client_address),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return self.backoff.record_empty_backlog()
                }
                Err(_) => return,
            }
        }
    }

    /// Accepts every connection in the backlog: its client is already connected and may have sent a request.
    /// Bypasses tokio, which may not have been notified of it yet.
    async fn drain_backlog(&mut self) {
        self.backoff = AcceptBackoff::default();
        loop {
            self.connections.evict_excess();
            if self.connections.is_full() {
                self.backoff.record_limit_reached();
                let _ = timeout(RESOURCE_EXHAUSTION_PAUSE, self.connections.connection_closed()).await;
                continue;
            }
            match try_accept(&self.listener) {
                Ok((stream, client_address)) => self.spawn(stream, client_address),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => self.backoff.pause_after_failure(&error).await,
            }
        }
    }

    fn spawn(&mut self, stream: TcpStream, client_address: Option<SocketAddr>) {
        let queued_since = self.backoff.record_accept();
        spawn_connection(&self.connections, &self.handler, stream, client_address, queued_since);
    }
}

/// Spawns the task that serves an accepted connection. `client_address` identifies it in the log.
/// `queued_since` is the earliest time from which it may have waited in the backlog; `None` if it did not.
pub fn spawn_connection(
    connections: &Rc<ConnectionTable>,
    handler: &Rc<RequestHandler>,
    stream: TcpStream,
    client_address: Option<SocketAddr>,
    queued_since: Option<Instant>,
) {
    let registration = connections.register(client_address);
    let handler = handler.clone();
    let task = async move {
        // If this fails, the socket is broken, and the first read returns an error as well.
        let _ = stream.set_nodelay(true);
        serve(handler, registration.connection().clone(), stream, queued_since).await;
        drop(registration);
    };
    tokio::task::spawn_local(time_polls(TaskKind::ClientConnection, task));
}

/// Accepts a connection without waiting, bypassing tokio. Returns the client's address as well. The error is
/// `WouldBlock` if the backlog is empty.
fn try_accept(listener: &TcpListener) -> io::Result<(TcpStream, Option<SocketAddr>)> {
    let (socket, client_address) = SockRef::from(listener).accept()?;
    socket.set_nonblocking(true)?;
    Ok((TcpStream::from_std(socket.into())?, client_address.as_socket()))
}
