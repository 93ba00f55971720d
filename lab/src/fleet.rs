//! The command `fleet`: gateways with the production decision code, simulated endpoints and discovery, and a
//! simulated clock.

mod event_queue;
mod simulated_endpoint;
mod simulation;
mod statistics;
mod subset_balance;

use crate::experiment::FleetSizes;
use crate::report::Report;
use simulation::{Scenario, Simulation};

/// Measures the balance of subsets, then simulates each scenario.
pub fn run(sizes: &FleetSizes, seed: u64, report: &mut Report) {
    subset_balance::run(sizes, seed, report);
    for scenario in Scenario::ALL {
        tracing::info!("{}", scenario.name());
        let statistics = Simulation::new(sizes, seed, scenario).run();
        statistics.report(scenario.name(), report);
    }
}
