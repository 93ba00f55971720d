//! Statistics of a simulation run, and their values in the report.

use crate::deployment::IDLE_TIMEOUT;
use crate::report::Report;
use edge_gateway::{EndpointId, Millis};
use std::collections::HashMap;

/// Bytes of an exchange with discovery other than list entries.
const EXCHANGE_OVERHEAD_BYTES: f64 = 300.0;

/// A connection of a gateway to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionKey {
    /// Rank of the gateway.
    pub gateway: u32,
    /// Endpoint that the connection leads to.
    pub endpoint: EndpointId,
}

/// Load of discovery in one second.
#[derive(Clone, Copy, Debug, Default)]
struct DiscoveryLoad {
    exchanges: u64,
    bytes: f64,
}

/// Statistics of one run.
#[derive(Default)]
pub struct Statistics {
    /// Requests sent by all clients.
    pub requests: u64,
    /// Requests with a successful response of an endpoint.
    pub served: u64,
    /// Requests that a gateway rejected.
    pub rejected: u64,
    /// Requests that failed after admission, and requests that were lost in a restart of their gateway.
    pub failed: u64,
    /// Longest time until a gateway received a change of the endpoint list. Measured from the change, or from
    /// the end of an outage of discovery if that is later.
    pub max_propagation_delay: Millis,
    /// Time of the last use of each connection.
    pub connections: HashMap<ConnectionKey, Millis>,
    /// Attempts received by each endpoint.
    pub attempts_by_endpoint: Vec<u64>,
    /// Attempts that exceeded the limits of endpoints in slow start.
    pub slow_start_excess_attempts: u64,
    /// Simulated time at which the run ended.
    pub ended_at: Millis,
    /// Load of discovery by second of simulated time.
    discovery_load: HashMap<u64, DiscoveryLoad>,
}

impl Statistics {
    /// Counts an exchange with discovery. `entry_bytes` is the size of the list entries in it.
    pub fn count_discovery_exchange(&mut self, now: Millis, entry_bytes: f64) {
        let second = self.discovery_load.entry((now / 1_000.0) as u64).or_default();
        second.exchanges += 1;
        second.bytes += EXCHANGE_OVERHEAD_BYTES + entry_bytes;
    }

    /// Adds the statistics to the report. The name of the scenario prefixes the name of each value.
    pub fn report(&self, scenario: &str, report: &mut Report) {
        let requests = self.requests.max(1) as f64;
        let peak = self.peak_discovery_load();
        let mut value = |name: &str, value: f64| report.add_value(format!("{scenario}: {name}"), value);
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

    /// Connections at the endpoint with most of them, without those that have exceeded the idle timeout.
    fn max_connections_per_endpoint(&self) -> u32 {
        let mut by_endpoint: HashMap<EndpointId, u32> = HashMap::new();
        for (connection, last_use) in &self.connections {
            if *last_use > self.ended_at - IDLE_TIMEOUT {
                *by_endpoint.entry(connection.endpoint).or_default() += 1;
            }
        }
        by_endpoint.into_values().max().unwrap_or(0)
    }

    /// Most exchanges in a second and most bytes in a second, which may be different seconds.
    fn peak_discovery_load(&self) -> DiscoveryLoad {
        let seconds = self.discovery_load.values();
        seconds.fold(DiscoveryLoad::default(), |peak, second| DiscoveryLoad {
            exchanges: peak.exchanges.max(second.exchanges),
            bytes: peak.bytes.max(second.bytes),
        })
    }
}
