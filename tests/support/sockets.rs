//! The state of TCP connections, as the system or a peek at them shows it.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};

/// What the system tells of its TCP sockets: port here, port there, state.
pub fn sockets() -> Vec<(u16, u16, u8)> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("it can be read");
    let port = |address: &str| u16::from_str_radix(address.rsplit(':').next()?, 16).ok();
    let socket = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let (here, there) = (port(fields.next()?)?, port(fields.next()?)?);
        Some((here, there, u8::from_str_radix(fields.next()?, 16).ok()?))
    };
    table.lines().skip(1).filter_map(socket).collect()
}

/// Whether a connection to an address is coming up.
pub fn connects(address: SocketAddr) -> bool {
    const SYN_SENT: u8 = 2;
    sockets().into_iter().any(|(_, there, state)| there == address.port() && state == SYN_SENT)
}

/// Whether the one who listens at an address still holds a connection of a client's.
pub fn is_held(address: SocketAddr, client: SocketAddr) -> bool {
    const ESTABLISHED: u8 = 1;
    const CLOSE_WAIT: u8 = 8;
    let held = |state| matches!(state, ESTABLISHED | CLOSE_WAIT);
    let ports = (address.port(), client.port());
    sockets().into_iter().any(|(here, there, state)| (here, there) == ports && held(state))
}

/// Whether the other side has closed a connection on which nothing is to be read.
pub fn is_over(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("it can be set");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("it can be set");
    !peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}
