//! The control file, which the preloaded library maps into memory. Its layout is `struct control` in
//! `src/faults.c`: the offset of the wall clock, then one fault per injection point.

use crate::point::{InjectionPoint, INJECTION_POINTS};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Size of the offset of the wall clock, which comes first.
const WALL_CLOCK_BYTES: u64 = 8;
/// Size of one fault, and the offsets of its fields within it.
const FAULT_BYTES: u64 = 16;
const PER_THOUSAND_OFFSET: u64 = 0;
const NEXT_FAILURES_OFFSET: u64 = 4;
const VALUE_OFFSET: u64 = 8;
const INJECTED_COUNT_OFFSET: u64 = 12;

/// A control file, which is removed when it is dropped. A process that has mapped it keeps its mapping.
#[derive(Debug)]
pub struct ControlFile {
    path: PathBuf,
    file: File,
}

impl ControlFile {
    /// Creates a control file without faults.
    pub fn create(path: PathBuf) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&path)?;
        file.set_len(WALL_CLOCK_BYTES + FAULT_BYTES * INJECTION_POINTS.len() as u64)?;
        Ok(Self { path, file })
    }

    /// Path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Sets the offset of the wall clock, in nanoseconds ahead of the true time.
    pub fn set_wall_clock_offset(&self, nanoseconds: i64) -> io::Result<()> {
        self.file.write_all_at(&nanoseconds.to_ne_bytes(), 0)
    }

    /// Sets how many of 1000 calls fail on average.
    pub fn set_per_thousand(&self, point: InjectionPoint, per_thousand: u32) -> io::Result<()> {
        self.write(point, PER_THOUSAND_OFFSET, per_thousand.to_ne_bytes())
    }

    /// Sets how many of the next calls fail, one after another.
    pub fn set_next_failures(&self, point: InjectionPoint, calls: u32) -> io::Result<()> {
        self.write(point, NEXT_FAILURES_OFFSET, calls.to_ne_bytes())
    }

    /// Sets the errno value, or for a short transfer the maximum number of bytes.
    pub fn set_value(&self, point: InjectionPoint, value: i32) -> io::Result<()> {
        self.write(point, VALUE_OFFSET, value.to_ne_bytes())
    }

    /// Number of faults injected at a point so far.
    pub fn injected_count(&self, point: InjectionPoint) -> io::Result<u32> {
        let mut count = [0; 4];
        self.file.read_exact_at(&mut count, fault_offset(point) + INJECTED_COUNT_OFFSET)?;
        Ok(u32::from_ne_bytes(count))
    }

    fn write(&self, point: InjectionPoint, field_offset: u64, bytes: [u8; 4]) -> io::Result<()> {
        self.file.write_all_at(&bytes, fault_offset(point) + field_offset)
    }
}

impl Drop for ControlFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

fn fault_offset(point: InjectionPoint) -> u64 {
    WALL_CLOCK_BYTES + FAULT_BYTES * point as u64
}
