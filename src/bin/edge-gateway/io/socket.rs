//! Checks for unread data in a socket. They do not wait. They bypass tokio, which may not have been notified
//! of the data yet, or may report it only after other tasks have run.

use crate::io::resilient_stream::retry_interrupted;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// Whether there is unread data from the peer, the peer has closed its sending direction, or the connection
/// has broken.
pub fn has_unread_data(stream: &TcpStream) -> bool {
    peek(stream).is_some()
}

/// Whether the peer has closed its sending direction or the connection has broken, and no data is unread.
pub fn is_at_eof(stream: &TcpStream) -> bool {
    peek(stream).is_some_and(|unread| unread.map_or(true, |unread| unread == 0))
}

/// Peeks at one byte. Returns 1 if there is unread data, 0 at the end of the stream, or the error of a broken
/// connection; `None` if the connection is open and has no unread data.
fn peek(stream: &TcpStream) -> Option<io::Result<usize>> {
    retry_interrupted(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]))
}
