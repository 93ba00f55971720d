//! A client's stream. While a request is open, what its client goes on to say is read ahead: hyper reads no
//! further than it can hold of a next request, and would not notice behind it that the client has left.

use crate::io::resilient_stream::ResilientStream;
use crate::io::socket::{has_ended, has_unread_data};
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

/// Most that is kept of what comes ahead of an answer: a request with the largest body. Clients ask for one
/// thing at a time, so that there usually is nothing.
const AHEAD_MOST: usize = 80 << 10;
/// Pieces read ahead within this time count as come with the first, so that tiny ones take no memory.
const TOGETHER: Duration = Duration::from_millis(10);
/// Read at a time.
const PIECE: usize = 4 << 10;

/// A stream that is shared by hyper, which reads and writes it, and by whoever watches for its end.
#[derive(Clone)]
pub struct ReadAheadStream(Rc<Shared>);

struct Shared {
    stream: RefCell<ResilientStream>,
    /// Read ahead, and not yet by hyper.
    ahead: RefCell<BytesMut>,
    /// When what was read ahead came: numbers of bytes, in order.
    came: RefCell<VecDeque<(usize, Instant)>>,
    /// When the last byte came that hyper has read.
    received_at: Cell<Instant>,
    /// When what was there at first may have come, until it has been read.
    waited_since: Cell<Option<Instant>>,
    /// Bytes that hyper has read.
    read: Cell<u64>,
    /// hyper has asked for more since, so that it holds no whole request.
    drained: Cell<bool>,
    /// More came than is kept.
    overrun: Cell<bool>,
    /// Called when hyper has read something.
    on_read: Box<dyn Fn()>,
}

impl ReadAheadStream {
    /// A stream that calls `on_read` whenever hyper has read something of it. What lies there to be read already may
    /// have come at `since`, if that is known.
    pub fn new(stream: TcpStream, since: Option<Instant>, on_read: impl Fn() + 'static) -> Self {
        let waited_since = since.filter(|_| has_unread_data(&stream));
        Self(Rc::new(Shared {
            stream: RefCell::new(ResilientStream::new(stream)),
            ahead: RefCell::default(),
            came: RefCell::default(),
            received_at: Cell::new(Instant::now()),
            waited_since: Cell::new(waited_since),
            read: Cell::default(),
            drained: Cell::default(),
            overrun: Cell::default(),
            on_read: Box::new(on_read),
        }))
    }

    /// Whether something has come that hyper has not read, be it the end.
    pub fn has_unread_data(&self) -> bool {
        !self.0.ahead.borrow().is_empty() || has_unread_data(self.0.stream.borrow().get_ref())
    }

    /// Whether the client has ended its sending right behind what has been read.
    pub fn ended(&self) -> bool {
        self.0.ahead.borrow().is_empty() && has_ended(self.0.stream.borrow().get_ref())
    }

    /// How many bytes hyper has read so far.
    pub fn read(&self) -> u64 {
        self.0.read.get()
    }

    /// Whether hyper has asked for more than there is since it last read something, which it does once it holds no
    /// whole request.
    pub fn drained(&self) -> bool {
        self.0.drained.get()
    }

    /// Whether the client has ended its sending or the connection has broken, whatever was read ahead.
    pub fn is_over(&self) -> bool {
        has_ended(self.0.stream.borrow().get_ref())
    }

    /// Whether the client has sent more ahead of its answer than is kept, so that nothing behind that answer
    /// can be read.
    pub fn overrun(&self) -> bool {
        self.0.overrun.get()
    }

    /// When the last byte came that hyper has read. A request sent ahead of the answer to the one before it came
    /// long before its turn, and its client's time runs from then.
    pub fn received_at(&self) -> Instant {
        self.0.received_at.get()
    }

    /// Reads ahead; ready once the client has ended its sending or the connection has broken.
    pub fn poll_end(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut stream = self.0.stream.borrow_mut();
        let mut ahead = self.0.ahead.borrow_mut();
        let mut space = [MaybeUninit::uninit(); PIECE];
        loop {
            let mut buf = ReadBuf::uninit(&mut space);
            match Pin::new(&mut *stream).poll_read(cx, &mut buf) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(()),
            }
            if ahead.len() + buf.filled().len() > AHEAD_MOST {
                self.0.overrun.set(true);
            }
            // What is too much is read all the same, and dropped: behind it may stand the end.
            if !self.0.overrun.get() {
                ahead.extend_from_slice(buf.filled());
                self.0.came(buf.filled().len());
            }
        }
    }
}

impl Shared {
    /// So many bytes have been read ahead.
    fn came(&self, bytes: usize) {
        let (mut came, now) = (self.came.borrow_mut(), Instant::now());
        match came.back_mut() {
            Some((length, at)) if now - *at < TOGETHER => *length += bytes,
            _ => came.push_back((bytes, now)),
        }
    }

    /// So many bytes of what was read ahead have been read by hyper.
    fn taken(&self, mut bytes: usize) {
        let mut came = self.came.borrow_mut();
        while let Some((length, at)) = came.front_mut() {
            self.received_at.set(*at);
            if *length > bytes {
                *length -= bytes;
                return;
            }
            bytes -= *length;
            came.pop_front();
            if bytes == 0 {
                return;
            }
        }
    }
}

impl AsyncRead for ReadAheadStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut ahead = self.0.ahead.borrow_mut();
        let before = buf.filled().len();
        if !ahead.is_empty() {
            let taken = ahead.len().min(buf.remaining());
            buf.put_slice(&ahead[..taken]);
            ahead.advance(taken);
            self.0.taken(taken);
        } else if self.0.overrun.get() {
            // Something is missing here: to hyper it is the end.
            return Poll::Ready(Ok(()));
        } else {
            match Pin::new(&mut *self.0.stream.borrow_mut()).poll_read(cx, buf) {
                Poll::Ready(Ok(())) => {
                    self.0.received_at.set(self.0.waited_since.take().unwrap_or_else(Instant::now));
                }
                Poll::Pending => {
                    self.0.drained.set(true);
                    return Poll::Pending;
                }
                failed => return failed,
            }
        }
        let read = buf.filled().len() - before;
        if read > 0 {
            self.0.read.set(self.0.read.get() + read as u64);
            self.0.drained.set(false);
            (self.0.on_read)();
        }
        Poll::Ready(Ok(()))
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
