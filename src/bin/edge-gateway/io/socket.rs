//! What a socket holds that nobody has read yet.

use crate::io::resilient_stream::tried;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// Whether the other side has sent something that is still unread, or has ended its sending. Looks without
/// waiting, and past tokio, which may not have heard yet or may owe others a turn.
pub fn has_unread_data(stream: &TcpStream) -> bool {
    peek(stream).is_some()
}

/// Whether the other side has ended its sending, or the connection has broken, and nothing is left unread.
pub fn has_ended(stream: &TcpStream) -> bool {
    peek(stream).is_some_and(|unread| unread.map_or(true, |unread| unread == 0))
}

/// Bytes that lie unread, at most one, or the error of a broken connection; `None` if it stands and holds none.
fn peek(stream: &TcpStream) -> Option<io::Result<usize>> {
    tried(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]))
}
