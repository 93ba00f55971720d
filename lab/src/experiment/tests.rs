//! Defaults and validation of experiment files, and their keys of earlier versions.

use super::*;

#[test]
fn default_sizes_are_valid_in_both_lengths() {
    assert!(Experiment::load(None, false).is_ok() && Experiment::load(None, true).is_ok());
}

#[test]
fn invalid_sizes_are_rejected_in_one_line() {
    let read = |text: &str| {
        let experiment: Result<Experiment, _> = toml::from_str(text);
        experiment.map_err(|error| error.to_string()).and_then(|e| e.validate().map_err(|e| e.to_string()))
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

/// A file that sets every key, by its earlier name where it has one.
const EARLIER_KEYS: &str = r#"
[slope]
servers = [2, 3]
tenants = [4]
gateways = [5]
rates = [6.0]
requests = 7
[fleet]
gateways = 8
servers = 9
zones = 10
rate_per_server = 11.0
work_ms = 12.0
cores = 13
seconds = 14.0
balance_gateways = 15
balance_servers = 16
balance_rate = 17.0
[nodes]
processes = 18
servers = 19
few_servers = 20
requests = 21
spacing_ms = 22
seconds = 23
changes_per_second = 24.0
program = "nodes-program"
[soak]
nodes = 25
servers = 26
clients = 27
pause_ms = 28
batching_clients = 29
bad_clients = 30
at_once = 31
seconds = 32
runs = 33
program = "soak-program"
"#;

#[test]
fn files_with_all_keys_of_earlier_versions_are_read_as_the_same_sizes() {
    let read: Experiment = toml::from_str(EARLIER_KEYS).expect("earlier keys are accepted");
    let slope = SlopeSizes {
        endpoints: vec![2, 3],
        customers: vec![4],
        gateways: vec![5],
        rates: vec![6.0],
        requests: 7,
    };
    let fleet = FleetSizes {
        gateways: 8,
        endpoints: 9,
        zones: 10,
        rate_per_endpoint: 11.0,
        service_time_ms: 12.0,
        cores: 13,
        seconds: 14.0,
        balance_gateways: 15,
        balance_endpoints: 16,
        balance_rate: 17.0,
    };
    let nodes = NodesSizes {
        processes: 18,
        endpoints: 19,
        few_endpoints: 20,
        requests: 21,
        interval_ms: 22,
        seconds: 23,
        changes_per_second: 24.0,
        program: "nodes-program".into(),
    };
    let soak = SoakSizes {
        nodes: 25,
        endpoints: 26,
        clients: 27,
        think_time_ms: 28,
        pipelining_clients: 29,
        bad_clients: 30,
        concurrent_faults: 31,
        seconds: 32,
        runs: 33,
        program: "soak-program".into(),
    };
    assert_eq!(read, Experiment { slope, fleet, nodes, memory: MemorySizes::default(), soak });
}
