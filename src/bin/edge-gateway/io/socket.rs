//! Checks for data in a socket that nobody has read yet. They do not wait, and bypass tokio, which may not
//! know of it yet or may owe other tasks a turn.

use crate::io::resilient_stream::retry_interrupted;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// Whether the peer has sent something that is still unread, or has ended its sending, or the connection has
/// broken.
pub fn has_unread_data(stream: &TcpStream) -> bool {
    peek(stream).is_some()
}

/// Whether the peer has ended its sending, or the connection has broken, and nothing is left unread.
pub fn is_at_eof(stream: &TcpStream) -> bool {
    peek(stream).is_some_and(|unread| unread.map_or(true, |unread| unread == 0))
}

/// Number of unread bytes, at most one and 0 at the end, or the error of a broken connection; `None` if the
/// connection stands and has none.
fn peek(stream: &TcpStream) -> Option<io::Result<usize>> {
    retry_interrupted(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]))
}
