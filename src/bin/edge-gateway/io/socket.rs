//! Checks for unread data in a socket. They do not wait. They bypass tokio, which may not have been notified
//! of the data yet, or may report it only after other tasks have run.

use crate::io::resilient_stream::retry_interrupted;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::os::fd::AsFd;
use tokio::net::TcpStream;

/// Whether there is unread data from the peer, the peer has closed its sending direction, or the connection
/// has broken.
pub fn has_unread_data(stream: &TcpStream) -> bool {
    peek(stream).is_some()
}

/// Whether the peer has closed its sending direction or the connection has broken, even if there is unread
/// data before that.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    // Without the events of a poll, the end of the stream can only be seen where no data is unread.
    has_close_event(stream).unwrap_or_else(|_| is_at_eof(stream))
}

/// Whether a poll reports that the peer has closed its sending direction or that the connection has broken.
fn has_close_event(stream: &TcpStream) -> nix::Result<bool> {
    let closed_by_peer = PollFlags::from_bits_retain(libc::POLLRDHUP);
    let mut poll_fds = [PollFd::new(stream.as_fd(), closed_by_peer)];
    poll(&mut poll_fds, PollTimeout::ZERO)?;
    // There are no events that nix does not know but the one that was asked for.
    Ok(poll_fds[0].revents().is_none_or(|events| !events.is_empty()))
}

/// Whether the peer has closed its sending direction or the connection has broken, and no data is unread.
fn is_at_eof(stream: &TcpStream) -> bool {
    peek(stream).is_some_and(|unread| unread.map_or(true, |unread| unread == 0))
}

/// Peeks at one byte. Returns 1 if there is unread data, 0 at the end of the stream, or the error of a broken
/// connection; `None` if the connection is open and has no unread data.
fn peek(stream: &TcpStream) -> Option<io::Result<usize>> {
    retry_interrupted(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]))
}
