//! The metrics that a node exports.

use super::configuration::NodeConfig;
use super::node::Node;
use super::wait::CONDITION_TIMEOUT;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// The metrics exporter of a node.
pub struct Counters {
    address: SocketAddr,
}

impl Counters {
    /// Starts a node that exports metrics, and waits until it is ready.
    pub fn start_node(config: &NodeConfig) -> (Node, Self) {
        // The port is chosen here and freed again, so that the node can bind it.
        let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port");
        let address = listener.local_addr().expect("failed to get the local address");
        drop(listener);
        let node = Node::spawn_with(config, |command| {
            command.env("RELAY_METRICS", address.to_string());
        });
        node.wait_until_ready();
        (node, Self { address })
    }

    /// Returns the response to a scrape, headers included. The node closes the connection after it.
    pub fn text(&self) -> String {
        let mut stream = TcpStream::connect(self.address).expect("failed to connect to the metrics exporter");
        stream.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("failed to set the read timeout");
        stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n").expect("failed to write the request");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("failed to read the metrics");
        text
    }

    /// Returns how many lists the node has applied. The metric counts lists received from discovery, which
    /// the node applies in the same step. The list that it knows when it starts is not counted.
    pub fn applied_lists(&self) -> u64 {
        const SERIES: &str = "edge_gateway_discovery_calls_total{result=\"list_received\"} ";
        let text = self.text();
        // A series is not exported before its first event.
        let value = text.lines().find_map(|line| line.strip_prefix(SERIES)).unwrap_or("0");
        value.parse().expect("not a number")
    }
}
