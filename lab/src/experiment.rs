//! Experiment files (TOML): sizes, rates and durations of each command. A key that is not set has its
//! default. Keys of earlier versions are still accepted.

mod sizes;

use serde::Deserialize;
pub use sizes::{FleetSizes, MemorySizes, NodesSizes, SlopeSizes, SoakSizes};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Sizes of all commands, one table for each.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Experiment {
    /// Sizes of `slope`.
    pub slope: SlopeSizes,
    /// Sizes of `fleet`.
    pub fleet: FleetSizes,
    /// Sizes of `nodes`.
    pub nodes: NodesSizes,
    /// Sizes of `memory`.
    pub memory: MemorySizes,
    /// Sizes of `soak`.
    pub soak: SoakSizes,
}

/// Why an experiment file cannot be used.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The error from reading it.
        source: std::io::Error,
    },
    /// The file is not TOML, or has an unknown key or a value of the wrong type.
    #[error("{}: {}", path.display(), source.message().replace('\n', " "))]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// The error from parsing it.
        source: Box<toml::de::Error>,
    },
    /// A size is out of range. The message names the command, the sizes and their valid range.
    #[error("{0}")]
    Size(String),
}

impl Experiment {
    /// Reads and validates an experiment file; without a path, returns the defaults. `short` caps sizes.
    pub fn load(path: Option<&Path>, short: bool) -> Result<Self, ExperimentError> {
        let mut experiment = match path {
            Some(path) => Self::read(path)?,
            None => Self::default(),
        };
        if short {
            experiment.shorten();
        }
        experiment.validate()?;
        Ok(experiment)
    }

    fn read(path: &Path) -> Result<Self, ExperimentError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ExperimentError::Unreadable { path: path.to_owned(), source })?;
        toml::from_str(&text)
            .map_err(|source| ExperimentError::Malformed { path: path.to_owned(), source: Box::new(source) })
    }

    fn shorten(&mut self) {
        self.slope.shorten();
        self.fleet.shorten();
        self.nodes.shorten();
        self.memory.shorten();
        self.soak.shorten();
    }

    fn validate(&self) -> Result<(), ExperimentError> {
        self.slope.validate()?;
        self.fleet.validate()?;
        self.nodes.validate()?;
        self.memory.validate()?;
        self.soak.validate()
    }
}

/// Returns an [`ExperimentError::Size`] with this message if a size is invalid.
fn reject_if(invalid: bool, message: impl Into<String>) -> Result<(), ExperimentError> {
    if invalid {
        return Err(ExperimentError::Size(message.into()));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
