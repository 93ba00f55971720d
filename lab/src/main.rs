//! Scale tests of ivygate without a bench: the real decisions and list code, hollow fleets on a made clock, and
//! real processes on loopback. Results are JSON files that `docs/CAPACITY.md` cites.

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
use peak_alloc::PeakAlloc;
use report::Report;
use std::path::PathBuf;
use std::process::ExitCode;

/// Counts what is allocated, for memory by number of servers and tenants.
#[global_allocator]
static ALLOCATED: PeakAlloc = PeakAlloc;

/// Exit code for arguments and experiment files that cannot be used.
const USAGE: u8 = 2;

/// Scale tests of ivygate.
#[derive(Parser)]
#[command(name = "fleet-lab", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// An experiment file (TOML); what it leaves out is as built in.
    #[arg(long, global = true)]
    experiment: Option<PathBuf>,
    /// Smaller sizes, for continuous integration.
    #[arg(long, global = true)]
    short: bool,
    /// Seed of all draws.
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
    /// Where the result is written.
    #[arg(long, global = true, default_value = "lab/results")]
    out: PathBuf,
}

/// What to measure.
#[derive(Clone, Copy, Subcommand)]
enum Command {
    /// Processor time, memory and bytes by number of servers, tenants, gateways and requests.
    Slope,
    /// Hollow edge nodes before a model of booking servers and discovery, on a made clock.
    Fleet,
    /// Real processes on loopback before stand-ins of discovery and servers.
    Nodes,
    /// Real processes on loopback under overlapping faults, judged by the rules.
    Soak,
}

impl Command {
    fn name(self) -> &'static str {
        match self {
            Command::Slope => "slope",
            Command::Fleet => "fleet",
            Command::Nodes => "nodes",
            Command::Soak => "soak",
        }
    }
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).without_time().with_target(false).init();
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) if error.use_stderr() => {
            let text = error.to_string();
            return usage(text.lines().next().unwrap_or("bad arguments"));
        }
        Err(help) => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
    };
    let experiment = match Experiment::load(arguments.experiment.as_deref(), arguments.short) {
        Ok(experiment) => experiment,
        Err(error) => return usage(&error.to_string()),
    };
    match run(&arguments, &experiment) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fleet-lab: {error}");
            ExitCode::FAILURE
        }
    }
}

fn usage(line: &str) -> ExitCode {
    eprintln!("fleet-lab: {line}");
    ExitCode::from(USAGE)
}

fn run(arguments: &Arguments, experiment: &Experiment) -> Result<(), Box<dyn std::error::Error>> {
    let name = arguments.command.name();
    let mut report = Report::new(name, arguments.seed, arguments.short);
    match arguments.command {
        Command::Slope => slope::run(&experiment.slope, arguments.seed, &mut report)?,
        Command::Fleet => fleet::run(&experiment.fleet, arguments.seed, &mut report),
        Command::Nodes => nodes::run(&experiment.nodes, arguments.seed, &mut report)?,
        Command::Soak => {
            let played = soak::run(&experiment.soak, arguments.seed, &arguments.out, &mut report);
            // What was found is written also where a rule was broken.
            write(&report, &arguments.out)?;
            return Ok(played?);
        }
    }
    write(&report, &arguments.out)
}

fn write(report: &Report, out: &std::path::Path) -> Result<(), Box<dyn std::error::Error>> {
    let path = report.write(out)?;
    tracing::info!("written to {}", path.display());
    Ok(())
}
