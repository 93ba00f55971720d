//! Invalid configurations, with which the node does not start.

use crate::support::*;
use std::net::TcpListener;
use std::process::{Command, Output, Stdio};

/// Runs a node with this configuration until it exits.
fn run_with(configuration: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_edge-gateway"));
    command.env_remove("RELAY_CONFIG").stderr(Stdio::piped());
    let path = configuration.map(temporary_file);
    if let Some(path) = &path {
        command.env("RELAY_CONFIG", path);
    }
    let output = command.output().expect("failed to run the node");
    if let Some(path) = path {
        let _ = std::fs::remove_file(path);
    }
    output
}

#[test]
fn invalid_configuration_exits_with_one_line() {
    let valid = NodeConfig::new(unused_address()).to_json();
    let occupied = TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port");
    let occupied =
        format!("\"listen\":\"{}\"", occupied.local_addr().expect("failed to get the local address"));
    let invalid = [
        None,
        Some("{".to_owned()),
        Some(valid.replace("8c1f30d27a5be964", "seed")),
        Some(valid.replace("\"rank\": 0", "\"rank\": 3")),
        Some(valid.replace("\"effect\": \"safe\"", "\"effect\": \"odd\"")),
        Some(valid.replace("\"refill\": 1000", "\"refill\": -1")),
        Some(valid.replace("\"sockets\":1024", "\"sockets\":8")),
        Some(valid.replace("\"listen\":\"127.0.0.1:0\"", &occupied)),
    ];
    for configuration in invalid {
        let output = run_with(configuration.as_deref());
        let error = String::from_utf8(output.stderr).expect("output is not UTF-8");
        assert!(!output.status.success(), "{configuration:?}");
        assert!(
            error.starts_with("edge-gateway: ") && error.trim_end().lines().count() == 1,
            "{configuration:?}: {error}"
        );
    }
}
