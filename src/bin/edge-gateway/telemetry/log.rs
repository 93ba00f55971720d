//! The log: lines with fields on standard error. The environment variable `RELAY_LOG` sets the least level that is
//! written (`error`, `warn`, `info`, `debug` or `trace`; `info` if it is not set or unknown).
//!
//! Nothing rests on it: a line that cannot be written, or that would have to wait, is dropped.

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use std::fmt::Arguments;
use std::io::{self, Write};
use std::os::fd::AsFd;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::fmt::time::uptime;

/// Starts the log of this process. Times are seconds since then, so that a wall clock that steps does not matter.
pub fn init() {
    let level = std::env::var("RELAY_LOG").ok().and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(LevelFilter::INFO))
        .with_timer(uptime())
        .with_ansi(false)
        .with_writer(|| Lossy)
        // By default the subscriber would tell of a failed write on the same standard error with `eprintln!`, which
        // panics there.
        .log_internal_errors(false)
        .init();
}

/// Writes one plain line to standard error, if it takes one.
pub fn plain_line(line: Arguments) {
    let _ = writeln!(io::stderr(), "{line}");
}

/// Standard error, but for lines that would have to wait: a pipe that nobody empties must not hold up the one thread.
struct Lossy;

impl Lossy {
    /// Whether a line can be written at once. A pipe that says so has room for more than one.
    fn takes_a_line() -> bool {
        let stderr = io::stderr();
        let mut polled = [PollFd::new(stderr.as_fd(), PollFlags::POLLOUT)];
        // Where the system does not tell, the write will.
        let ready = poll(&mut polled, PollTimeout::ZERO);
        ready.is_err() || ready.is_ok_and(|ready| ready > 0)
    }
}

impl Write for Lossy {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if Self::takes_a_line() {
            io::stderr().write(line)
        } else {
            Ok(line.len())
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
