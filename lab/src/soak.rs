//! The `soak` command: randomized runs under fault injection.
//!
//! Node processes run on loopback, and the soak plays their clients, endpoints and discovery agents. It
//! injects faults into these peers, into the network to the endpoints, and into the nodes by signals and by
//! failures of their system calls and clocks. Several faults overlap, and an oracle checks the rules. The
//! command fails if a rule is violated.

mod client;
mod discovery;
mod endpoint;
mod endpoint_list;
mod environment;
mod fault;
mod http;
mod node;
mod oracle;
mod proxy;
mod run;
mod settings;

use crate::experiment::SoakSizes;
use crate::report::Report;
use oracle::Findings;
use std::io;
use std::path::Path;
use thiserror::Error;

/// An error that fails the soak.
#[derive(Debug, Error)]
pub enum SoakError {
    /// The threads of the clients, endpoints and agents could not be started.
    #[error("cannot start the runtime of the soak: {0}")]
    Runtime(#[source] io::Error),
    /// A run could not be carried out.
    #[error("cannot carry out the run with seed {seed}: {source}")]
    Run {
        /// Seed of the run.
        seed: u64,
        /// The error that ended the run.
        source: io::Error,
    },
    /// The nodes violated rules.
    #[error("rules were violated {violations} times")]
    RulesViolated {
        /// Number of violations in all runs.
        violations: u32,
    },
}

/// Makes `sizes.runs` runs with consecutive seeds from `seed` and adds their findings to the report.
///
/// # Errors
/// If a run could not be carried out, or a rule was violated.
pub fn run(sizes: &SoakSizes, seed: u64, out: &Path, report: &mut Report) -> Result<(), SoakError> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(SoakError::Runtime)?;
    let mut violations = 0;
    for seed in seed..seed + sizes.runs {
        let findings =
            runtime.block_on(run::run(sizes, seed, out)).map_err(|source| SoakError::Run { seed, source })?;
        add_findings(seed, &findings, report);
        violations += findings.total_violations();
    }
    report.add_value("rules broken in all runs", f64::from(violations));
    if violations > 0 {
        return Err(SoakError::RulesViolated { violations });
    }
    Ok(())
}

fn add_findings(seed: u64, findings: &Findings, report: &mut Report) {
    for violation in &findings.violations {
        tracing::error!(seed, "{violation}");
    }
    for (rule, count) in &findings.violation_counts {
        report.add_value(format!("seed {seed}: {} broken", rule.name()), f64::from(*count));
    }
    for (occurrence, count) in &findings.occurrences {
        report.add_value(format!("seed {seed}: {}", occurrence.name()), *count as f64);
    }
    tracing::info!(
        seed,
        violations = findings.total_violations(),
        occurrences = ?findings.occurrences,
        "run finished"
    );
}
