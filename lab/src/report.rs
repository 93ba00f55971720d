//! Results as JSON files.

use crate::fit::{Line, Point};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// What one command has measured. The names of fields, series and values are keys of the result files and
/// stay.
#[derive(Serialize)]
pub struct Report {
    command: &'static str,
    seed: u64,
    short: bool,
    version: &'static str,
    /// Values by size.
    series: Vec<Series>,
    /// Single values, by name; each name ends in its unit.
    values: BTreeMap<String, f64>,
}

/// Values at several sizes, and the line through them.
#[derive(Serialize)]
struct Series {
    name: String,
    unit: &'static str,
    per: &'static str,
    points: Vec<Point>,
    line: Option<Line>,
}

impl Report {
    /// A report without results.
    pub fn new(command: &'static str, seed: u64, short: bool) -> Self {
        let version = env!("CARGO_PKG_VERSION");
        Self { command, seed, short, version, series: Vec::new(), values: BTreeMap::new() }
    }

    /// Adds values at several sizes.
    pub fn series(&mut self, name: &str, unit: &'static str, per: &'static str, points: Vec<Point>) {
        let line = Line::fit(&points);
        if let Some(line) = line {
            tracing::info!(
                "{name}: {:.6} {unit} each of {per}, {:.4} at none, residual {:.2}",
                line.slope,
                line.intercept,
                line.residual
            );
        }
        self.series.push(Series { name: name.to_owned(), unit, per, points, line });
    }

    /// Adds a single value.
    pub fn value(&mut self, name: impl Into<String>, value: f64) {
        let name = name.into();
        tracing::info!("{name} = {value:.4}");
        self.values.insert(name, value);
    }

    /// Writes the file, named by command and seed, and returns its path.
    ///
    /// # Errors
    /// If the directory cannot be made or the file cannot be written.
    pub fn write(&self, directory: &Path) -> io::Result<PathBuf> {
        std::fs::create_dir_all(directory)?;
        let suffix = if self.short { "-short" } else { "" };
        let path = directory.join(format!("{}-{}{suffix}.json", self.command, self.seed));
        std::fs::write(&path, serde_json::to_string_pretty(self)? + "\n")?;
        Ok(path)
    }
}
