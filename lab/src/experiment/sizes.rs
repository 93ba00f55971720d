//! The sizes of each command, with their defaults, their caps for a short run and their valid ranges.

use super::{reject_if, ExperimentError};
use serde::Deserialize;
use std::path::PathBuf;

/// Maximum number of nodes in the soak. The last byte of a node's loopback address is its rank plus 1.
const MAX_SOAK_NODES: usize = 250;

/// Sizes at which `slope` measures. One of them varies at a time.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct SlopeSizes {
    /// Numbers of endpoints.
    #[serde(alias = "servers")]
    pub endpoints: Vec<u32>,
    /// Numbers of customers.
    #[serde(rename = "tenants")]
    pub customers: Vec<u32>,
    /// Numbers of gateways.
    pub gateways: Vec<u32>,
    /// Request rates of one gateway, in requests per second.
    pub rates: Vec<f64>,
    /// Requests in one measurement.
    pub requests: u32,
}

impl Default for SlopeSizes {
    fn default() -> Self {
        Self {
            endpoints: vec![200, 512, 1_024, 3_000, 10_000, 47_000],
            customers: vec![100, 1_000, 10_000, 100_000, 440_000],
            gateways: vec![3, 30, 300, 1_000, 5_100],
            rates: vec![10.0, 67.0, 200.0, 1_000.0],
            requests: 20_000,
        }
    }
}

impl SlopeSizes {
    /// Caps the sizes, for a run of some seconds.
    pub(super) fn shorten(&mut self) {
        self.endpoints.retain(|count| *count <= 3_000);
        self.customers.retain(|count| *count <= 10_000);
        self.requests = self.requests.min(2_000);
    }

    /// Returns an error if a size is out of range.
    pub(super) fn validate(&self) -> Result<(), ExperimentError> {
        let empty_axis = self.endpoints.is_empty()
            || self.customers.is_empty()
            || self.gateways.is_empty()
            || self.rates.is_empty();
        reject_if(
            empty_axis || self.requests == 0,
            "slope: endpoints, tenants, gateways and rates must not be empty, and requests must not be 0",
        )
    }
}

/// Sizes of the simulated fleet.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct FleetSizes {
    /// Edge nodes.
    pub gateways: u32,
    /// Endpoints. Every gateway keeps state for each of them, all of which must fit in memory.
    #[serde(alias = "servers")]
    pub endpoints: u32,
    /// Zones over which the gateways and endpoints are spread.
    pub zones: u32,
    /// Mean request rate of an endpoint, in requests per second.
    #[serde(alias = "rate_per_server")]
    pub rate_per_endpoint: f64,
    /// Mean service time of a request at an endpoint with its full capacity, in milliseconds.
    #[serde(alias = "work_ms")]
    pub service_time_ms: f64,
    /// Requests that an endpoint processes concurrently.
    pub cores: u32,
    /// Duration of a run, in seconds of simulated time.
    pub seconds: f64,
    /// Edge nodes in the measurement of subset balance, which keeps one gateway per thread in memory.
    pub balance_gateways: u32,
    /// Endpoints in the measurement of subset balance.
    #[serde(alias = "balance_servers")]
    pub balance_endpoints: u32,
    /// Mean request rate of a gateway in the measurement of subset balance, in requests per second.
    pub balance_rate: f64,
}

impl Default for FleetSizes {
    fn default() -> Self {
        Self {
            gateways: 5_100,
            endpoints: 1_200,
            zones: 16,
            rate_per_endpoint: 7.2,
            service_time_ms: 30.0,
            cores: 2,
            seconds: 40.0,
            balance_gateways: 5_100,
            balance_endpoints: 47_000,
            balance_rate: 66.7,
        }
    }
}

impl FleetSizes {
    /// Caps the sizes, for a run of some seconds.
    pub(super) fn shorten(&mut self) {
        self.gateways = self.gateways.min(40);
        self.endpoints = self.endpoints.min(1_100);
        self.zones = self.zones.min(4);
        self.seconds = self.seconds.min(20.0);
        self.balance_gateways = self.balance_gateways.min(200);
        self.balance_endpoints = self.balance_endpoints.min(2_000);
    }

    /// Returns an error if a size is out of range.
    pub(super) fn validate(&self) -> Result<(), ExperimentError> {
        let counts = [self.gateways, self.endpoints, self.zones, self.cores];
        let balance_counts = [self.balance_gateways, self.balance_endpoints];
        reject_if(
            counts.contains(&0) || balance_counts.contains(&0),
            "fleet: gateways, endpoints, zones, cores, balance_gateways and balance_endpoints must not be 0",
        )?;
        let positive_sizes = [self.rate_per_endpoint, self.service_time_ms, self.seconds, self.balance_rate];
        let invalid = positive_sizes.iter().any(|size| !size.is_finite() || *size <= 0.0);
        let [endpoint_rate, service_time, seconds, balance_rate] = positive_sizes;
        reject_if(
            invalid,
            format!(
                "fleet: rate_per_endpoint {endpoint_rate}, service_time_ms {service_time}, seconds {seconds} \
                 and balance_rate {balance_rate} must be finite and above 0"
            ),
        )
    }
}

/// Sizes of the fleet of node processes.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct NodesSizes {
    /// Node processes that run concurrently. Fewer are started if these use too much memory.
    pub processes: u32,
    /// Endpoints on the long list. They share the addresses of a few stand-ins.
    #[serde(alias = "servers")]
    pub endpoints: u32,
    /// Endpoints on the short list, for comparison.
    #[serde(alias = "few_servers")]
    pub few_endpoints: u32,
    /// Requests in the measurement of added latency.
    pub requests: u32,
    /// Time between two requests of that measurement, in milliseconds.
    #[serde(alias = "spacing_ms")]
    pub interval_ms: u64,
    /// Duration of the measurements of idle processes and of processes that receive changes, in seconds.
    pub seconds: u64,
    /// Changes of the endpoint list per second.
    pub changes_per_second: f64,
    /// Path of the node program. The default is the release build.
    pub program: PathBuf,
}

