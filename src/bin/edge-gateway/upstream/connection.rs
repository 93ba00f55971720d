//! One connection to an endpoint.
//!
//! A connection counts the bytes written to it, checks whether it can carry another request, and counts
//! towards the limit on open connections. The pool decides when to reuse it.

use crate::io::resilient_stream::ResilientStream;
use crate::io::socket::has_unread_data;
use crate::upstream::EndpointInstance;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum size of the head of a response, in bytes; bounds the memory that an endless head can take.
const MAX_HEAD_SIZE: usize = 32 << 10;

/// State of a connection, which decides whether data of the endpoint is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// The connection waits in the pool or carries a request.
    Active,
    /// The idle connection is being checked: no response is due, so any unread data is unsolicited.
    IdleCheck,
}

/// Number of bytes that were written to a connection; clones share the count.
#[derive(Clone, Default)]
pub struct ByteCounter(Rc<Cell<u64>>);

impl ByteCounter {
    /// Returns the number of bytes written so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }

    fn add(&self, bytes: u64) {
        self.0.set(self.0.get() + bytes);
    }
}

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
    /// Bytes written to the socket so far, which tell whether any of a request was sent.
    pub bytes_written: ByteCounter,
    /// The instance of the endpoint that accepted the connection.
    pub instance: EndpointInstance,
    state: Rc<Cell<ConnectionState>>,
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
        let bytes_written = ByteCounter::default();
        let state = Rc::new(Cell::new(ConnectionState::Active));
        let stream = MeteredStream {
            stream: ResilientStream::new(stream),
            bytes_written: bytes_written.clone(),
            state: state.clone(),
            _permit: permit,
        };
        let (sender, driver) =
            Builder::new().max_buf_size(MAX_HEAD_SIZE).handshake(TokioIo::new(stream)).await?;
        Ok(Self { sender, driver, bytes_written, instance, state })
    }

    /// Whether another request may be sent: the endpoint has not closed the connection, and everything that
    /// it sent was read. Does not wait, and bypasses tokio: it may not have noticed new data yet, or may have
    /// used up the task's budget, which lets other tasks run first.
    pub async fn is_reusable(&mut self) -> bool {
        self.state.set(ConnectionState::IdleCheck);
        let has_ended = poll_fn(|cx| Poll::Ready(Pin::new(&mut self.driver).poll(cx).is_ready()));
        let has_ended = tokio::task::unconstrained(has_ended).await;
        self.state.set(ConnectionState::Active);
        !has_ended && self.sender.is_ready()
    }
}

/// A stream that counts the bytes written to it and detects unsolicited data in an idle check.
pub struct MeteredStream {
    stream: ResilientStream,
    bytes_written: ByteCounter,
    state: Rc<Cell<ConnectionState>>,
    _permit: ConnectionPermit,
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // A second response to the last request may have arrived without tokio having noticed it yet.
        if self.state.get() == ConnectionState::IdleCheck && has_unread_data(self.stream.get_ref()) {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = &written {
            self.bytes_written.add(*bytes as u64);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
