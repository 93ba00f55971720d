//! A client's stream that can be read ahead of hyper.
//!
//! While a request is open, data that its client sends is read into a bounded buffer. hyper itself reads only
//! as much of the next request as it can hold, and would not detect a disconnect behind that. The stream also
//! records when the bytes arrived that hyper reads, since the client's deadline runs from then.
//!
//! While the client does not take what is written to it, nothing is read: each further request would add a
//! response to those that are held for it.

use crate::io::memory_pool::{MemoryPool, Reservation};
use crate::io::resilient_stream::ResilientStream;
use crate::io::socket::{self, has_unread_data};
use bytes::{Buf, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Maximum number of bytes buffered ahead of hyper: room for a request with the largest body. The buffer is
/// usually empty, since clients send one request at a time.
const MAX_BUFFERED: usize = 80 << 10;
/// Reads within this time are recorded as one arrival, so that many small reads do not use much memory.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(10);
/// Maximum size of a read ahead of hyper, in bytes.
const READ_SIZE: usize = 4 << 10;

/// A stream shared by hyper, which reads and writes it, and by the task that watches for a disconnect.
#[derive(Clone)]
pub struct ReadAheadStream(Rc<Shared>);

struct Shared {
    stream: RefCell<ResilientStream>,
    /// Bytes that were read ahead and that hyper has not read yet.
    buffer: RefCell<BytesMut>,
    memory: MemoryPool,
    /// Memory for `buffer`; `None` while it is empty.
    reservation: RefCell<Option<Reservation>>,
    /// When the bytes in `buffer` arrived, first bytes first.
    arrivals: RefCell<VecDeque<Arrival>>,
    /// When the last byte that hyper has read arrived.
    received_at: Cell<Instant>,
    /// Earliest time at which data may have arrived that was unread when the stream was created. `None` once
    /// hyper has read it, and if there was none or it had only just arrived.
    queued_since: Cell<Option<Instant>>,
    /// Number of bytes that hyper has read.
    bytes_read: Cell<u64>,
    /// Whether hyper's last read found no data: it reads again only when it holds no complete request.
    waiting_for_data: Cell<bool>,
    /// Whether more arrived than [`MAX_BUFFERED`] or the memory that was left, after which all further data
    /// is discarded.
    overflowed: Cell<bool>,
    /// Whether hyper's last write found the socket's buffer full.
    write_blocked: Cell<bool>,
    /// The task to wake once a write is no longer blocked, since its reads are pending until then.
    reader: Cell<Option<Waker>>,
    /// Called with each event; set by the creator of the stream.
    on_event: Box<dyn Fn(StreamEvent)>,
}

/// What happened to a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// hyper has read some bytes.
    BytesRead,
    /// hyper has written some bytes to the socket.
    BytesWritten,
    /// hyper has found the socket's buffer full, because the client does not read.
    WriteBlocked,
}

/// A number of bytes that arrived within [`ARRIVAL_WINDOW`].
struct Arrival {
    bytes: usize,
    at: Instant,
}

impl ReadAheadStream {
    /// Creates a stream that calls `on_event` with each event. `queued_since` is the earliest time at which
    /// data that is unread now may have arrived; `None` if it has only just arrived. What is read ahead takes
    /// its memory from `memory`.
    pub fn new(
        stream: TcpStream,
        queued_since: Option<Instant>,
        memory: MemoryPool,
        on_event: impl Fn(StreamEvent) + 'static,
    ) -> Self {
        let queued_since = queued_since.filter(|_| has_unread_data(&stream));
        Self(Rc::new(Shared {
            stream: RefCell::new(ResilientStream::new(stream)),
            buffer: RefCell::default(),
            memory,
            reservation: RefCell::default(),
            arrivals: RefCell::default(),
            received_at: Cell::new(Instant::now()),
            queued_since: Cell::new(queued_since),
            bytes_read: Cell::default(),
            waiting_for_data: Cell::default(),
            overflowed: Cell::default(),
            write_blocked: Cell::default(),
            reader: Cell::default(),
            on_event: Box::new(on_event),
        }))
    }

    /// Whether data, the end of the stream or an error has arrived that hyper has not read.
    pub fn has_unread_data(&self) -> bool {
        !self.0.buffer.borrow().is_empty() || has_unread_data(self.0.stream.borrow().get_ref())
    }

    /// Whether the client has closed its sending direction or the connection has broken, even if there is
    /// unread data before that.
    pub fn is_disconnected(&self) -> bool {
        socket::is_closed_by_peer(self.0.stream.borrow().get_ref())
    }

    /// Returns the number of bytes that hyper has read so far.
    pub fn bytes_read(&self) -> u64 {
        self.0.bytes_read.get()
    }

