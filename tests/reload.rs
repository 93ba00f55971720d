//! Reload of the configuration file at SIGHUP while the node serves requests.

mod support;

use fault_injection::{errno, Faults, InjectionPoint};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use support::*;

/// Starts an agent that serves a list with one endpoint.
fn agent_with(revision: u64, uid: &str, endpoint: &StubEndpoint) -> StubDiscovery {
    StubDiscovery::start(snapshot(revision, &[endpoint.entry(uid)]))
}

/// Two endpoints and two agents, each of which lists one of the endpoints.
struct TwoAgents {
    endpoints: [StubEndpoint; 2],
    first: StubDiscovery,
    second: StubDiscovery,
}

impl TwoAgents {
    /// Starts agents whose lists have different revisions and whose endpoints respond with `old` and `new`.
    fn start() -> Self {
        Self::with_revisions(50, 3)
    }

    /// Starts agents whose lists have these revisions and whose endpoints respond with `old` and `new`.
    fn with_revisions(first: u64, second: u64) -> Self {
        Self::with_first_endpoint(StubEndpoint::start(|_| Reply::ok("old")), first, second)
    }

    fn with_first_endpoint(endpoint: StubEndpoint, first_revision: u64, second_revision: u64) -> Self {
        let endpoints = [endpoint, StubEndpoint::start(|_| Reply::ok("new"))];
        let first = agent_with(first_revision, "a", &endpoints[0]);
        let second = agent_with(second_revision, "b", &endpoints[1]);
        Self { endpoints, first, second }
    }

    /// Starts a node that watches the first agent.
    fn start_node(&self) -> Node {
        Node::start(&NodeConfig::with_list_of(&self.first))
    }

    /// Returns the configuration that moves a node to the second agent.
    fn second_config(&self) -> NodeConfig {
        NodeConfig::new(self.second.address)
    }
}

/// Waits until the node forwards to the endpoint that responds with `new`.
fn wait_until_new_endpoint_is_used(node: &Node) {
    wait_until("the new endpoint is used", || node.send(&request("read", "r")).body == b"new");
}

#[test]
fn reload_changes_discovery_only() {
    let slow = StubEndpoint::start(|_| Reply::Delayed(Duration::from_millis(300)));
    let agents = TwoAgents::with_first_endpoint(slow, 50, 3);
    let TwoAgents { endpoints, second, .. } = &agents;
    let node = agents.start_node();
    let mut client = node.connect();
    client.write(request("order", "r1").as_bytes());
    wait_until("the attempt is in flight", || endpoints[0].request_count() == 1);
    node.reload(&agents.second_config());
    assert_eq!(client.read_response().map(|response| response.status()), Some(200));
    wait_until("the new endpoint is used", || client.send(&request("read", "r")).body == b"new");
    wait_until("the new agent is watched", || second.watch_calls() == 1);
    let draining = endpoints[1].entry_with_state("b", "DRAINING");
    second.push(&delta(4, &[draining, endpoints[0].entry("c")]));
    wait_until("the delta of the new agent is applied", || {
        client.send(&request("read", "r")).body == b"late"
    });
}

#[test]
fn invalid_file_keeps_current_configuration() {
    let agents = TwoAgents::with_revisions(1, 1);
    let mut node = agents.start_node();
    let config = agents.second_config();
    let text = config.to_json();
    node.reload_text(&text[..text.len() / 2]);
    for number in 0..20 {
        assert_eq!(node.send(&request("read", &format!("r{number}"))).body, b"old");
    }
    assert!(node.is_running());
    // The node still handles later signals: two reloads in a row, and a reload right after SIGTERM.
    node.reload(&config);
    node.reload(&config);
    wait_until_new_endpoint_is_used(&node);
    node.terminate();
    node.reload(&config);
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn ignores_old_agent_after_reload() {
    let agents = TwoAgents::start();
    let TwoAgents { endpoints, first, second } = &agents;
    let node = agents.start_node();
    wait_until("the old agent is watched", || first.watch_calls() == 1);
    node.reload(&agents.second_config());
    wait_until_new_endpoint_is_used(&node);
    // An event of the old agent that was still in transit.
    first.push(&snapshot(51, &[endpoints[0].entry("a")]));
    wait_until("the new agent is watched", || second.watch_calls() == 1);
    for number in 0..20 {
        assert_eq!(node.send(&request("read", &format!("r{number}"))).body, b"new");
    }
    assert_eq!(first.watch_calls(), 1);
}

#[test]
fn uses_old_list_while_new_agent_is_silent() {
    let agents = TwoAgents::start();
    let second = &agents.second;
    second.set_silent(true);
    let mut node = agents.start_node();
    node.reload(&agents.second_config());
    wait_until("the new agent is called more than once", || second.unanswered_calls().total > 1);
    assert_eq!(node.send(&request("read", "r")).body, b"old");
    second.set_silent(false);
    wait_until_new_endpoint_is_used(&node);
    // The agent is silent again while the node shuts down.
    second.set_silent(true);
    second.close_watches();
    let unanswered = second.unanswered_calls().total;
    wait_until("the agent is called once more", || second.unanswered_calls().total > unanswered);
    node.terminate();
    node.terminate();
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn repeated_reloads_do_not_abandon_slow_agent() {
    let agents = TwoAgents::start();
    agents.second.set_delay(Duration::from_millis(220));
    let node = agents.start_node();
    let config = agents.second_config();
    let started = Instant::now();
    let mut signals = 0;
    // Every reload names the same agent, and comes before the call of the previous reload is answered.
    wait_until("the new endpoint is used", || {
        let is_new = node.send(&request("read", "r")).body == b"new";
        if !is_new && started.elapsed() >= signals * Duration::from_millis(150) {
            node.reload(&config);
            signals += 1;
        }
        is_new
    });
    assert!(signals > 2);
}

#[test]
fn survives_sighup_while_reading_configuration() {
    let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
    let agent = agent_with(1, "a", &endpoint);
    let faults = Faults::new().expect("failed to create the fault control file");
    // The node does not get past reading its configuration while the file cannot be opened.
    faults.set_failure_rate(InjectionPoint::Open, 1000, errno::ENFILE).expect("failed to set the fault");
    let path = temporary_file(&NodeConfig::with_list_of(&agent).to_json());
    let mut command = Command::new(env!("CARGO_BIN_EXE_edge-gateway"));
    command.env("RELAY_CONFIG", &path).stderr(Stdio::null());
    faults.apply(&mut command);
    let mut child = command.spawn().expect("failed to start the node");
    wait_until("the node tries to read its configuration", || {
        faults.injected_count(InjectionPoint::Open).expect("failed to read the fault count") > 1
    });
    let id = child.id().to_string();
    assert!(Command::new("kill").args(["-HUP", &id]).status().expect("failed to run kill").success());
    faults.clear_failures().expect("failed to clear the fault");
    wait_until("discovery is watched", || {
        assert!(
            child.try_wait().expect("failed to query the exit status").is_none(),
            "SIGHUP must not end the node"
        );
        agent.watch_calls() > 0
    });
    child.kill().expect("failed to kill the node");
    child.wait().expect("failed to query the exit status");
    let _ = std::fs::remove_file(path);
}
