//! The state of TCP connections, taken from the system's socket table or from a peek at the connection.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A line of the system's table of TCP sockets.
struct SocketEntry {
    local_port: u16,
    remote_port: u16,
    state: u8,
}

fn socket_table() -> Vec<SocketEntry> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("failed to read /proc/net/tcp");
    table.lines().skip(1).filter_map(parse_socket).collect()
}

fn parse_socket(line: &str) -> Option<SocketEntry> {
    let port = |address: &str| u16::from_str_radix(address.rsplit(':').next()?, 16).ok();
    let mut fields = line.split_whitespace().skip(1);
    Some(SocketEntry {
        local_port: port(fields.next()?)?,
        remote_port: port(fields.next()?)?,
        state: u8::from_str_radix(fields.next()?, 16).ok()?,
    })
}

/// Whether any process is establishing a connection to this address.
pub fn is_connecting_to(address: SocketAddr) -> bool {
    const SYN_SENT: u8 = 2;
    let port = address.port();
    socket_table().iter().any(|socket| socket.remote_port == port && socket.state == SYN_SENT)
}

/// Whether the process that listens at an address still holds a client's connection open.
pub fn is_connection_open(listener: SocketAddr, client: SocketAddr) -> bool {
    const ESTABLISHED: u8 = 1;
    const CLOSE_WAIT: u8 = 8;
    socket_table().iter().any(|socket| {
        socket.local_port == listener.port()
            && socket.remote_port == client.port()
            && matches!(socket.state, ESTABLISHED | CLOSE_WAIT)
    })
}

/// Whether the peer has closed a connection on which it sends no data.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("failed to make the socket non-blocking");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("failed to make the socket blocking");
    !peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

/// An address at which nothing listens.
pub fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("failed to bind a loopback port")
}

/// Writes `first` once and `repeated` again and again, as fast as the peer reads, until the peer closes the
/// connection.
pub fn write_endlessly(stream: &mut TcpStream, first: &str, repeated: &str) {
    /// Size of one write, so that the peer always finds data.
    const WRITE_SIZE: usize = 128 << 10;
    let repeated = repeated.repeat(WRITE_SIZE.div_ceil(repeated.len()));
    let mut result = stream.write_all(first.as_bytes());
    while result.is_ok() {
        result = stream.write_all(repeated.as_bytes());
    }
}
