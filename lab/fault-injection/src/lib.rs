//! Fault injection into one process: system calls that fail in ways that Linux documents, and a wall clock
//! that steps.
//!
//! The process is started with [`Faults::apply`], which loads a small library into it (`src/faults.c`). Its
//! faults can be changed while it runs. Sockets other than TCP and files that are not regular are not
//! affected.

mod control_file;
pub mod errno;
mod point;

use control_file::ControlFile;
use std::io;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

pub use point::{Point, POINTS};

const NANOSECONDS_PER_MILLISECOND: i64 = 1_000_000;

/// The faults of one process. They stay in force after this is dropped, and cannot be changed any more.
#[derive(Debug)]
pub struct Faults {
    control: ControlFile,
}

impl Faults {
    /// No faults yet.
    ///
    /// # Errors
    /// If the control file cannot be created.
    pub fn new() -> io::Result<Self> {
        static FILE_COUNT: AtomicUsize = AtomicUsize::new(0);
        let number = FILE_COUNT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("fault-injection-{}-{number}", std::process::id()));
        Ok(Self { control: ControlFile::create(path)? })
    }

    /// Makes a process that is yet to be started subject to these faults.
    pub fn apply(&self, command: &mut Command) {
        command.env("LD_PRELOAD", env!("FAULTS_LIBRARY")).env("FAULTS_CONTROL", self.control.path());
    }

    /// Sets the wall clock so many milliseconds ahead of the true time, or behind it if negative.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn step_wall_clock(&self, ahead_ms: i64) -> io::Result<()> {
        self.control.set_wall_clock_offset(ahead_ms * NANOSECONDS_PER_MILLISECOND)
    }

    /// Makes so many of a thousand calls at a point fail. `value` is the error, or for short transfers the
    /// most bytes that are moved.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn fail_often(&self, point: Point, per_thousand: u32, value: i32) -> io::Result<()> {
        // The error comes first, and stays when failures end: a call that fails meanwhile must find it.
        if per_thousand > 0 {
            self.control.set_value(point, value)?;
        }
        self.control.set_per_thousand(point, per_thousand)
    }

    /// Makes the next calls at a point fail; `value` is as for [`Faults::fail_often`].
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn fail_next(&self, point: Point, calls: u32, value: i32) -> io::Result<()> {
        self.control.set_value(point, value)?;
        self.control.set_next_failures(point, calls)
    }

    /// Ends all failures of calls; the wall clock stays as it is.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn heal(&self) -> io::Result<()> {
        for point in POINTS {
            self.control.set_per_thousand(point, 0)?;
            self.control.set_next_failures(point, 0)?;
        }
        Ok(())
    }

    /// Number of calls that have failed at a point.
    ///
    /// # Errors
    /// If the control file cannot be read.
    pub fn injected(&self, point: Point) -> io::Result<u32> {
        self.control.injected_count(point)
    }
}
