//! Hollow edge nodes: real gateways on a made clock, before a model of booking servers and of discovery.

mod simulated_endpoint;
mod simulation;
mod subset_balance;

use crate::experiment::FleetSizes;
use crate::report::Report;
use simulation::{Run, Trouble};
use std::io;

/// Plays the four runs and the one on balance at full size.
pub fn run(sizes: &FleetSizes, seed: u64, report: &mut Report) -> io::Result<()> {
    subset_balance::run(sizes, seed, report);
    for trouble in [Trouble::Ordinary, Trouble::RestartWave, Trouble::ZoneLost, Trouble::DiscoveryReturns] {
        tracing::info!("{}", trouble.name());
        Run::new(sizes, seed, trouble).play().report(trouble.name(), report);
    }
    Ok(())
}
