//! The state of TCP connections, taken from the system's socket table or from a peek at the connection.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A line of the system's table of TCP sockets.
struct SocketEntry {
    local_port: u16,
    remote_port: u16,
    state: u8,
    /// Number of bytes that were sent and not acknowledged, or not sent yet.
    send_queue: u64,
    /// Number of bytes that were received and not read yet.
    receive_queue: u64,
}

fn socket_table() -> Vec<SocketEntry> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("failed to read /proc/net/tcp");
    table.lines().skip(1).filter_map(parse_socket).collect()
}

fn parse_socket(line: &str) -> Option<SocketEntry> {
    let port = |address: &str| u16::from_str_radix(address.rsplit(':').next()?, 16).ok();
    let mut fields = line.split_whitespace().skip(1);
    let (local, remote, state) = (fields.next()?, fields.next()?, fields.next()?);
    let (send_queue, receive_queue) = fields.next()?.split_once(':')?;
    Some(SocketEntry {
        local_port: port(local)?,
        remote_port: port(remote)?,
        state: u8::from_str_radix(state, 16).ok()?,
        send_queue: u64::from_str_radix(send_queue, 16).ok()?,
        receive_queue: u64::from_str_radix(receive_queue, 16).ok()?,
    })
}

/// Whether the process that listens at an address has yet to read data of its clients.
pub fn has_unread_data(listener: SocketAddr) -> bool {
    let port = listener.port();
    has_queued_data(|socket| socket.remote_port == port, |socket| socket.local_port == port)
}

/// Whether the clients of the process that listens at an address have yet to read data of it.
pub fn has_unread_data_from(listener: SocketAddr) -> bool {
    let port = listener.port();
    has_queued_data(|socket| socket.local_port == port, |socket| socket.remote_port == port)
}

/// Whether an open connection has data in the send queue of a sender or in the receive queue of a receiver.
fn has_queued_data(
    is_sender: impl Fn(&SocketEntry) -> bool,
    is_receiver: impl Fn(&SocketEntry) -> bool,
) -> bool {
    const ESTABLISHED: u8 = 1;
    let has_data = |socket: &SocketEntry| {
        is_sender(socket) && socket.send_queue > 0 || is_receiver(socket) && socket.receive_queue > 0
    };
    socket_table().iter().any(|socket| socket.state == ESTABLISHED && has_data(socket))
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
