//! What a socket holds that nobody has read yet.

use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// Whether the other side has sent something that is still unread, or has ended its sending. Looks without
/// waiting, and past tokio, which may not have heard yet or may owe others a turn.
pub fn has_news(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    !peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Whether the other side has ended its sending, or the connection has broken, and nothing is left unread.
pub fn has_ended(stream: &TcpStream) -> bool {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(unread) => unread == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
