//! Scenarios: the disturbances of a run and when they are scheduled.

use super::Simulation;
use crate::fleet::event_queue::ScheduledEvent;
use edge_gateway::Millis;
use rand::Rng;

/// Time before the disturbance begins.
const WARM_UP: Millis = 8_000.0;
/// How long a zone or discovery is unavailable, and how long a failed endpoint is replaced.
const OUTAGE: Millis = 8_000.0;
/// Fraction of the endpoints that fail and are replaced in an ordinary second.
const ENDPOINT_FAILURE_RATE: f64 = 0.0005;
/// Groups of gateways that restart one after another, and the time between two.
pub(super) const RESTART_GROUPS: u32 = 10;
const RESTART_INTERVAL: Millis = 1_000.0;
/// Every so many endpoints are replaced while discovery is down ...
const REPLACED_ENDPOINT_STEP: usize = 20;
/// ... stopping and starting so long after the outage's begin.
const REPLACED_STOP: Millis = 1_000.0;
const REPLACED_START: Millis = 2_000.0;

/// What disturbs the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Endpoints fail one at a time and come back in slow start.
    EndpointFailures,
    /// All gateways are restarted, a tenth at a time.
    RollingRestart,
    /// A zone of endpoints is lost and comes back in slow start.
    ZoneOutage,
    /// Discovery is down while endpoints are replaced, and all gateways poll it once it is back.
    DiscoveryOutage,
}

impl Scenario {
    /// All scenarios, in the order in which they are run.
    pub const ALL: [Self; 4] =
        [Self::EndpointFailures, Self::RollingRestart, Self::ZoneOutage, Self::DiscoveryOutage];

    /// Its name in results.
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
