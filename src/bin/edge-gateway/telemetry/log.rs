//! The log: lines with fields on standard error. The environment variable `RELAY_LOG` sets the lowest level
//! that is written (`error`, `warn`, `info`, `debug` or `trace`; `info` if it is not set or unknown).
//!
//! Logging neither blocks nor fails: a line that would block or cannot be written is dropped.

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use std::fmt::Arguments;
use std::io::{self, Write};
use std::os::fd::AsFd;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::fmt::time::uptime;

/// The environment variable that sets the lowest level.
const LEVEL_VARIABLE: &str = "RELAY_LOG";

/// Starts the log of this process. Timestamps are seconds since this call, so that steps of the wall clock do
/// not affect them.
pub fn init() {
    let level = std::env::var(LEVEL_VARIABLE).ok().and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(LevelFilter::INFO))
        .with_timer(uptime())
        .with_ansi(false)
        .with_writer(|| LossyStderr)
        // By default the subscriber reports a failed write with `eprintln!`, which writes to the same
        // standard error and panics if that fails.
        .log_internal_errors(false)
        .init();
}

/// Writes a line without timestamp and level to standard error. Errors are ignored.
pub fn write_plain_line(line: Arguments<'_>) {
    let _ = writeln!(io::stderr(), "{line}");
}

/// Standard error that drops lines that would block. A pipe that is not read must not block the node's only
/// thread.
struct LossyStderr;

impl LossyStderr {
    /// Whether a line can be written without blocking. A pipe reported as writable has space for several.
    fn is_writable() -> bool {
        let stderr = io::stderr();
        let mut poll_fds = [PollFd::new(stderr.as_fd(), PollFlags::POLLOUT)];
        // If polling fails, the write is attempted and returns its own error.
        let ready = poll(&mut poll_fds, PollTimeout::ZERO);
        ready.is_err() || ready.is_ok_and(|ready| ready > 0)
    }
}

impl Write for LossyStderr {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if Self::is_writable() {
            io::stderr().write(line)
        } else {
            Ok(line.len())
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
