//! Scenarios: the disturbance of a run, and the schedule of its events.

use super::Simulation;
use crate::fleet::event_queue::ScheduledEvent;
use edge_gateway::Millis;
use rand::Rng;

/// Simulated time before a disturbance begins.
const WARM_UP: Millis = 8_000.0;
/// How long a zone, discovery or a failed endpoint is unavailable.
const OUTAGE: Millis = 8_000.0;
/// Fraction of the endpoints that fail per second in `Scenario::EndpointFailures`.
const ENDPOINT_FAILURE_RATE: f64 = 0.0005;
/// Groups of gateways that restart one after another.
pub(super) const RESTART_GROUPS: u32 = 10;
/// Time between the restarts of two groups.
const RESTART_INTERVAL: Millis = 1_000.0;
/// One of this many endpoints is replaced during an outage of discovery.
const REPLACED_ENDPOINT_STEP: usize = 20;
/// Time from the start of the outage until the replaced endpoints stop.
const REPLACED_STOP: Millis = 1_000.0;
/// Time from the start of the outage until the replaced endpoints start again, in slow start.
const REPLACED_START: Millis = 2_000.0;

/// Disturbance of a simulated fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Endpoints fail independently at random, and return in slow start.
    EndpointFailures,
    /// All gateways restart, a tenth of them at a time.
    RollingRestart,
    /// All endpoints of one zone are lost, and return in slow start.
    ZoneOutage,
    /// Discovery is unavailable while endpoints are replaced. All gateways poll it when it returns.
    DiscoveryOutage,
}

impl Scenario {
    /// All scenarios, in the order in which they run.
    pub const ALL: [Self; 4] =
        [Self::EndpointFailures, Self::RollingRestart, Self::ZoneOutage, Self::DiscoveryOutage];

    /// The name of the scenario in results.
    pub fn name(self) -> &'static str {
        match self {
            Self::EndpointFailures => "ordinary",
            Self::RollingRestart => "restart wave",
            Self::ZoneOutage => "zone lost",
            Self::DiscoveryOutage => "discovery returns",
        }
    }
}

impl Simulation {
    /// Schedules the events of the scenario.
    pub(super) fn schedule_scenario(&mut self) {
        match self.scenario {
            Scenario::EndpointFailures => self.schedule_endpoint_failures(),
            Scenario::RollingRestart => self.schedule_rolling_restart(),
            Scenario::ZoneOutage => self.schedule_zone_outage(),
            Scenario::DiscoveryOutage => self.schedule_discovery_outage(),
        }
    }

    fn schedule_endpoint_failures(&mut self) {
        let failures_per_second = ENDPOINT_FAILURE_RATE * f64::from(self.sizes.endpoints);
        let mean_interval = 1_000.0 / failures_per_second;
        let mut at = self.draw_exponential(mean_interval);
        while at < self.end() {
            let endpoint = self.rng.random_range(0..self.sizes.endpoints);
            self.queue.schedule(at, ScheduledEvent::EndpointStopped(endpoint));
            self.queue.schedule(at + OUTAGE, ScheduledEvent::EndpointStarted(endpoint));
            at += self.draw_exponential(mean_interval);
        }
    }

    fn schedule_rolling_restart(&mut self) {
        for group in 0..RESTART_GROUPS {
            let at = WARM_UP + f64::from(group) * RESTART_INTERVAL;
            self.queue.schedule(at, ScheduledEvent::GatewaysRestarted { group });
        }
    }

    fn schedule_zone_outage(&mut self) {
        for endpoint in (0..self.sizes.endpoints).step_by(self.sizes.zones as usize) {
            self.queue.schedule(WARM_UP, ScheduledEvent::EndpointStopped(endpoint));
            self.queue.schedule(WARM_UP + OUTAGE, ScheduledEvent::EndpointStarted(endpoint));
        }
    }

    fn schedule_discovery_outage(&mut self) {
        self.queue.schedule(WARM_UP, ScheduledEvent::DiscoveryStopped);
        for endpoint in (0..self.sizes.endpoints).step_by(REPLACED_ENDPOINT_STEP) {
            self.queue.schedule(WARM_UP + REPLACED_STOP, ScheduledEvent::EndpointStopped(endpoint));
            self.queue.schedule(WARM_UP + REPLACED_START, ScheduledEvent::EndpointStarted(endpoint));
        }
        self.queue.schedule(WARM_UP + OUTAGE, ScheduledEvent::DiscoveryStarted);
    }
}
