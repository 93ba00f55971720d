//! What a run of the simulation counts, and its values in the report.

use crate::deployment::IDLE_TIMEOUT;
use crate::report::Report;
use edge_gateway::{EndpointId, Millis};
use std::collections::HashMap;

/// Bytes of an exchange with discovery beside the entries of the list.
const EXCHANGE_OVERHEAD_BYTES: f64 = 300.0;

/// A connection of a gateway to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionKey {
    /// The gateway.
    pub gateway: u32,
    /// The endpoint.
    pub endpoint: EndpointId,
}

/// Load of discovery within one second.
#[derive(Clone, Copy, Debug, Default)]
struct DiscoveryLoad {
    exchanges: u64,
    bytes: f64,
}

/// Counts of one run.
#[derive(Default)]
pub struct Statistics {
    /// Requests of all clients.
    pub requests: u64,
    /// Requests that were answered by an endpoint.
    pub served: u64,
    /// Requests that a gateway rejected.
    pub rejected: u64,
    /// Requests that failed after they had been admitted.
    pub failed: u64,
    /// Longest time until a change of the list had reached the last gateway.
    pub max_propagation_delay: Millis,
    /// Last use of each connection.
    pub connections: HashMap<ConnectionKey, Millis>,
    /// Attempts received by each endpoint.
    pub attempts_by_endpoint: Vec<u64>,
    /// Attempts beyond what endpoints in slow start can take.
    pub slow_start_excess_attempts: u64,
    /// When the run ended.
    pub ended_at: Millis,
    discovery_load: HashMap<u64, DiscoveryLoad>,
}

impl Statistics {
    /// Counts an exchange with discovery in which entries of the list of so many bytes were sent.
    pub fn count_discovery_exchange(&mut self, now: Millis, entry_bytes: f64) {
        let second = self.discovery_load.entry((now / 1_000.0) as u64).or_default();
        second.exchanges += 1;
        second.bytes += EXCHANGE_OVERHEAD_BYTES + entry_bytes;
    }

    /// Adds the values of this run to the report, under the scenario's name.
    pub fn report(&self, scenario: &str, report: &mut Report) {
        let requests = self.requests.max(1) as f64;
        let peak = self.peak_discovery_load();
        let mut value = |name: &str, value: f64| report.value(format!("{scenario}: {name}"), value);
        value("requests asked, count", requests);
        value("served, part", self.served as f64 / requests);
        value("refused, part", self.rejected as f64 / requests);
        value("failed, part", self.failed as f64 / requests);
        value("until a change is in force at the last gateway, ms", self.max_propagation_delay);
        value("busiest server over the mean, ratio", self.peak_to_mean_attempts());
        value("connections at a server, greatest", f64::from(self.max_connections_per_endpoint()));
        value("calls to and messages from discovery in its worst second, count", peak.exchanges as f64);
        value("bytes at discovery in its worst second, bytes", peak.bytes);
        value("sends over a cold server's budget, count", self.slow_start_excess_attempts as f64);
    }

    fn peak_to_mean_attempts(&self) -> f64 {
        let attempts = &self.attempts_by_endpoint;
        let mean = attempts.iter().sum::<u64>() as f64 / attempts.len() as f64;
        let peak = attempts.iter().copied().max().unwrap_or(0) as f64;
        peak / mean
    }

    /// Connections that have not been closed for idleness, at the endpoint that has most of them.
    fn max_connections_per_endpoint(&self) -> u32 {
        let mut by_endpoint: HashMap<EndpointId, u32> = HashMap::new();
        for (connection, last_use) in &self.connections {
            if *last_use > self.ended_at - IDLE_TIMEOUT {
                *by_endpoint.entry(connection.endpoint).or_default() += 1;
            }
        }
        by_endpoint.into_values().max().unwrap_or(0)
    }

    /// The most exchanges and the most bytes of a second; not always the same second.
    fn peak_discovery_load(&self) -> DiscoveryLoad {
        let seconds = self.discovery_load.values();
        seconds.fold(DiscoveryLoad::default(), |peak, second| DiscoveryLoad {
            exchanges: peak.exchanges.max(second.exchanges),
            bytes: peak.bytes.max(second.bytes),
        })
    }
}