impl Default for NodesSizes {
    fn default() -> Self {
        Self {
            processes: 100,
            endpoints: 47_000,
            few_endpoints: 28,
            requests: 1_200,
            interval_ms: 15,
            seconds: 20,
            changes_per_second: 1.0,
            program: PathBuf::from("target/release/edge-gateway"),
        }
    }
}

impl NodesSizes {
    /// Caps the sizes, for a run of some seconds.
    pub(super) fn shorten(&mut self) {
        self.processes = self.processes.min(3);
        self.endpoints = self.endpoints.min(5_000);
        self.requests = self.requests.min(200);
        self.seconds = self.seconds.min(2);
    }

    /// Returns an error if a size is out of range.
    pub(super) fn validate(&self) -> Result<(), ExperimentError> {
        let counts = [self.processes, self.endpoints, self.few_endpoints, self.requests];
        reject_if(
            counts.contains(&0),
            "nodes: processes, endpoints, few_endpoints and requests must not be 0",
        )
    }
}

/// Sizes of the measurement of memory. All combinations are measured.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct MemorySizes {
    /// Memory limits of the node, in MB.
    pub memory_limits_mb: Vec<u32>,
    /// Numbers of clients with a long message.
    pub clients: Vec<usize>,
    /// Lengths of the bodies, in bytes.
    pub body_lengths: Vec<usize>,
    /// Lengths of the pieces in which the bodies are written, in bytes.
    pub piece_lengths: Vec<usize>,
    /// Maximum number of pieces of a request; the rest is written at once, since the node waits 2.3 s for it.
    pub max_pieces: usize,
    /// Time for which all messages are incomplete, in milliseconds.
    pub pause_ms: u64,
    /// Path of the node program. The default is the release build.
    pub program: PathBuf,
}

impl Default for MemorySizes {
    fn default() -> Self {
        Self {
            memory_limits_mb: vec![32, 64, 192],
            clients: vec![1, 100, 341],
            body_lengths: vec![1 << 10, 64 << 10],
            piece_lengths: vec![1, 16, 200, 4_000],
            max_pieces: 200,
            pause_ms: 100,
            program: PathBuf::from("target/release/edge-gateway"),
        }
    }
}

impl MemorySizes {
    /// Leaves out most combinations, for a run of some seconds.
    pub(super) fn shorten(&mut self) {
        self.memory_limits_mb.truncate(1);
        self.clients.drain(..self.clients.len().saturating_sub(1));
        self.body_lengths.drain(..self.body_lengths.len().saturating_sub(1));
        self.max_pieces = self.max_pieces.min(100);
    }

    /// Returns an error if a size is out of range.
    pub(super) fn validate(&self) -> Result<(), ExperimentError> {
        let lengths = [&self.clients, &self.body_lengths, &self.piece_lengths];
        let is_invalid = |sizes: &Vec<usize>| sizes.is_empty() || sizes.contains(&0);
        reject_if(
            lengths.into_iter().any(is_invalid)
                || self.memory_limits_mb.is_empty()
                || self.memory_limits_mb.contains(&0),
            "memory: limits, clients, body_lengths and piece_lengths must not be empty or contain 0",
        )
    }
}

/// Sizes of the soak under faults.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct SoakSizes {
    /// Node processes that run concurrently, at most 250.
    pub nodes: usize,
    /// Endpoints on the list when the run starts. Faults may replace some of them.
    #[serde(alias = "servers")]
    pub endpoints: usize,
    /// Sequential clients, each with at most one request in flight.
    pub clients: u32,
    /// Mean time between a response and the next request of a sequential client, in milliseconds.
    #[serde(alias = "pause_ms")]
    pub think_time_ms: u64,
    /// Clients that write several pipelined requests at once.
    #[serde(alias = "batching_clients")]
    pub pipelining_clients: u32,
    /// Clients that send malformed or incomplete requests.
    pub bad_clients: u32,
    /// Number of faults that are in force at the same time.
    #[serde(alias = "at_once")]
    pub concurrent_faults: usize,
    /// Duration of a run, in seconds.
    pub seconds: u64,
    /// Number of runs, which have consecutive seeds.
    pub runs: u64,
    /// Path of the node program. The default is the release build.
    pub program: PathBuf,
}

impl Default for SoakSizes {
    fn default() -> Self {
        Self {
            nodes: 12,
            endpoints: 12,
            clients: 120,
            think_time_ms: 250,
            pipelining_clients: 6,
            bad_clients: 6,
            concurrent_faults: 4,
            seconds: 20,
            runs: 1,
            program: PathBuf::from("target/release/edge-gateway"),
        }
    }
}

impl SoakSizes {
    /// Caps the sizes, for a run of some seconds.
    pub(super) fn shorten(&mut self) {
        self.nodes = self.nodes.min(10);
        self.clients = self.clients.min(60);
        self.seconds = self.seconds.min(8);
        self.runs = self.runs.min(1);
    }

    /// Returns an error if a size is out of range.
    pub(super) fn validate(&self) -> Result<(), ExperimentError> {
        reject_if(
            self.nodes > MAX_SOAK_NODES,
            format!("soak: {} nodes, but at most {MAX_SOAK_NODES} are possible", self.nodes),
        )?;
        let has_zero =
            self.nodes == 0 || self.endpoints == 0 || self.runs == 0 || self.concurrent_faults == 0;
        reject_if(has_zero, "soak: nodes, endpoints, runs and concurrent_faults must not be 0")
    }
}
