//! The stream of a connection to an endpoint, and what its user observes and controls of it.

use super::connection::ConnectionPermit;
use super::read_allowance::{ReadAllowance, ResponseTooLong};
use crate::io::resilient_stream::ResilientStream;
use crate::io::socket::has_unread_data;
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

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

/// State that the user of a connection shares with the stream, which hyper owns.
#[derive(Clone, Default)]
pub struct StreamMeter {
    /// Bytes written to the socket so far, which tell whether any of a request was sent.
    pub bytes_written: ByteCounter,
    /// Limits what is read; set for each part of a response before that part is due.
    pub allowance: ReadAllowance,
    /// Whether the idle connection is being checked for reuse. No response is due then, so any unread data is
    /// unsolicited. Otherwise it is read as the response to the request that the connection carries.
    pub is_idle_check: Rc<Cell<bool>>,
}

impl StreamMeter {
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.bytes_written.add(*bytes as u64);
        }
    }
}

/// A stream that counts the bytes written to it, limits those read from it, and detects unsolicited data in
/// an idle check.
pub struct MeteredStream {
    stream: ResilientStream,
    meter: StreamMeter,
    _permit: ConnectionPermit,
}

impl MeteredStream {
    /// Creates a stream that shares `meter` and holds `permit` while it is open.
    pub fn new(stream: TcpStream, meter: StreamMeter, permit: ConnectionPermit) -> Self {
        Self { stream: ResilientStream::new(stream), meter, _permit: permit }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // A second response to the last request may have arrived without tokio having noticed it yet.
        if self.meter.is_idle_check.get() && has_unread_data(self.stream.get_ref()) {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        if self.meter.allowance.is_used_up() {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, ResponseTooLong)));
        }
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.meter.allowance.record_read((buf.filled().len() - before) as u64);
        result
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.meter.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.meter.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
