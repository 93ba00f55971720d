//! Linux errno values of x86-64 and most other architectures.

/// Interrupted by a signal.
pub const EINTR: i32 = 4;
/// Input/output error.
pub const EIO: i32 = 5;
/// The system-wide limit of open files is reached.
pub const ENFILE: i32 = 23;
/// No space is left on the device.
pub const ENOSPC: i32 = 28;
/// The reading end of the pipe is closed.
pub const EPIPE: i32 = 32;
/// Protocol error; `accept` passes on errors that are pending on the new socket.
pub const EPROTO: i32 = 71;
/// The address cannot be assigned: no local port is free.
pub const EADDRNOTAVAIL: i32 = 99;
/// The network is unreachable.
pub const ENETUNREACH: i32 = 101;
/// A connection was aborted before it was accepted.
pub const ECONNABORTED: i32 = 103;
/// No buffer space is available.
pub const ENOBUFS: i32 = 105;
/// A connection timed out.
pub const ETIMEDOUT: i32 = 110;
/// No route to the host.
pub const EHOSTUNREACH: i32 = 113;
