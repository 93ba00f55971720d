//! The log: lines with fields on standard error. The environment variable `RELAY_LOG` sets the lowest level
//! that is written (`error`, `warn`, `info`, `debug` or `trace`; `info` if it is not set or unknown).
//!
//! Nothing depends on it: a line that cannot be written, or would block, is dropped.

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use std::fmt::Arguments;
use std::io::{self, Write};
use std::os::fd::AsFd;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::fmt::time::uptime;

/// The environment variable that names the lowest level.
const LEVEL_VARIABLE: &str = "RELAY_LOG";

/// Starts the log of this process. Times are seconds since then, so that steps of the wall clock do not
/// matter.
pub fn init() {
    let level = std::env::var(LEVEL_VARIABLE).ok().and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(LevelFilter::INFO))
        .with_timer(uptime())
        .with_ansi(false)
        .with_writer(|| LossyStderr)
        // By default the subscriber reports a failed write on the same standard error with `eprintln!`, which
        // panics.
        .log_internal_errors(false)
        .init();
}

/// Writes one plain line, without time and level, to standard error; errors are ignored.
pub fn plain_line(line: Arguments<'_>) {
    let _ = writeln!(io::stderr(), "{line}");
}

/// Standard error without the lines that would block: a pipe that nobody reads must not hold up the node's
/// one thread.
struct LossyStderr;

impl LossyStderr {
    /// Whether a line can be written without blocking. A pipe that polls as writable has space for several.
    fn is_writable() -> bool {
        let stderr = io::stderr();
        let mut polled = [PollFd::new(stderr.as_fd(), PollFlags::POLLOUT)];
        // If polling fails, the write will report why.
        let ready = poll(&mut polled, PollTimeout::ZERO);
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
