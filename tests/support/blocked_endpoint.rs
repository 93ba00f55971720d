//! An endpoint that accepts no connection until a test releases it.

use super::client::Client;
use super::configuration::{NodeConfig, SETTINGS};
use super::http::{request_with, HEALTH_CHECK};
use super::node::Node;
use super::sockets::is_connecting_to;
use super::stub_discovery::{list_entry, StubDiscovery};
use super::wait::{wait_until, CONDITION_TIMEOUT};
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

/// How long a connection attempt waits before the listener's accept queue is taken to be full.
const QUEUE_FULL_TIMEOUT: Duration = Duration::from_millis(300);

/// An endpoint whose accept queue is full, so that further connections stay in the state `SYN_SENT`.
pub struct BlockedEndpoint {
    pub address: SocketAddr,
    listener: TcpListener,
    queued_connections: Vec<TcpStream>,
}

impl BlockedEndpoint {
    /// Starts to listen, and fills the accept queue.
    pub fn new() -> Self {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("failed to create a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("failed to bind a loopback port");
        socket.listen(0).expect("failed to listen");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("failed to get the local address");
        let mut queued_connections = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, QUEUE_FULL_TIMEOUT) {
            queued_connections.push(stream);
        }
        Self { address, listener, queued_connections }
    }

    /// Returns the endpoint's entry in an endpoint list, in the node's own zone.
    pub fn entry_with_state(&self, uid: &str, state: &str) -> String {
        list_entry(uid, self.address, "north", state)
    }

    /// Starts to accept connections. The result is the number of bytes that the first read from the node's
    /// connection returns: 0 if the node closed it without writing.
    pub fn release(self) -> JoinHandle<usize> {
        std::thread::spawn(move || {
            let queued_addresses: Vec<_> = self
                .queued_connections
                .iter()
                .map(|stream| stream.local_addr().expect("failed to get the local address"))
                .collect();
            for stream in self.listener.incoming() {
                let mut stream = stream.expect("failed to accept a connection");
                if !queued_addresses.contains(&stream.peer_addr().expect("failed to get the peer address")) {
                    stream.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("failed to set the read timeout");
                    return stream.read(&mut [0; 64]).unwrap_or(0);
                }
            }
            0
        })
    }
}

/// A node that is still connecting to its only endpoint, for the only request in flight.
pub struct PendingConnection {
    /// The only endpoint, with the uid `a`.
    pub endpoint: BlockedEndpoint,
    pub discovery: StubDiscovery,
    pub node: Node,
    /// The client that sent the request.
    pub client: Client,
}

impl PendingConnection {
    /// Starts a node and sends it a request of class `order`. All timeouts that apply to the request are
    /// longer than any test waits. `cancel_setting` replaces `"cancel": true` in the settings.
    pub fn start(cancel_setting: &str) -> Self {
        let endpoint = BlockedEndpoint::new();
        let discovery = StubDiscovery::with_endpoints(&[endpoint.entry_with_state("a", "SERVING")]);
        let settings = SETTINGS
            .replace("\"connectTimeoutMs\": 1000", "\"connectTimeoutMs\": 60000")
            .replace("\"cancel\": true", cancel_setting)
            .replace("\"aimMs\": 8000", "\"aimMs\": 40000");
        let node = Node::start(&NodeConfig::with_list_of(&discovery).settings(&settings));
        discovery.wait_for_watch();
        let mut client = node.connect();
        client.write(HEALTH_CHECK);
        assert_eq!(client.read_response().map(|response| response.status()), Some(200));
        client.write(request_with("order", "r1", "large", "40000m").as_bytes());
        wait_until("the node connects to the endpoint", || is_connecting_to(endpoint.address));
        Self { endpoint, discovery, node, client }
    }
}
