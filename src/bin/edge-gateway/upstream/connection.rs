//! One connection to an endpoint, as it is kept in the pool.
//!
//! Owns the state of the connection: how many bytes it has taken, whether it may be used for another request,
//! and its place in the limit on open connections. When to reuse it is left to the pool.

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

/// Most bytes of a response's head that hyper buffers; guards the memory against heads that do not end.
const MAX_HEAD_SIZE: usize = 32 << 10;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// It is free for a request or carries one.
    Active,
    /// It is checked while no request is open, so that anything there is to be read is unsolicited.
    IdleCheck,
}

/// The number of bytes that a connection has taken for writing, shared by all who watch it.
#[derive(Clone, Default)]
pub struct ByteCounter(Rc<Cell<u64>>);

impl ByteCounter {
    /// The bytes taken so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }

    fn add(&self, bytes: u64) {
        self.0.set(self.0.get() + bytes);
    }
}

/// Counts as one open connection until it is dropped.
pub struct ConnectionPermit {
    open_connections: Rc<Cell<usize>>,
}

impl ConnectionPermit {
    /// Counts one more connection.
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

/// A connection to an endpoint. It is driven by whoever uses it, so that nothing of it goes on running once
/// it is dropped.
pub struct PooledConnection {
    /// Takes the requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// Reads and writes while it is polled.
    pub driver: Connection<TokioIo<MeteredStream>, Full<Bytes>>,
    /// The bytes that it has taken for writing.
    pub bytes_written: ByteCounter,
    /// The process that it is connected to.
    pub instance: EndpointInstance,
    state: Rc<Cell<ConnectionState>>,
}

impl PooledConnection {
    /// Sets up HTTP on an established connection.
    ///
    /// # Errors
    /// If hyper does not take it.
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

    /// Whether another request may be written: the endpoint has not closed the connection, and all that it
    /// sent was read. Looks without waiting, and past tokio, which may not have been notified yet or may owe
    /// other tasks a turn.
    pub async fn is_reusable(&mut self) -> bool {
        self.state.set(ConnectionState::IdleCheck);
        let has_ended = poll_fn(|cx| Poll::Ready(Pin::new(&mut self.driver).poll(cx).is_ready()));
        let has_ended = tokio::task::unconstrained(has_ended).await;
        self.state.set(ConnectionState::Active);
        !has_ended && self.sender.is_ready()
    }
}

/// A stream that counts the bytes that it has taken for writing.
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
        // Guards against a second response to the last request that tokio has not noticed yet.
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
