//! Faults for one process: system calls that fail in ways that Linux documents, and a wall clock that steps.
//!
//! The process is started with [`Faults::apply`], which loads a small library into it (`src/faults.c`). What fails is
//! changed while it runs. Sockets other than TCP and files that are not regular are left alone.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Numbers of errors, as Linux on this architecture has them.
pub mod errno {
    /// Interrupted by a signal.
    pub const EINTR: i32 = 4;
    /// Input or output error.
    pub const EIO: i32 = 5;
    /// No descriptor is left in the system.
    pub const ENFILE: i32 = 23;
    /// No space is left on the device.
    pub const ENOSPC: i32 = 28;
    /// Nobody reads the pipe.
    pub const EPIPE: i32 = 32;
    /// Protocol error; `accept` passes on errors of the new socket.
    pub const EPROTO: i32 = 71;
    /// The address cannot be assigned: no local port is free.
    pub const EADDRNOTAVAIL: i32 = 99;
    /// The network cannot be reached.
    pub const ENETUNREACH: i32 = 101;
    /// A connection was aborted before it was accepted.
    pub const ECONNABORTED: i32 = 103;
    /// No buffer space is available.
    pub const ENOBUFS: i32 = 105;
    /// A connection timed out.
    pub const ETIMEDOUT: i32 = 110;
    /// No route to the host.
    pub const EHOSTUNREACH: i32 = 113;
}

/// Where a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
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
    /// `recv` moves fewer bytes than there are.
    ShortReceive = 5,
    /// `send`, `sendmsg` or `writev` takes fewer bytes than it could.
    ShortSend = 6,
    /// `write` to standard error.
    Log = 7,
    /// `open64` of a file.
    Open = 8,
    /// `read` of a regular file.
    Read = 9,
}

/// All points.
pub const POINTS: [Point; 10] = [
    Point::Accept,
    Point::Socket,
    Point::Connect,
    Point::Receive,
    Point::Send,
    Point::ShortReceive,
    Point::ShortSend,
    Point::Log,
    Point::Open,
    Point::Read,
];

/// Bytes of the wall clock's offset, which comes first in the file.
const OFFSET_BYTES: u64 = 8;
/// Bytes of one fault: rate, count, value, number injected.
const FAULT_BYTES: u64 = 16;

/// The faults of one process. Dropping this leaves the last ones in force.
#[derive(Debug)]
pub struct Faults {
    path: PathBuf,
    file: File,
}

impl Faults {
    /// No faults yet.
    ///
    /// # Errors
    /// If the control file cannot be made.
    pub fn new() -> io::Result<Self> {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("fault-injection-{}-{number}", std::process::id()));
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&path)?;
        file.set_len(OFFSET_BYTES + FAULT_BYTES * POINTS.len() as u64)?;
        Ok(Self { path, file })
    }

    /// Lets a process that is yet to be started suffer these faults.
    pub fn apply(&self, command: &mut Command) {
        command.env("LD_PRELOAD", env!("FAULTS_LIBRARY")).env("FAULTS_CONTROL", &self.path);
    }

    /// Sets the wall clock so many milliseconds ahead of the true one, or behind it if negative.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn step_wall_clock(&self, ahead_ms: i64) -> io::Result<()> {
        self.file.write_all_at(&(ahead_ms * 1_000_000).to_ne_bytes(), 0)
    }

    /// Of a thousand calls at a point lets this many fail, with an error; for short transfers `value` is the most
    /// bytes that are moved.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn fail_often(&self, point: Point, per_thousand: u32, value: i32) -> io::Result<()> {
        // A call that fails just now must find the error that belongs to it.
        if per_thousand > 0 {
            self.file.write_all_at(&value.to_ne_bytes(), at(point) + 8)?;
        }
        self.file.write_all_at(&per_thousand.to_ne_bytes(), at(point))
    }

    /// Lets the next calls at a point fail, as [`Faults::fail_often`] does.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn fail_next(&self, point: Point, calls: u32, value: i32) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), at(point) + 8)?;
        self.file.write_all_at(&calls.to_ne_bytes(), at(point) + 4)
    }

    /// Lets nothing fail any more; the wall clock stays as it is.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn heal(&self) -> io::Result<()> {
        for point in POINTS {
            self.file.write_all_at(&[0; 8], at(point))?;
        }
        Ok(())
    }

    /// How many calls have failed at a point.
    ///
    /// # Errors
    /// If the control file cannot be read.
    pub fn injected(&self, point: Point) -> io::Result<u32> {
        let mut count = [0; 4];
        self.file.read_exact_at(&mut count, at(point) + 12)?;
        Ok(u32::from_ne_bytes(count))
    }
}

impl Drop for Faults {
    fn drop(&mut self) {
        // The process that has mapped the file goes on without its name.
        let _ = std::fs::remove_file(&self.path);
    }
}

fn at(point: Point) -> u64 {
    OFFSET_BYTES + FAULT_BYTES * point as u64
}
