//! Scale tests of the edge gateway, without an external simulator: its decision code and list parser,
//! simulated fleets, and node processes on loopback. `docs/CAPACITY.md` cites the results (JSON files).

mod cpu_time;
mod deployment;
mod experiment;
mod fit;
mod fleet;
mod memory;
mod nodes;
mod report;
mod slope;
mod soak;

use clap::{Parser, Subcommand};
use experiment::Experiment;
use memory::MemoryError;
use nodes::process::ProcessError;
use peak_alloc::PeakAlloc;
use report::Report;
use soak::SoakError;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

/// Counts allocated bytes, to measure memory by number of endpoints and customers.
#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Exit code for an invalid argument or experiment file.
const EXIT_USAGE: u8 = 2;

/// Scale tests of the edge gateway.
#[derive(Parser)]
#[command(name = "fleet-lab", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// Experiment file (TOML); keys that are not set have their defaults.
    #[arg(long, global = true)]
    experiment: Option<PathBuf>,
    /// Use smaller sizes, for continuous integration.
    #[arg(long, global = true)]
    short: bool,
    /// Seed of all random number generators.
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
    /// Directory for the result file.
    #[arg(long, global = true, default_value = "lab/results")]
    out: PathBuf,
}

/// The measurement to run.
#[derive(Clone, Copy, Subcommand)]
enum Command {
    /// Measure CPU time, memory and bytes by number of endpoints, customers, gateways and requests.
    Slope,
    /// Simulate edge nodes, endpoints and discovery on a simulated clock.
    Fleet,
    /// Measure node processes on loopback, with stand-ins for discovery and endpoints.
    Nodes,
    /// Measure the memory of node processes that hold many long messages, in pieces, in both directions.
    Memory,
    /// Run node processes on loopback under overlapping faults, and check them against the rules.
    Soak,
}

impl Command {
    /// The name of the command in result files.
    fn name(self) -> &'static str {
        match self {
            Command::Slope => "slope",
            Command::Fleet => "fleet",
            Command::Nodes => "nodes",
            Command::Memory => "memory",
            Command::Soak => "soak",
        }
    }
}

/// Why a command failed.
#[derive(Debug, Error)]
enum CommandError {
    /// The CPU time of a measurement by `slope` could not be read.
    #[error("cannot measure CPU time: {0}")]
    Slope(#[source] io::Error),
    /// The result file could not be written.
    #[error("cannot write the report to {}: {source}", directory.display())]
    Report {
        /// Directory for the result file.
        directory: PathBuf,
        /// The error from creating the directory or writing the file.
        source: io::Error,
    },
    /// A node process could not be started or used.
    #[error(transparent)]
    Nodes(#[from] ProcessError),
    /// A node took too much memory.
    #[error(transparent)]
    Memory(#[from] MemoryError),
    /// The soak failed.
    #[error(transparent)]
    Soak(#[from] SoakError),
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(io::stderr).without_time().with_target(false).init();
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) if error.use_stderr() => {
            let text = error.to_string();
            return exit_with_usage_error(text.lines().next().unwrap_or("invalid arguments"));
        }
        Err(help) => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
    };
    let experiment = match Experiment::load(arguments.experiment.as_deref(), arguments.short) {
        Ok(experiment) => experiment,
        Err(error) => return exit_with_usage_error(&error.to_string()),
    };
    match run(&arguments, &experiment) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fleet-lab: {error}");
            ExitCode::FAILURE
        }
    }
}

fn exit_with_usage_error(line: &str) -> ExitCode {
    eprintln!("fleet-lab: {line}");
    ExitCode::from(EXIT_USAGE)
}

fn run(arguments: &Arguments, experiment: &Experiment) -> Result<(), CommandError> {
    let Arguments { command, seed, short, ref out, .. } = *arguments;
    let mut report = Report::new(command.name(), seed, short);
    match command {
        Command::Slope => slope::run(&experiment.slope, seed, &mut report).map_err(CommandError::Slope)?,
        Command::Fleet => fleet::run(&experiment.fleet, seed, &mut report),
        Command::Nodes => nodes::run(&experiment.nodes, seed, &mut report)?,
        Command::Memory => {
            let result = memory::run(&experiment.memory, seed, &mut report);
            // The report is written even if a node took too much memory.
            write_report(&report, out)?;
            return Ok(result?);
        }
        Command::Soak => {
            let result = soak::run(&experiment.soak, seed, out, &mut report);
            // The report is written even if a rule was violated.
            write_report(&report, out)?;
            return Ok(result?);
        }
    }
    write_report(&report, out)
}

fn write_report(report: &Report, out: &Path) -> Result<(), CommandError> {
    let path =
        report.write(out).map_err(|source| CommandError::Report { directory: out.to_owned(), source })?;
    tracing::info!("wrote the report to {}", path.display());
    Ok(())
}
