//! A TCP stream whose reads and writes may be interrupted or cut short by the system at any time.

use socket2::SockRef;
use std::io::{self, ErrorKind, Read, Write};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Read past the runtime at a time.
const PIECE: usize = 4 << 10;

/// A stream that goes on where the system interrupts a call (`EINTR`) and where a call moves fewer bytes than it
/// could.
///
/// The runtime takes a transfer that was shorter than asked for to mean that the socket is drained or full, and waits
/// for the system to tell of a change, which never comes if there was more. So behind a short transfer the socket
/// itself is asked once more.
pub struct ResilientStream {
    stream: TcpStream,
    /// The last read was short: there may be more.
    read_was_short: bool,
    /// A write was short, and the socket has not been full since: more may be taken.
    write_was_short: bool,
}

impl ResilientStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, read_was_short: false, write_was_short: false }
    }

    /// The stream itself, to be looked at.
    pub fn get_ref(&self) -> &TcpStream {
        &self.stream
    }

    /// Reads past the runtime; `None` if nothing is there.
    fn read_now(&self, buf: &mut ReadBuf<'_>) -> Option<io::Result<usize>> {
        let mut piece = [0; PIECE];
        let most = buf.remaining().min(PIECE);
        let read = tried(|| (&*SockRef::from(&self.stream)).read(&mut piece[..most]))?;
        Some(read.inspect(|read| buf.put_slice(&piece[..*read])))
    }

    /// Writes past the runtime; `None` if nothing is taken.
    fn write_now(&self, bytes: &[u8]) -> Option<io::Result<usize>> {
        tried(|| (&*SockRef::from(&self.stream)).write(bytes))
    }
}

/// Makes a call that does not wait until it is not interrupted; `None` if it would have to wait.
pub fn tried<T>(mut call: impl FnMut() -> io::Result<T>) -> Option<io::Result<T>> {
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
            if let Some(read) = self.read_now(buf) {
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
            if let Some(written) = self.write_now(bytes) {
                // The runtime has not heard of this, and still takes the socket for full: until it really is, which
                // the system tells of when it ends, the socket itself is asked.
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
