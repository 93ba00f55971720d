//! The log: lines with fields on standard error. The environment variable `RELAY_LOG` sets the least level that is
//! written (`error`, `warn`, `info`, `debug` or `trace`; `info` if it is not set or unknown).

use std::fmt::Arguments;
use std::io::Write;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::fmt::time::uptime;

/// Starts the log of this process. Times are seconds since then, so that a wall clock that steps does not matter.
pub fn init() {
    let level = std::env::var("RELAY_LOG").ok().and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(LevelFilter::INFO))
        .with_timer(uptime())
        .with_ansi(false)
        .with_writer(std::io::stderr)
        // A log that cannot be written is no reason to stop: by default the subscriber would tell of it on the
        // same standard error with `eprintln!`, which panics there.
        .log_internal_errors(false)
        .init();
}

/// Writes one plain line to standard error, if it takes one.
pub fn plain_line(line: Arguments) {
    let _ = writeln!(std::io::stderr(), "{line}");
}
