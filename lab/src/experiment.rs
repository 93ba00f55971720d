//! Experiment files: sizes, rates and times of each command. What a file leaves out is as built in.

use serde::Deserialize;
use std::fmt;
use std::path::{Path, PathBuf};

/// Sizes of all commands.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Experiment {
    /// For `slope`.
    pub slope: SlopeSizes,
    /// For `fleet`.
    pub fleet: FleetSizes,
    /// For `nodes`.
    pub nodes: NodesSizes,
    /// For `soak`.
    pub soak: SoakSizes,
}

/// Sizes at which `slope` measures, one axis at a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SlopeSizes {
    /// Numbers of servers.
    pub servers: Vec<u32>,
    /// Numbers of tenants.
    pub tenants: Vec<u32>,
    /// Numbers of gateways.
    pub gateways: Vec<u32>,
    /// Requests a second at one gateway.
    pub rates: Vec<f64>,
    /// Requests in one measurement.
    pub requests: u32,
}

impl Default for SlopeSizes {
    fn default() -> Self {
        Self {
            servers: vec![200, 512, 1_024, 3_000, 10_000, 47_000],
            tenants: vec![100, 1_000, 10_000, 100_000, 440_000],
            gateways: vec![3, 30, 300, 1_000, 5_100],
            rates: vec![10.0, 67.0, 200.0, 1_000.0],
            requests: 20_000,
        }
    }
}

/// Sizes of the hollow fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetSizes {
    /// Edge nodes.
    pub gateways: u32,
    /// Booking servers; all gateways' records of all of them must fit in memory.
    pub servers: u32,
    /// Zones over which both are spread.
    pub zones: u32,
    /// Requests a second at a server, in the mean.
    pub rate_per_server: f64,
    /// Time that a request needs at an idle server, in milliseconds.
    pub work_ms: f64,
    /// Requests that a server works on at once.
    pub cores: u32,
    /// Length of a run, in seconds of the made clock.
    pub seconds: f64,
    /// Edge nodes and servers of the run on balance, in which gateways do not meet and memory is for one.
    pub balance_gateways: u32,
    /// Servers of that run.
    pub balance_servers: u32,
    /// Requests a second of a gateway in that run, in the mean.
    pub balance_rate: f64,
}

impl Default for FleetSizes {
    fn default() -> Self {
        Self {
            gateways: 5_100,
            servers: 1_200,
            zones: 16,
            rate_per_server: 7.2,
            work_ms: 30.0,
            cores: 2,
            seconds: 40.0,
            balance_gateways: 5_100,
            balance_servers: 47_000,
            balance_rate: 66.7,
        }
    }
}

/// Sizes of the fleet of real processes.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodesSizes {
    /// Processes that run side by side.
    pub processes: u32,
    /// Servers on their list; they share a few real ones.
    pub servers: u32,
    /// Servers on the list of the short one, for comparison.
    pub few_servers: u32,
    /// Requests of the measurement of time added.
    pub requests: u32,
    /// Time between two of them, in milliseconds.
    pub spacing_ms: u64,
    /// Length of the stretches at rest and under changes, in seconds.
    pub seconds: u64,
    /// Changes of the list a second.
    pub changes_per_second: f64,
    /// The program; by default the release build beside this one.
    pub program: PathBuf,
}

impl Default for NodesSizes {
    fn default() -> Self {
        Self {
            processes: 100,
            servers: 47_000,
            few_servers: 28,
            requests: 1_200,
            spacing_ms: 15,
            seconds: 20,
            changes_per_second: 1.0,
            program: PathBuf::from("target/release/edge-gateway"),
        }
    }
}

/// Sizes of the soak under faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SoakSizes {
    /// Processes that run side by side.
    pub nodes: usize,
    /// Booking servers.
    pub servers: usize,
    /// Usual clients, each of which asks one thing at a time.
    pub clients: u32,
    /// Mean pause of such a client between two requests, in milliseconds.
    pub pause_ms: u64,
    /// Clients that send several requests in one piece.
    pub batching_clients: u32,
    /// Bad clients.
    pub bad_clients: u32,
    /// Troubles that are on at once.
    pub at_once: usize,
    /// Length of a run, in seconds.
    pub seconds: u64,
    /// Runs, with consecutive seeds.
    pub runs: u64,
    /// The program; by default the release build beside this one.
    pub program: PathBuf,
}

impl Default for SoakSizes {
    fn default() -> Self {
        Self {
            nodes: 12,
            servers: 12,
            clients: 120,
            pause_ms: 250,
            batching_clients: 6,
            bad_clients: 6,
            at_once: 4,
            seconds: 20,
            runs: 1,
            program: PathBuf::from("target/release/edge-gateway"),
        }
    }
}

