//! Scale tests of the edge gateway without the bench: its real decisions and list parser, simulated fleets,
//! and real processes on loopback. Results are JSON files that `docs/CAPACITY.md` cites.

mod cpu_time;
mod deployment;
mod experiment;
mod fit;
mod fleet;
mod nodes;
mod report;
mod slope;
mod soak;

use clap::{Parser, Subcommand};
use experiment::Experiment;
use nodes::ProcessError;
use peak_alloc::PeakAlloc;
use report::Report;
use soak::SoakError;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

/// Counts allocated bytes, for memory by number of endpoints and tenants.
#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Exit code for invalid arguments and experiment files.
const EXIT_USAGE: u8 = 2;

/// Scale tests of the edge gateway.
#[derive(Parser)]
#[command(name = "fleet-lab", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// An experiment file (TOML); what it leaves out has its default.
    #[arg(long, global = true)]
    experiment: Option<PathBuf>,
    /// Smaller sizes, for continuous integration.
    #[arg(long, global = true)]
    short: bool,
    /// Seed of all random draws.
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
    /// Where the result is written.
    #[arg(long, global = true, default_value = "lab/results")]
    out: PathBuf,
}

/// What to measure.
#[derive(Clone, Copy, Subcommand)]
enum Command {
    /// Processor time, memory and bytes by number of endpoints, tenants, gateways and requests.
    Slope,
    /// Simulated edge nodes before modelled endpoints and discovery, on a simulated clock.
    Fleet,
    /// Real processes on loopback before stand-ins for discovery and endpoints.
    Nodes,
    /// Real processes on loopback under overlapping faults, checked against the rules.
    Soak,
}

impl Command {
    /// Its name in result files.
    fn name(self) -> &'static str {
        match self {
            Command::Slope => "slope",
            Command::Fleet => "fleet",
            Command::Nodes => "nodes",
            Command::Soak => "soak",
        }
    }
}

/// Why a command has failed.
#[derive(Debug, Error)]
enum CommandError {
    /// A measurement was not possible, or the result could not be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// An edge node could not be used.
    #[error(transparent)]
    Nodes(#[from] ProcessError),
    /// The soak has failed.
    #[error(transparent)]
    Soak(#[from] SoakError),
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(io::stderr).without_time().with_target(false).init();
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) if error.use_stderr() => {
            let text = error.to_string();
            return exit_with_usage_error(text.lines().next().unwrap_or("bad arguments"));
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
        Command::Slope => slope::run(&experiment.slope, seed, &mut report)?,
        Command::Fleet => fleet::run(&experiment.fleet, seed, &mut report),
        Command::Nodes => nodes::run(&experiment.nodes, seed, &mut report)?,
        Command::Soak => {
            let result = soak::run(&experiment.soak, seed, out, &mut report);
            // The findings are written also if a rule was violated.
            write_report(&report, out)?;
            return Ok(result?);
        }
    }
    write_report(&report, out)
}

fn write_report(report: &Report, out: &Path) -> Result<(), CommandError> {
    let path = report.write(out)?;
    tracing::info!("written to {}", path.display());
    Ok(())
}
