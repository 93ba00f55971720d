//! A TCP stream that tolerates interrupted and short reads and writes.

use socket2::SockRef;
use std::io::{self, ErrorKind, Read, Write};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum size of a read that bypasses the runtime, in bytes.
const READ_SIZE: usize = 4 << 10;

/// A stream that continues after a system call was interrupted (`EINTR`) or transferred fewer bytes than it
/// could have.
///
/// After a short transfer the runtime assumes that the socket's buffer is empty or full, and waits for the
/// next readiness event. If the assumption is wrong, that event never comes. So the call after a short
/// transfer bypasses the runtime and is made on the socket itself.
pub struct ResilientStream {
    stream: TcpStream,
    /// Whether the last read was short, so that there may be more data.
    read_was_short: bool,
    /// Whether a write was short and the socket has not been full since, so that it may accept more data.
    write_was_short: bool,
}

impl ResilientStream {
    /// Creates a resilient stream around `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, read_was_short: false, write_was_short: false }
    }

    /// Returns the wrapped stream.
    pub fn get_ref(&self) -> &TcpStream {
        &self.stream
    }

    /// Reads without waiting, bypassing the runtime. Returns the byte count; `None` if there is no data.
    fn try_read(&self, buf: &mut ReadBuf<'_>) -> Option<io::Result<usize>> {
        let mut bytes = [0; READ_SIZE];
        let size = buf.remaining().min(READ_SIZE);
        let read = retry_interrupted(|| (&*SockRef::from(&self.stream)).read(&mut bytes[..size]))?;
        Some(read.inspect(|read| buf.put_slice(&bytes[..*read])))
    }

    /// Writes without waiting, bypassing the runtime. Returns the byte count; `None` if there is no room.
    fn try_write(&self, bytes: &[u8]) -> Option<io::Result<usize>> {
        retry_interrupted(|| (&*SockRef::from(&self.stream)).write(bytes))
    }
}

/// Makes a non-blocking call, and repeats it while it is interrupted. Returns `None` if it would block.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> Option<io::Result<T>> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
            result => return Some(result),
        }
    }
}

fn is_interrupted<T>(result: &Poll<io::Result<T>>) -> bool {
    matches!(result, Poll::Ready(Err(error)) if error.kind() == ErrorKind::Interrupted)
}

impl AsyncRead for ResilientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.read_was_short) {
            if let Some(read) = self.try_read(buf) {
                self.read_was_short = read.as_ref().is_ok_and(|read| *read > 0);
                return Poll::Ready(read.map(drop));
            }
        }
        let before = buf.filled().len();
        let mut result = Pin::new(&mut self.stream).poll_read(cx, buf);
        while is_interrupted(&result) {
            result = Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        self.read_was_short = buf.filled().len() > before && buf.remaining() > 0;
        result
    }
}

impl AsyncWrite for ResilientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if std::mem::take(&mut self.write_was_short) {
            if let Some(written) = self.try_write(bytes) {
                // The runtime is unaware of this write and still assumes that the socket is full. It is
                // bypassed until the socket really is full, since only then a readiness event follows.
                self.write_was_short = true;
                return Poll::Ready(written);
            }
        }
        let mut result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        while is_interrupted(&result) {
            result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        }
        self.write_was_short = matches!(&result, Poll::Ready(Ok(written)) if *written < bytes.len());
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
