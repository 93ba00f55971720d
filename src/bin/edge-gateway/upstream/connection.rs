//! One connection to an endpoint.
//!
//! A connection counts the bytes written to it, limits those read for one response, checks whether it can carry another request, and counts
//! towards the limit on open connections. The pool decides when to reuse it.

use crate::io::resilient_stream::ResilientStream;
use crate::io::socket::has_unread_data;
use crate::upstream::{EndpointInstance, MAX_BODY_SIZE};
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

/// Maximum size of the head of a response, in bytes; bounds the memory that an endless head can take. Interim
/// responses count towards it.
pub const MAX_HEAD_SIZE: usize = 32 << 10;
/// Maximum number of bytes read up to the end of a head. Part of the body may come with it in the last read,
/// which is at most [`MAX_HEAD_SIZE`] long.
const MAX_BYTES_OF_HEAD: u64 = 2 * MAX_HEAD_SIZE as u64;
/// Maximum number of bytes read after a head. A body in chunks of one byte takes six times its size.
const MAX_BYTES_OF_BODY: u64 = 8 * MAX_BODY_SIZE as u64;

/// Whether the connection is being checked for reuse, which decides how unread data is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// No check is running. The connection carries a request, and unread data is read as its response, or the
    /// connection waits in the pool, where nothing is read.
    Unchecked,
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

/// Number of bytes that may still be read for the part of a response that is due. Without a limit, an endpoint
/// could send interim responses or the framing of chunks without end, which hyper skips.
#[derive(Clone, Default)]
pub struct ReadAllowance(Rc<Cell<u64>>);

impl ReadAllowance {
    /// Sets what may be read until the head of the next response is complete.
    pub fn expect_head(&self) {
        self.0.set(MAX_BYTES_OF_HEAD);
    }

    /// Sets what may be read after the head until the body is complete.
    pub fn expect_body(&self) {
        self.0.set(MAX_BYTES_OF_BODY);
    }

    /// Records a read, which may exceed what was left.
    fn record_read(&self, bytes: u64) {
        self.0.set(self.0.get().saturating_sub(bytes));
    }

    fn is_used_up(&self) -> bool {
        self.0.get() == 0
    }
}

/// The endpoint has sent more than any valid response has, by interim responses or the framing of the body.
#[derive(Debug, thiserror::Error)]
#[error("more data than any valid response has")]
pub struct ResponseTooLong;

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
    /// What may still be read; set for each part of a response before it is due.
    pub allowance: ReadAllowance,
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
        let allowance = ReadAllowance::default();
        let state = Rc::new(Cell::new(ConnectionState::Unchecked));
        let stream = MeteredStream {
            stream: ResilientStream::new(stream),
            bytes_written: bytes_written.clone(),
            allowance: allowance.clone(),
            state: state.clone(),
            _permit: permit,
        };
        let (sender, driver) =
            Builder::new().max_buf_size(MAX_HEAD_SIZE).handshake(TokioIo::new(stream)).await?;
        Ok(Self { sender, driver, bytes_written, instance, allowance, state })
    }

    /// Whether another request may be sent: the endpoint has not closed the connection, and everything that
    /// it sent was read. Does not wait. Bypasses tokio, which may not have noticed new data yet, and tokio's
    /// budget for the task, which may be used up.
    pub async fn is_reusable(&mut self) -> bool {
        self.state.set(ConnectionState::IdleCheck);
        let has_ended = poll_fn(|cx| Poll::Ready(Pin::new(&mut self.driver).poll(cx).is_ready()));
        let has_ended = tokio::task::unconstrained(has_ended).await;
        self.state.set(ConnectionState::Unchecked);
        !has_ended && self.sender.is_ready()
    }
}

/// A stream that counts the bytes written to it, limits those read from it, and detects unsolicited data in an
/// idle check.
pub struct MeteredStream {
    stream: ResilientStream,
    bytes_written: ByteCounter,
    allowance: ReadAllowance,
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
        if self.allowance.is_used_up() {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, ResponseTooLong)));
        }
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.allowance.record_read((buf.filled().len() - before) as u64);
        result
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
