//! A node that runs as a child process.

use super::client::Client;
use super::configuration::{temporary_file, NodeConfig};
use super::http::{HttpMessage, HEALTH_CHECK};
use super::stub_discovery::StubDiscovery;
use super::wait::{wait_until, CONDITION_TIMEOUT};
use fault_injection::Faults;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};

/// A running node. Dropping it kills the process and removes its configuration file.
pub struct Node {
    pub address: SocketAddr,
    config_path: PathBuf,
    child: Child,
}

impl Node {
    /// Starts a node that knows these endpoints, and waits until it is ready.
    pub fn with_endpoints(entries: &[String]) -> Self {
        Self::start(&NodeConfig::with_list_of(&StubDiscovery::with_endpoints(entries)))
    }

    /// Starts a node and waits until it is ready.
    pub fn start(config: &NodeConfig) -> Self {
        let node = Self::spawn(config);
        node.wait_until_ready();
        node
    }

    /// Starts a node with fault injection into its system calls, and waits until it is ready.
    pub fn start_with_faults(config: &NodeConfig, faults: &Faults) -> Self {
        let node = Self::spawn_with(config, |command| faults.apply(command));
        node.wait_until_ready();
        node
    }

    /// Starts a node and waits until it listens.
    pub fn spawn(config: &NodeConfig) -> Self {
        Self::spawn_with(config, |_| ())
    }

    /// Starts a node and waits until it listens. `prepare` completes the command before it is run.
    pub fn spawn_with(config: &NodeConfig, prepare: impl FnOnce(&mut Command)) -> Self {
        let (node, mut log) = Self::spawn_with_unread_log(config, prepare);
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        node
    }

    /// Like [`Node::spawn_with`], but returns the node's standard error instead of draining it.
    pub fn spawn_with_unread_log(
        config: &NodeConfig,
        prepare: impl FnOnce(&mut Command),
    ) -> (Self, BufReader<ChildStderr>) {
        let config_path = temporary_file(&config.to_json());
        let mut command = Command::new(env!("CARGO_BIN_EXE_edge-gateway"));
        command.env("RELAY_CONFIG", &config_path).stderr(Stdio::piped());
        prepare(&mut command);
        let mut child = command.spawn().expect("failed to start the node");
        let mut log = BufReader::new(child.stderr.take().expect("standard error is not piped"));
        let mut line = String::new();
        log.read_line(&mut line).expect("failed to read the first log line");
        let address = line.trim().rsplit(' ').next().and_then(|address| address.parse().ok());
        let address = address.unwrap_or_else(|| panic!("no address in '{line}'"));
        (Self { address, config_path, child }, log)
    }

    /// Waits until the health check reports that the node is ready.
    pub fn wait_until_ready(&self) {
        wait_until("the node is ready", || self.health() == Some(200));
    }

    /// Returns the status of a health check: 200 if the node is ready, 503 if it is not.
    pub fn health(&self) -> Option<u16> {
        let mut client = self.connect();
        client.write(HEALTH_CHECK);
        client.read_response().map(|response| response.status())
    }

    /// Connects a client.
    pub fn connect(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("failed to connect to the node");
        stream.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("failed to set the read timeout");
        Client { stream: BufReader::new(stream) }
    }

    /// Connects several clients.
    pub fn connect_many(&self, count: usize) -> Vec<Client> {
        (0..count).map(|_| self.connect()).collect()
    }

    /// Sends a request on a new connection and waits for the response.
    pub fn send(&self, request: &str) -> HttpMessage {
        self.connect().send(request)
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &NodeConfig) {
        self.reload_text(&config.to_json());
    }

    /// Replaces the configuration file with this text, which may be invalid, and sends SIGHUP.
    pub fn reload_text(&self, config: &str) {
        std::fs::write(&self.config_path, config).expect("failed to write the configuration file");
        self.signal("-HUP");
    }

    /// Runs `action` while the node is stopped by SIGSTOP.
    pub fn while_stopped(&self, action: impl FnOnce()) {
        let is_stopped = || {
            let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
            status
                .expect("failed to read /proc of the node")
                .lines()
                .any(|line| line.starts_with("State:\tT"))
        };
        self.signal("-STOP");
        wait_until("the node is stopped", is_stopped);
        action();
        self.signal("-CONT");
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("failed to run kill").success());
    }

    /// Waits until the node exits. Returns `None` if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        let mut status = None;
        wait_until("the node exits", || {
            status = self.child.try_wait().expect("failed to query the exit status");
            status.is_some()
        });
        status.and_then(|status| status.code())
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("failed to query the exit status").is_none()
    }

    /// Returns the resident memory in KiB.
    pub fn memory_kib(&self) -> u64 {
        self.memory_field("VmRSS:")
    }

    /// Returns the peak resident memory in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        self.memory_field("VmHWM:")
    }

    fn memory_field(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("failed to read /proc of the node");
        let field =
            status.lines().find_map(|line| line.strip_prefix(name)).expect("field missing in /proc status");
        field.trim().trim_end_matches(" kB").parse().expect("not a number")
    }

    /// Returns the number of open file descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("failed to read /proc of the node")
            .count()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}
