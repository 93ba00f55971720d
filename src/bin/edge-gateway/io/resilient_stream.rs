//! A TCP stream that tolerates interrupted and short reads and writes.

use crate::io::task_budget;
use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
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
///
/// All transfers count towards the [budget](crate::io::task_budget) of a task. Once it is used up, calls are
/// pending, so that the task yields even if it never finds the socket's buffer empty or full.
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
    fn try_write(&self, buffers: &[IoSlice<'_>]) -> Option<io::Result<usize>> {
        retry_interrupted(|| (&*SockRef::from(&self.stream)).write_vectored(buffers))
    }

    /// Reads through the runtime.
    fn poll_runtime_read(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            let result = Pin::new(&mut self.stream).poll_read(cx, buf);
            if !is_interrupted(&result) {
                return result;
            }
        }
    }

    /// Writes through the runtime.
    fn poll_runtime_write(
        &mut self,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            let result = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
            if !is_interrupted(&result) {
                return result;
            }
        }
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
        ready!(task_budget::poll_remaining(cx));
        let before = buf.filled().len();
        let bypassed = if self.read_was_short { self.try_read(buf) } else { None };
        let bypasses_runtime = bypassed.is_some();
        let result = match bypassed {
            Some(read) => Poll::Ready(read.map(drop)),
            None => self.poll_runtime_read(cx, buf),
        };
        let read = buf.filled().len() - before;
        task_budget::consume(cx, read);
        // The runtime is unaware of a read that bypasses it, so more data may follow even if `buf` is full.
        self.read_was_short = read > 0 && (bypasses_runtime || buf.remaining() > 0);
        result
    }
}

impl AsyncWrite for ResilientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(task_budget::poll_remaining(cx));
        // The runtime is unaware of a write that bypasses it, and still assumes that the socket is full. It
        // is bypassed until the socket really is full, since only then a readiness event follows.
        let bypassed = if self.write_was_short { self.try_write(buffers) } else { None };
        let bypasses_runtime = bypassed.is_some();
        let result = match bypassed {
            Some(written) => Poll::Ready(written),
            None => self.poll_runtime_write(cx, buffers),
        };
        let written = if let Poll::Ready(Ok(written)) = &result { *written } else { 0 };
        task_budget::consume(cx, written);
        let length: usize = buffers.iter().map(|buffer| buffer.len()).sum();
        let is_short = matches!(result, Poll::Ready(Ok(_))) && written < length;
        self.write_was_short = bypasses_runtime || is_short;
        result
    }

    /// Whether [`poll_write_vectored`](AsyncWrite::poll_write_vectored) writes all buffers. hyper then leaves
    /// the body of a message where it is; otherwise it copies the body into a buffer that it keeps.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
