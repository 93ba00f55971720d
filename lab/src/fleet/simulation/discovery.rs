//! Simulated discovery: changes of the endpoint list, their propagation to gateways, and outages.

use super::Simulation;
use crate::deployment::endpoint_update;
use crate::fleet::event_queue::ScheduledEvent;
use crate::fleet::simulated_endpoint::SimulatedEndpoint;
use edge_gateway::{EndpointId, EndpointListKind, EndpointStatus, EndpointUpdate, Millis};
use std::sync::Arc;
use std::time::Duration;

/// Mean time from a change until a gateway receives it on its watch.
const MEAN_PROPAGATION_DELAY: Millis = 300.0;
/// Time without a heartbeat after which a gateway considers its watch lost.
const WATCH_TIMEOUT: Millis = 3_000.0;
/// Size of one list entry in a poll or watch.
const ENTRY_BYTES: f64 = 143.0;

/// A change of the endpoint list.
struct EndpointChange {
    changed_at: Millis,
    update: EndpointUpdate,
}

/// Discovery, as all gateways see it.
pub struct Discovery {
    available: bool,
    available_since: Millis,
    /// All changes so far. Their number is the version of the list.
    changes: Vec<EndpointChange>,
}

impl Discovery {
    /// Creates an available discovery without changes.
    pub fn new() -> Self {
        Self { available: true, available_since: 0.0, changes: Vec::new() }
    }

    /// The current version of the endpoint list.
    pub fn version(&self) -> usize {
        self.changes.len()
    }
}

impl Simulation {
    /// A snapshot of the endpoints that are running.
    pub(super) fn endpoint_snapshot(&self) -> Arc<[EndpointUpdate]> {
        let running = self.endpoints.iter().enumerate().filter(|(_, endpoint)| endpoint.running);
        let entry = |(id, endpoint): (usize, &SimulatedEndpoint)| {
            endpoint_update(id as EndpointId, self.sizes.zones, EndpointStatus::Ready, endpoint.started_at)
        };
        running.map(entry).collect()
    }

    /// Records a change of the list. Watches deliver it after random delays if discovery is available.
    pub(super) fn publish_change(&mut self, update: EndpointUpdate) {
        let changed_at = self.now();
        self.discovery.changes.push(EndpointChange { changed_at, update });
        if !self.discovery.available {
            return;
        }
        let version = self.discovery.version();
        for gateway in 0..self.sizes.gateways {
            let delay = self.draw_exponential(MEAN_PROPAGATION_DELAY);
            let incarnation = self.gateway(gateway).incarnation;
            self.schedule_after(delay, ScheduledEvent::ChangesReceived { gateway, incarnation, version });
        }
    }

    pub(super) fn receive_changes(&mut self, gateway: u32, incarnation: u32, version: usize) {
        if self.gateway(gateway).incarnation == incarnation {
            self.deliver_changes(gateway, version);
        }
    }

    /// Delivers to a gateway all changes up to `version` that it has not received.
    fn deliver_changes(&mut self, gateway: u32, version: usize) {
        let received = self.gateway(gateway).version;
        if received >= version {
            return;
        }
        self.gateway(gateway).version = version;
        let changes = &self.discovery.changes[received..version];
        let propagation_delay =
            |change: &EndpointChange| self.now() - change.changed_at.max(self.discovery.available_since);
        let max_delay = changes.iter().map(propagation_delay).fold(0.0, f64::max);
        let updates: Arc<[EndpointUpdate]> = changes.iter().map(|change| change.update.clone()).collect();
        self.statistics.max_propagation_delay = self.statistics.max_propagation_delay.max(max_delay);
        self.count_discovery_exchange(updates.len());
        self.deliver_list(gateway, EndpointListKind::Delta, updates);
    }

    /// Counts an exchange with discovery that contains `entries` list entries.
    pub(super) fn count_discovery_exchange(&mut self, entries: usize) {
        let now = self.now();
        self.statistics.count_discovery_exchange(now, ENTRY_BYTES * entries as f64);
    }

    /// Makes discovery unavailable and ends all watches. Gateways poll after the watch timeout and jitter.
    pub(super) fn stop_discovery(&mut self) {
        self.discovery.available = false;
        for gateway in 0..self.sizes.gateways {
            let state = self.gateway(gateway);
            let (incarnation, jitter) = (state.incarnation, millis(state.backoff.short_jitter()));
            let polled = ScheduledEvent::DiscoveryPolled { gateway, incarnation };
            self.schedule_after(WATCH_TIMEOUT + jitter, polled);
        }
    }

    pub(super) fn start_discovery(&mut self) {
        self.discovery.available = true;
        self.discovery.available_since = self.now();
    }

    /// Polls discovery for a gateway without a watch. If discovery is unavailable, schedules another poll.
    pub(super) fn poll_discovery(&mut self, gateway: u32, incarnation: u32) {
        let version = self.discovery.version();
        let available = self.discovery.available;
        let state = self.gateway(gateway);
        if state.incarnation != incarnation {
            return;
        }
        if !available {
            let delay = millis(state.backoff.delay_after_failure());
            self.count_discovery_exchange(0);
            return self.schedule_after(delay, ScheduledEvent::DiscoveryPolled { gateway, incarnation });
        }
        state.backoff.reset();
        if state.version == version {
            return self.count_discovery_exchange(0);
        }
        self.deliver_changes(gateway, version);
    }
}

fn millis(time: Duration) -> Millis {
    time.as_secs_f64() * 1_000.0
}