    /// Whether hyper has read all data and waits for more, so that it holds no complete request.
    pub fn is_waiting_for_data(&self) -> bool {
        self.0.waiting_for_data.get()
    }

    /// Whether hyper has output that the socket does not accept, because the client does not read.
    pub fn is_write_blocked(&self) -> bool {
        self.0.write_blocked.get()
    }

    /// Whether the client has sent more before its response than may be buffered, so that no further request
    /// can be read.
    pub fn has_overflowed(&self) -> bool {
        self.0.overflowed.get()
    }

    /// Returns when the last byte that hyper has read arrived. A pipelined request may have arrived long
    /// before hyper reads it, and its deadline runs from its arrival.
    pub fn received_at(&self) -> Instant {
        self.0.received_at.get()
    }

    /// Reads ahead; ready once the client has closed its sending direction or the connection has broken.
    pub fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.0.poll_unblocked(cx));
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
    /// Buffers bytes unless that would exceed [`MAX_BUFFERED`] or there is no memory left. From then on all
    /// bytes are discarded, so that the end of the stream behind them can still be detected.
    fn buffer_bytes(&self, bytes: &[u8]) {
        let mut buffer = self.buffer.borrow_mut();
        let length = buffer.len() + bytes.len();
        if length > MAX_BUFFERED || !self.reserve_memory(&mut buffer, length) {
            self.overflowed.set(true);
        }
        if !self.overflowed.get() {
            buffer.extend_from_slice(bytes);
            self.record_arrival(bytes.len());
        }
    }

    /// Reserves memory for a buffer of `length` bytes, and gives the buffer as much capacity. Returns whether
    /// as much memory was left.
    fn reserve_memory(&self, buffer: &mut BytesMut, length: usize) -> bool {
        if length <= buffer.capacity() {
            return true;
        }
        let capacity = length.next_power_of_two();
        let mut reservation = self.reservation.borrow_mut();
        let is_reserved = match &mut *reservation {
            Some(reservation) => reservation.try_grow(&self.memory, capacity),
            None => {
                *reservation = self.memory.try_reserve(capacity);
                reservation.is_some()
            }
        };
        if is_reserved {
            buffer.reserve(capacity - buffer.len());
        } else {
            self.memory.record_exhausted();
        }
        is_reserved
    }

    /// Releases the memory of an empty buffer: the connection may stay open for long without another request.
    fn release_memory(&self, buffer: &mut BytesMut) {
        *buffer = BytesMut::new();
        *self.arrivals.borrow_mut() = VecDeque::new();
        *self.reservation.borrow_mut() = None;
    }

    fn record_arrival(&self, bytes: usize) {
        let (mut arrivals, now) = (self.arrivals.borrow_mut(), Instant::now());
        match arrivals.back_mut() {
            Some(last) if now - last.at < ARRIVAL_WINDOW => last.bytes += bytes,
            _ => arrivals.push_back(Arrival { bytes, at: now }),
        }
    }

    /// Records that hyper has read `bytes` of the buffered bytes.
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

    /// Pending while a write is blocked.
    fn poll_unblocked(&self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.write_blocked.get() {
            return Poll::Ready(());
        }
        self.reader.set(Some(cx.waker().clone()));
        Poll::Pending
    }

    /// Records the result of a write.
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        self.write_blocked.set(written.is_pending());
        match written {
            Poll::Pending => (self.on_event)(StreamEvent::WriteBlocked),
            Poll::Ready(_) => {
                (self.on_event)(StreamEvent::BytesWritten);
                if let Some(reader) = self.reader.take() {
                    reader.wake();
                }
            }
        }
    }

    /// Fills `buf` from the buffer, or from the socket if the buffer is empty.
    fn poll_fill(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_unblocked(cx));
        let mut buffer = self.buffer.borrow_mut();
        if !buffer.is_empty() {
            let bytes = buffer.len().min(buf.remaining());
            buf.put_slice(&buffer[..bytes]);
            buffer.advance(bytes);
            self.consume_arrivals(bytes);
            if buffer.is_empty() {
                self.release_memory(&mut buffer);
            }
            return Poll::Ready(Ok(()));
        }
        if self.overflowed.get() {
            // Bytes have been discarded here, so hyper is told that the stream has ended.
            return Poll::Ready(Ok(()));
        }
        let result = Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf);
        match &result {
            Poll::Ready(Ok(())) => {
                self.received_at.set(self.queued_since.take().unwrap_or_else(Instant::now));
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.waiting_for_data.set(true),
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
            self.0.waiting_for_data.set(false);
            (self.0.on_event)(StreamEvent::BytesRead);
        }
        result
    }
}

impl AsyncWrite for ReadAheadStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(cx, buf);
        self.0.record_write(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write_vectored(cx, buffers);
        self.0.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_shutdown(cx)
    }
}
