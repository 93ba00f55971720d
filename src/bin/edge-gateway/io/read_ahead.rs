//! A client's stream that can be read ahead of hyper.
//!
//! While a request is open, whatever its client sends next is read into a bounded buffer: hyper itself reads
//! no further than it can hold of a next request, and would not notice behind it that the client has
//! disconnected. The stream also keeps account of when the bytes arrived that hyper reads, since a client's
//! time runs from then.

use crate::io::resilient_stream::ResilientStream;
use crate::io::socket::{self, has_unread_data};
use bytes::{Buf, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Most bytes buffered ahead of hyper: a request with the largest body. Clients send one request at a time,
/// so that there usually are none.
const MAX_BUFFERED: usize = 80 << 10;
/// Reads within this time count as one arrival, so that many small ones take no memory.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(10);
/// Most bytes of one read.
const READ_SIZE: usize = 4 << 10;

/// A stream that is shared by hyper, which reads and writes it, and by the task that watches for its end.
#[derive(Clone)]
pub struct ReadAheadStream(Rc<Shared>);

struct Shared {
    stream: RefCell<ResilientStream>,
    /// Read ahead, and not yet by hyper.
    buffer: RefCell<BytesMut>,
    /// When the buffered bytes arrived, in order.
    arrivals: RefCell<VecDeque<Arrival>>,
    /// When the last byte arrived that hyper has read.
    received_at: Cell<Instant>,
    /// When the data that was there at first may have arrived, until it has been read.
    queued_since: Cell<Option<Instant>>,
    /// Bytes that hyper has read.
    bytes_read: Cell<u64>,
    /// hyper has found nothing to read since its last read.
    read_pending: Cell<bool>,
    /// More arrived than may be buffered.
    overflowed: Cell<bool>,
    /// Called when hyper has read something.
    on_read: Box<dyn Fn()>,
}

/// Bytes that arrived together.
struct Arrival {
    bytes: usize,
    at: Instant,
}

impl ReadAheadStream {
    /// A stream that calls `on_read` whenever hyper has read something of it. Data that can be read already
    /// may have arrived at `queued_since`, if that is known.
    pub fn new(stream: TcpStream, queued_since: Option<Instant>, on_read: impl Fn() + 'static) -> Self {
        let queued_since = queued_since.filter(|_| has_unread_data(&stream));
        Self(Rc::new(Shared {
            stream: RefCell::new(ResilientStream::new(stream)),
            buffer: RefCell::default(),
            arrivals: RefCell::default(),
            received_at: Cell::new(Instant::now()),
            queued_since: Cell::new(queued_since),
            bytes_read: Cell::default(),
            read_pending: Cell::default(),
            overflowed: Cell::default(),
            on_read: Box::new(on_read),
        }))
    }

    /// Whether something has arrived that hyper has not read, be it the end.
    pub fn has_unread_data(&self) -> bool {
        !self.0.buffer.borrow().is_empty() || has_unread_data(self.0.stream.borrow().get_ref())
    }

    /// Whether the client has ended its sending, or the connection has broken, and hyper has read all before
    /// that.
    pub fn is_at_eof(&self) -> bool {
        self.0.buffer.borrow().is_empty() && self.is_disconnected()
    }

    /// Whether the client has ended its sending or the connection has broken, whatever is buffered.
    pub fn is_disconnected(&self) -> bool {
        socket::is_at_eof(self.0.stream.borrow().get_ref())
    }

    /// Bytes that hyper has read so far.
    pub fn bytes_read(&self) -> u64 {
        self.0.bytes_read.get()
    }

    /// Whether hyper has found nothing to read since its last read. It reads again once it holds no complete
    /// request.
    pub fn is_read_pending(&self) -> bool {
        self.0.read_pending.get()
    }

    /// Whether the client has sent more ahead of its response than may be buffered, so that nothing behind
    /// that response can be read.
    pub fn has_overflowed(&self) -> bool {
        self.0.overflowed.get()
    }

    /// When the last byte arrived that hyper has read. A pipelined request may have arrived long before its
    /// turn, and its client's time runs from then.
    pub fn received_at(&self) -> Instant {
        self.0.received_at.get()
    }

    /// Reads ahead; ready once the client has ended its sending or the connection has broken.
    pub fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut stream = self.0.stream.borrow_mut();
        let mut storage = [MaybeUninit::uninit(); READ_SIZE];
        loop {
            let mut read = ReadBuf::uninit(&mut storage);
            match Pin::new(&mut *stream).poll_read(cx, &mut read) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !read.filled().is_empty() => self.0.buffer_bytes(read.filled()),
                Poll::Ready(_) => return Poll::Ready(()),
            }
        }
    }
}

impl Shared {
    /// Buffers bytes, unless they are too many. Those are dropped: the end of the stream may be behind them.
    fn buffer_bytes(&self, bytes: &[u8]) {
        let mut buffer = self.buffer.borrow_mut();
        if buffer.len() + bytes.len() > MAX_BUFFERED {
            self.overflowed.set(true);
        }
        if !self.overflowed.get() {
            buffer.extend_from_slice(bytes);
            self.record_arrival(bytes.len());
        }
    }

    fn record_arrival(&self, bytes: usize) {
        let (mut arrivals, now) = (self.arrivals.borrow_mut(), Instant::now());
        match arrivals.back_mut() {
            Some(last) if now - last.at < ARRIVAL_WINDOW => last.bytes += bytes,
            _ => arrivals.push_back(Arrival { bytes, at: now }),
        }
    }

    /// Notes that hyper has read so many of the buffered bytes.
    fn consume_arrivals(&self, mut bytes: usize) {
        let mut arrivals = self.arrivals.borrow_mut();
        while let Some(first) = arrivals.front_mut() {
            self.received_at.set(first.at);
            if first.bytes > bytes {
                first.bytes -= bytes;
                return;
            }
            bytes -= first.bytes;
            arrivals.pop_front();
            if bytes == 0 {
                return;
            }
        }
    }

    /// Fills `buf` from the buffer, or else from the socket.
    fn poll_fill(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut buffer = self.buffer.borrow_mut();
        if !buffer.is_empty() {
            let bytes = buffer.len().min(buf.remaining());
            buf.put_slice(&buffer[..bytes]);
            buffer.advance(bytes);
            self.consume_arrivals(bytes);
            return Poll::Ready(Ok(()));
        }
        if self.overflowed.get() {
            // Bytes are missing here: to hyper it is the end.
            return Poll::Ready(Ok(()));
        }
        let result = Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf);
        match &result {
            Poll::Ready(Ok(())) => {
                self.received_at.set(self.queued_since.take().unwrap_or_else(Instant::now));
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.read_pending.set(true),
        }
        result
    }
}

impl AsyncRead for ReadAheadStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = self.0.poll_fill(cx, buf);
        let read = buf.filled().len() - before;
        if read > 0 {
            self.0.bytes_read.set(self.0.bytes_read.get() + read as u64);
            self.0.read_pending.set(false);
            (self.0.on_read)();
        }
        result
    }
}

impl AsyncWrite for ReadAheadStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_shutdown(cx)
    }
}
