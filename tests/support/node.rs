//! A node as a process of its own.

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

/// A running node; it is killed when this is dropped.
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

    /// Starts a node whose system calls fail as `faults` says, and waits until it is ready.
    pub fn start_with_faults(config: &NodeConfig, faults: &Faults) -> Self {
        let node = Self::spawn_with(config, |command| faults.apply(command));
        node.wait_until_ready();
        node
    }

    /// Starts a node and waits until it listens.
    pub fn spawn(config: &NodeConfig) -> Self {
        Self::spawn_with(config, |_| ())
    }

    /// Starts a node by a command that `prepare` completes, and waits until it listens.
    pub fn spawn_with(config: &NodeConfig, prepare: impl FnOnce(&mut Command)) -> Self {
        let (node, mut log) = Self::spawn_with_unread_log(config, prepare);
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        node
    }

    /// As [`Node::spawn_with`], but leaves its standard error to the caller, who need not read it.
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

    /// Waits until it reports that it is ready.
    pub fn wait_until_ready(&self) {
        wait_until("the node is ready", || self.health() == Some(200));
    }

    /// The status of its health check: 200 if it is ready, 503 if it is not.
    pub fn health(&self) -> Option<u16> {
        let mut client = self.connect();
        client.write(HEALTH_CHECK);
        client.read_response().map(|response| response.status())
    }

    /// Opens a connection of a client.
    pub fn connect(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("failed to connect to the node");
        stream.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("failed to set the read timeout");
        Client { stream: BufReader::new(stream) }
    }

    /// Opens connections of clients that send nothing.
    pub fn connect_many(&self, count: usize) -> Vec<Client> {
        (0..count).map(|_| self.connect()).collect()
    }

    /// Sends a request on a connection of its own and waits for the response.
    pub fn send(&self, request: &str) -> HttpMessage {
        self.connect().send(request)
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces its configuration file and sends SIGHUP.
    pub fn reload(&self, config: &NodeConfig) {
        self.reload_text(&config.to_json());
    }

    /// Replaces the text of its configuration file and sends SIGHUP.
    pub fn reload_text(&self, config: &str) {
        std::fs::write(&self.config_path, config).expect("failed to write the configuration file");
        self.signal("-HUP");
    }

    /// Does something while the node is stopped.
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

    /// Waits until it exits and returns the exit code.
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

    /// Memory in use, in KiB.
    pub fn memory_kib(&self) -> u64 {
        self.memory_field("VmRSS:")
    }

    /// The most memory that was in use, in KiB.
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

    /// Number of its open file descriptors.
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