/// Why an experiment file cannot be used.
#[derive(Debug)]
pub enum ExperimentError {
    /// It cannot be read.
    Unreadable(PathBuf, std::io::Error),
    /// It is not what it should be.
    Malformed(PathBuf, String),
    /// A size that cannot be played.
    Size(&'static str),
}

impl fmt::Display for ExperimentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path, error) => write!(f, "cannot read {}: {error}", path.display()),
            Self::Malformed(path, what) => write!(f, "{}: {what}", path.display()),
            Self::Size(what) => write!(f, "{what}"),
        }
    }
}

impl std::error::Error for ExperimentError {}

impl Experiment {
    /// Reads a file, or takes the built-in sizes; `short` makes all of them small.
    pub fn load(path: Option<&Path>, short: bool) -> Result<Self, ExperimentError> {
        let mut experiment = match path {
            Some(path) => Self::read(path)?,
            None => Self::default(),
        };
        if short {
            experiment.shorten();
        }
        experiment.check()?;
        Ok(experiment)
    }

    fn read(path: &Path) -> Result<Self, ExperimentError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ExperimentError::Unreadable(path.to_owned(), error))?;
        toml::from_str(&text)
            .map_err(|error| ExperimentError::Malformed(path.to_owned(), error.message().replace('\n', " ")))
    }

    fn shorten(&mut self) {
        let slope = &mut self.slope;
        slope.servers.retain(|n| *n <= 3_000);
        slope.tenants.retain(|n| *n <= 10_000);
        slope.requests = slope.requests.min(2_000);
        let fleet = &mut self.fleet;
        (fleet.gateways, fleet.servers, fleet.zones) =
            (fleet.gateways.min(40), fleet.servers.min(1_100), fleet.zones.min(4));
        fleet.seconds = fleet.seconds.min(20.0);
        (fleet.balance_gateways, fleet.balance_servers) =
            (fleet.balance_gateways.min(200), fleet.balance_servers.min(2_000));
        let nodes = &mut self.nodes;
        (nodes.processes, nodes.servers) = (nodes.processes.min(3), nodes.servers.min(5_000));
        (nodes.requests, nodes.seconds) = (nodes.requests.min(200), nodes.seconds.min(2));
        let soak = &mut self.soak;
        (soak.nodes, soak.clients) = (soak.nodes.min(10), soak.clients.min(60));
        (soak.seconds, soak.runs) = (soak.seconds.min(8), soak.runs.min(1));
    }

    fn check(&self) -> Result<(), ExperimentError> {
        let (slope, fleet, nodes) = (&self.slope, &self.fleet, &self.nodes);
        let none = [slope.servers.is_empty(), slope.tenants.is_empty(), slope.gateways.is_empty()];
        if none.contains(&true) || slope.rates.is_empty() || slope.requests == 0 {
            return Err(ExperimentError::Size("slope: each axis needs a size, and a measurement requests"));
        }
        let counts = [fleet.gateways, fleet.servers, fleet.zones, fleet.cores, fleet.balance_gateways];
        if counts.contains(&0) || fleet.balance_servers == 0 {
            return Err(ExperimentError::Size("fleet: a size is 0"));
        }
        let figures = [fleet.rate_per_server, fleet.work_ms, fleet.seconds, fleet.balance_rate];
        if figures.iter().any(|figure| !figure.is_finite() || *figure <= 0.0) {
            return Err(ExperimentError::Size("fleet: a rate or a time is not above 0"));
        }
        if [nodes.processes, nodes.servers, nodes.few_servers, nodes.requests].contains(&0) {
            return Err(ExperimentError::Size("nodes: a size is 0"));
        }
        let soak = &self.soak;
        if soak.nodes > 250 {
            return Err(ExperimentError::Size("soak: more than 250 nodes"));
        }
        if soak.nodes == 0 || soak.servers == 0 || soak.runs == 0 || soak.at_once == 0 {
            return Err(ExperimentError::Size("soak: a size is 0"));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_built_in_sizes_can_be_played_short_and_whole() {
        assert!(Experiment::load(None, false).is_ok() && Experiment::load(None, true).is_ok());
    }

    #[test]
    fn what_cannot_be_played_is_named_in_one_line() {
        let read = |text: &str| {
            let experiment: Result<Experiment, _> = toml::from_str(text);
            experiment.map_err(|error| error.to_string()).and_then(|e| e.check().map_err(|e| e.to_string()))
        };
        assert!(read("[fleet]\ngateways = 3\n").is_ok());
        for text in
            ["[fleet]\ngateways = 0\n", "[slope]\nservers = []\n", "[fleet]\nseconds = -1.0\n", "[other]\n"]
        {
            assert!(read(text).is_err(), "{text}");
        }
        let missing = Experiment::load(Some(Path::new("no/such/file.toml")), false);
        assert!(missing.is_err_and(|error| !error.to_string().contains('\n')));
    }
}
