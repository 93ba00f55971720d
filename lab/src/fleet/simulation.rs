//! A discrete-event simulation of a fleet: gateways with the production decision code, simulated endpoints
//! and discovery, and a simulated clock.
//!
//! This module owns the state and the event loop. Events are handled in `gateway_driver` (clients and
//! gateways), `endpoint_driver` and `discovery`; `scenario` schedules disturbances.

mod discovery;
mod endpoint_driver;
mod gateway_driver;
mod scenario;

use super::event_queue::{EventQueue, ScheduledEvent};
use super::simulated_endpoint::{AttemptId, SimulatedEndpoint};
use super::statistics::Statistics;
use super::subset_balance::request_rates;
use crate::experiment::FleetSizes;
use discovery::Discovery;
use edge_gateway::{Action, EndpointId, Millis};
use gateway_driver::{Attempt, SimulatedGateway};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use std::collections::HashMap;

pub use scenario::Scenario;

/// One-way latency of the network.
const NETWORK_LATENCY: Millis = 0.5;
/// Simulated time between two log lines that report progress.
const PROGRESS_INTERVAL: Millis = 10_000.0;

/// State of one simulation run.
pub struct Simulation {
    sizes: FleetSizes,
    scenario: Scenario,
    rng: ChaCha8Rng,
    queue: EventQueue,
    gateways: Vec<SimulatedGateway>,
    endpoints: Vec<SimulatedEndpoint>,
    discovery: Discovery,
    /// Attempts by id. One that finishes before its timeout is removed when the timeout event is handled.
    attempts: HashMap<AttemptId, Attempt>,
    last_attempt: AttemptId,
    last_request: u64,
    /// Reused buffer for the actions of a gateway.
    actions: Vec<Action>,
    statistics: Statistics,
}

impl Simulation {
    /// Creates a fleet that has not started yet.
    pub fn new(sizes: &FleetSizes, seed: u64, scenario: Scenario) -> Self {
        let endpoints = (0..sizes.endpoints).map(|_| SimulatedEndpoint::new(sizes.cores)).collect();
        let mut simulation = Self {
            sizes: sizes.clone(),
            scenario,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: EventQueue::default(),
            gateways: Vec::new(),
            endpoints,
            discovery: Discovery::new(),
            attempts: HashMap::new(),
            last_attempt: AttemptId::default(),
            last_request: 0,
            actions: Vec::new(),
            statistics: Statistics::default(),
        };
        let mean_rate = sizes.rate_per_endpoint * f64::from(sizes.endpoints) / f64::from(sizes.gateways);
        for (rank, rate) in request_rates(sizes.gateways, mean_rate, seed).into_iter().enumerate() {
            let gateway = simulation.new_gateway(rank as u32, 0, rate);
            simulation.gateways.push(gateway);
        }
        simulation
    }

    /// Runs the scenario until the simulated duration has passed.
    pub fn run(mut self) -> Statistics {
        self.start_gateways();
        self.schedule_scenario();
        let mut next_progress_at = 0.0;
        while let Some(event) = self.queue.pop() {
            if self.now() > self.end() {
                break;
            }
            if self.now() >= next_progress_at {
                let (seconds, requests) = (next_progress_at / 1_000.0, self.statistics.requests);
                tracing::info!("{seconds} s simulated, {requests} requests");
                next_progress_at += PROGRESS_INTERVAL;
            }
            self.handle(event);
        }
        self.into_statistics()
    }

    fn into_statistics(mut self) -> Statistics {
        self.statistics.ended_at = self.queue.now();
        self.statistics.attempts_by_endpoint =
            self.endpoints.iter().map(|endpoint| endpoint.attempts).collect();
        self.statistics.slow_start_excess_attempts =
            self.endpoints.iter().map(|endpoint| endpoint.slow_start_excess_attempts).sum();
        self.statistics
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::ClientRequest { gateway } => self.send_client_request(gateway),
            ScheduledEvent::TimerFired { gateway, incarnation, token } => {
                self.fire_timer(gateway, incarnation, token);
            }
            ScheduledEvent::AttemptArrived { attempt } => self.receive_attempt(attempt),
            ScheduledEvent::AttemptProcessed { attempt, endpoint_incarnation } => {
                self.finish_processing(attempt, endpoint_incarnation);
            }
            ScheduledEvent::AttemptFinished { attempt, outcome } => self.finish_attempt(attempt, outcome),
            ScheduledEvent::ChangesReceived { gateway, incarnation, version } => {
                self.receive_changes(gateway, incarnation, version);
            }
            ScheduledEvent::DiscoveryPolled { gateway, incarnation } => {
                self.poll_discovery(gateway, incarnation);
            }
            ScheduledEvent::EndpointStopped(endpoint) => self.stop_endpoint(endpoint),
            ScheduledEvent::EndpointStarted(endpoint) => self.start_endpoint(endpoint),
            ScheduledEvent::GatewaysRestarted { group } => self.restart_gateways(group),
            ScheduledEvent::DiscoveryStopped => self.stop_discovery(),
            ScheduledEvent::DiscoveryStarted => self.start_discovery(),
        }
    }

    fn now(&self) -> Millis {
        self.queue.now()
    }

    /// Simulated time at which the run ends.
    fn end(&self) -> Millis {
        self.sizes.seconds * 1_000.0
    }

    fn schedule_after(&mut self, delay: Millis, event: ScheduledEvent) {
        self.queue.schedule(self.queue.now() + delay, event);
    }

    fn draw_exponential(&mut self, mean: f64) -> f64 {
        Exp::new(1.0 / mean).expect("the mean is above 0").sample(&mut self.rng)
    }

    fn gateway(&mut self, rank: u32) -> &mut SimulatedGateway {
        &mut self.gateways[rank as usize]
    }

    fn endpoint(&mut self, id: EndpointId) -> &mut SimulatedEndpoint {
        &mut self.endpoints[id as usize]
    }
}
