//! Injection points: the system calls that can be made to fail.

/// The calls that a fault concerns. The numbers are part of the layout of the control file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectionPoint {
    /// `accept4`.
    Accept = 0,
    /// `socket` for TCP.
    Socket = 1,
    /// `connect` of a TCP socket.
    Connect = 2,
    /// `recv` of a TCP socket, peeking included.
    Receive = 3,
    /// `send`, `sendmsg` or `writev` of a TCP socket.
    Send = 4,
    /// `recv` returns fewer bytes than are available.
    ShortReceive = 5,
    /// `send`, `sendmsg` or `writev` accepts fewer bytes than it could.
    ShortSend = 6,
    /// `write` to standard error.
    Log = 7,
    /// `open64` of a file.
    Open = 8,
    /// `read` of a regular file.
    Read = 9,
}

/// All injection points, in the order of their numbers.
pub const INJECTION_POINTS: [InjectionPoint; 10] = [
    InjectionPoint::Accept,
    InjectionPoint::Socket,
    InjectionPoint::Connect,
    InjectionPoint::Receive,
    InjectionPoint::Send,
    InjectionPoint::ShortReceive,
    InjectionPoint::ShortSend,
    InjectionPoint::Log,
    InjectionPoint::Open,
    InjectionPoint::Read,
];
