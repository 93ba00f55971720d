//! The report of a command, written as a JSON file.

use crate::fit::{Line, Point};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// Results of one command. The names of fields, series and values are part of the file format and must not
/// change.
#[derive(Serialize)]
pub struct Report {
    command: &'static str,
    seed: u64,
    short: bool,
    version: &'static str,
    /// Values measured at several sizes.
    series: Vec<Series>,
    /// Single values by name. The name includes the unit.
    values: BTreeMap<String, f64>,
}

/// Values measured at several sizes, and the line fitted to them.
#[derive(Serialize)]
struct Series {
    name: String,
    /// Unit of the values, such as `us` or `bytes`.
    unit: &'static str,
    /// What the sizes count.
    per: &'static str,
    points: Vec<Point>,
    /// `None` for fewer than two different sizes.
    line: Option<Line>,
}

impl Report {
    /// Creates a report without results.
    pub fn new(command: &'static str, seed: u64, short: bool) -> Self {
        let version = env!("CARGO_PKG_VERSION");
        Self { command, seed, short, version, series: Vec::new(), values: BTreeMap::new() }
    }

    /// Adds values measured at several sizes. `per` names what the sizes count.
    pub fn add_series(&mut self, name: &str, unit: &'static str, per: &'static str, points: Vec<Point>) {
        let line = Line::fit(&points);
        if let Some(line) = line {
            tracing::info!(
                "{name}: slope {:.6} {unit} per unit of {per}, intercept {:.4} {unit}, residual {:.2}",
                line.slope,
                line.intercept,
                line.residual
            );
        }
        self.series.push(Series { name: name.to_owned(), unit, per, points, line });
    }

    /// Adds a single value. Its name includes the unit.
    pub fn add_value(&mut self, name: impl Into<String>, value: f64) {
        let name = name.into();
        tracing::info!("{name} = {value:.4}");
        self.values.insert(name, value);
    }

    /// Writes a file whose name consists of command and seed, and returns its path.
    ///
    /// # Errors
    /// If the directory cannot be created or the file cannot be written.
    pub fn write(&self, directory: &Path) -> io::Result<PathBuf> {
        std::fs::create_dir_all(directory)?;
        let suffix = if self.short { "-short" } else { "" };
        let path = directory.join(format!("{}-{}{suffix}.json", self.command, self.seed));
        std::fs::write(&path, serde_json::to_string_pretty(self)? + "\n")?;
        Ok(path)
    }
}
