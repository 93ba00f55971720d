//! Fault injection into one process: system calls that fail in ways that Linux documents, and a wall
//! clock that differs from the true time.
//!
//! [`Faults::apply`] preloads a small library (`src/faults.c`) into a process that is about to start. The
//! faults can be changed while the process runs. Faults of sockets concern TCP only, and faults of reads
//! regular files only.

mod control_file;
pub mod errno;
mod point;

use control_file::ControlFile;
use std::io;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

pub use point::{InjectionPoint, INJECTION_POINTS};

const NANOSECONDS_PER_MILLISECOND: i64 = 1_000_000;

/// The faults of one process. They stay in force after this value is dropped, but can no longer be changed.
#[derive(Debug)]
pub struct Faults {
    control: ControlFile,
}

impl Faults {
    /// Creates a set of faults that is empty at first.
    ///
    /// # Errors
    /// If the control file cannot be created.
    pub fn new() -> io::Result<Self> {
        static FILE_COUNT: AtomicUsize = AtomicUsize::new(0);
        let number = FILE_COUNT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("fault-injection-{}-{number}", std::process::id()));
        Ok(Self { control: ControlFile::create(path)? })
    }

    /// Makes the process that `command` will start subject to these faults.
    pub fn apply(&self, command: &mut Command) {
        command.env("LD_PRELOAD", env!("FAULTS_LIBRARY")).env("FAULTS_CONTROL", self.control.path());
    }

    /// Sets the wall clock ahead of the true time by `offset_ms` milliseconds, or behind it if negative. The
    /// offset replaces an earlier one; 0 restores the true time.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn set_wall_clock_offset(&self, offset_ms: i64) -> io::Result<()> {
        self.control.set_wall_clock_offset(offset_ms * NANOSECONDS_PER_MILLISECOND)
    }

    /// Makes calls at a point fail at random, on average `per_thousand` of 1000. `value` is the errno value,
    /// or for short transfers the maximum number of bytes.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn set_failure_rate(&self, point: InjectionPoint, per_thousand: u32, value: i32) -> io::Result<()> {
        // The value is set before the rate, and is kept when the rate is 0, as a concurrent call may read it.
        if per_thousand > 0 {
            self.control.set_value(point, value)?;
        }
        self.control.set_per_thousand(point, per_thousand)
    }

    /// Makes the next `calls` calls at a point fail. `value` is as in [`Faults::set_failure_rate`].
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn fail_next(&self, point: InjectionPoint, calls: u32, value: i32) -> io::Result<()> {
        self.control.set_value(point, value)?;
        self.control.set_next_failures(point, calls)
    }

    /// Ends all failures of calls. The offset of the wall clock is kept.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn clear_failures(&self) -> io::Result<()> {
        for point in INJECTION_POINTS {
            self.control.set_per_thousand(point, 0)?;
            self.control.set_next_failures(point, 0)?;
        }
        Ok(())
    }

    /// Number of faults injected at a point so far.
    ///
    /// # Errors
    /// If the control file cannot be read.
    pub fn injected_count(&self, point: InjectionPoint) -> io::Result<u32> {
        self.control.injected_count(point)
    }
}
