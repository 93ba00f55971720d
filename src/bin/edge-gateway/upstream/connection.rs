//! One connection to an endpoint.
//!
//! A connection checks whether it can carry another request, and counts towards the limit on open
//! connections. The pool decides when to reuse it.

use super::metered_stream::{MeteredStream, StreamMeter};
use super::read_allowance::MAX_HEAD_SIZE;
use super::EndpointInstance;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use tokio::net::TcpStream;

/// Counts as one open connection of the pool until it is dropped.
pub struct ConnectionPermit {
    open_connections: Rc<Cell<usize>>,
}

impl ConnectionPermit {
    /// Increments the number of open connections, which dropping the permit decrements.
    pub fn acquire(open_connections: &Rc<Cell<usize>>) -> Self {
        open_connections.set(open_connections.get() + 1);
        Self { open_connections: open_connections.clone() }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open_connections.set(self.open_connections.get() - 1);
    }
}

/// A connection to an endpoint. It has no task of its own: its user polls `driver`, so that dropping the
/// connection stops all its work.
pub struct PooledConnection {
    /// hyper's handle to send requests; `driver` must be polled for anything to be written.
    pub sender: SendRequest<Full<Bytes>>,
    /// Reads from and writes to the socket while it is polled.
    pub driver: Connection<TokioIo<MeteredStream>, Full<Bytes>>,
    /// Observes and limits the stream, which `driver` owns.
    pub meter: StreamMeter,
    /// The instance of the endpoint that accepted the connection.
    pub instance: EndpointInstance,
}

impl PooledConnection {
    /// Sets up HTTP/1 on an established connection.
    ///
    /// # Errors
    /// If hyper's handshake fails.
    pub async fn handshake(
        stream: TcpStream,
        instance: EndpointInstance,
        permit: ConnectionPermit,
    ) -> Result<Self, hyper::Error> {
        let meter = StreamMeter::default();
        let stream = MeteredStream::new(stream, meter.clone(), permit);
        let (sender, driver) =
            Builder::new().max_buf_size(MAX_HEAD_SIZE).handshake(TokioIo::new(stream)).await?;
        Ok(Self { sender, driver, meter, instance })
    }

    /// Whether another request may be sent: the endpoint has not closed the connection, and everything that
    /// it sent was read. Does not wait. Bypasses tokio, which may not have noticed new data yet, and tokio's
    /// budget for the task, which may be used up.
    pub async fn is_reusable(&mut self) -> bool {
        self.meter.is_idle_check.set(true);
        let has_ended = poll_fn(|cx| Poll::Ready(Pin::new(&mut self.driver).poll(cx).is_ready()));
        let has_ended = tokio::task::unconstrained(has_ended).await;
        self.meter.is_idle_check.set(false);
        !has_ended && self.sender.is_ready()
    }
}
