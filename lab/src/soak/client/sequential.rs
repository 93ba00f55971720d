//! A client that sends one request at a time and keeps its connections.

use super::{ClientRequest, Clients, RESPONSE_MARGIN};
use crate::soak::http::{read_message, Message};
use crate::soak::node::Node;
use crate::soak::oracle::{Occurrence, Oracle, Rule};
use rand::rngs::StdRng;
use rand::Rng;
use std::collections::HashMap;
use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A client that disconnects early does so within this time, most of them much sooner.
const MAX_EARLY_DISCONNECT: Duration = Duration::from_millis(900);
/// Percentage of requests whose client disconnects early, and the one while many do.
const EARLY_DISCONNECTS_PERCENT: u32 = 6;
const MANY_EARLY_DISCONNECTS_PERCENT: u32 = 50;
/// Factor of the think time in a surge.
const SURGE_THINK_TIME_FACTOR: f64 = 0.3;
/// Longest pause within a request that is written slowly, in milliseconds.
const MAX_WRITE_PAUSE_MS: u64 = 120;

/// How an exchange on a connection ended.
enum Exchange {
    Answered(Message),
    /// The connection ended without a complete response.
    Closed,
    /// No response in time.
    Unanswered,
    /// The client has disconnected.
    Disconnected,
}

/// A connection and whether it has served an earlier request.
struct ClientConnection {
    stream: BufReader<TcpStream>,
    reused: bool,
}

/// A sequential client.
pub struct SequentialClient {
    clients: Arc<Clients>,
    /// Idle connections by node.
    idle: HashMap<usize, BufReader<TcpStream>>,
    rng: StdRng,
}

impl SequentialClient {
    /// One without connections.
    pub fn new(clients: Arc<Clients>, rng: StdRng) -> Self {
        Self { clients, idle: HashMap::new(), rng }
    }

    /// Sends requests until the run is over.
    pub async fn run(mut self, mean_think_time: Duration) {
        while !self.clients.stopped() {
            let surge = self.clients.behavior.surge.load(Ordering::Relaxed);
            let factor = if surge { SURGE_THINK_TIME_FACTOR } else { 1.0 };
            sleep(mean_think_time.mul_f64(factor * 2.0 * self.rng.random::<f64>())).await;
            let request = self.clients.draw_request(&mut self.rng);
            let node = self.clients.nodes[request.node].clone();
            if node.in_rotation() {
                self.send(&request, &node).await;
            }
        }
    }

    /// Sends a request, once more if its idle connection was closed meanwhile.
    async fn send(&mut self, request: &ClientRequest, node: &Node) {
        for is_retry in [false, true] {
            let incarnation = node.incarnation();
            let Ok(mut connection) = self.connection(node, is_retry).await else {
                return self.oracle().count(Occurrence::NotConnected);
            };
            let exchange = self.exchange(request, &mut connection.stream).await;
            let was_killed = node.was_killed(incarnation);
            match exchange {
                Exchange::Answered(response) => return self.answered(request, &response, connection),
                Exchange::Disconnected => return self.disconnected(request, connection),
                Exchange::Closed | Exchange::Unanswered if was_killed => {
                    return self.oracle().count(Occurrence::LostWithNode);
                }
                // A node may close an idle connection at the moment when a request is written to it.
                Exchange::Closed if connection.reused && !self.was_forwarded(request) => {
                    self.oracle().count(Occurrence::RetriedOnNewConnection);
                }
                Exchange::Closed => return self.closed(request, connection.reused, is_retry),
                Exchange::Unanswered => return self.unanswered(request),
            }
        }
    }

    /// The idle connection to a node, or a new one.
    async fn connection(&mut self, node: &Node, only_new: bool) -> io::Result<ClientConnection> {
        let idle = self.idle.remove(&node.rank).filter(|_| !only_new);
        match idle {
            Some(stream) => Ok(ClientConnection { stream, reused: true }),
            None => {
                let stream = BufReader::new(TcpStream::connect(node.address).await?);
                Ok(ClientConnection { stream, reused: false })
            }
        }
    }

    fn answered(&mut self, request: &ClientRequest, response: &Message, connection: ClientConnection) {
        self.oracle().response_received(&request.id, response);
        if !response.closes_connection() {
            self.idle.insert(request.node, connection.stream);
        }
    }

    /// The client closes its connection before the response.
    fn disconnected(&self, request: &ClientRequest, connection: ClientConnection) {
        drop(connection);
        self.oracle().client_disconnected(&request.id);
        self.oracle().count(Occurrence::ClientDisconnected);
    }

    /// The node closed the connection without a response, which is a violation.
    fn closed(&self, request: &ClientRequest, reused: bool, is_retry: bool) {
        let ClientRequest { id, node, .. } = request;
        let forwarded = self.was_forwarded(request);
        let detail =
            format!("{id} at node {node}: closed, reused {reused}, retry {is_retry}, forwarded {forwarded}");
        self.oracle().violation(Rule::FinalResponse, detail);
    }

    fn unanswered(&self, request: &ClientRequest) {
        let detail = format!("{} at node {}: no response", request.id, request.node);
        self.oracle().violation(Rule::FinalResponse, detail);
    }

    fn was_forwarded(&self, request: &ClientRequest) -> bool {
        self.oracle().was_forwarded(&request.id)
    }

    async fn exchange(&mut self, request: &ClientRequest, stream: &mut BufReader<TcpStream>) -> Exchange {
        let _ = stream.get_ref().set_nodelay(true);
        self.oracle().request_started(&request.id, request.class, request.node);
        if self.write(request, stream).await.is_err() {
            return Exchange::Closed;
        }
        self.oracle().request_written(&request.id);
        let early_disconnect = self.draw_early_disconnect();
        let wait = early_disconnect.unwrap_or(request.class.deadline + RESPONSE_MARGIN);
        match timeout(wait, read_message(stream)).await {
            Ok(Ok(Some(response))) => Exchange::Answered(response),
            Ok(Ok(None) | Err(_)) => Exchange::Closed,
            Err(_) if early_disconnect.is_some() => Exchange::Disconnected,
            Err(_) => Exchange::Unanswered,
        }
    }

    /// Writes a request, with a pause within it if clients write slowly.
    async fn write(&mut self, request: &ClientRequest, stream: &mut BufReader<TcpStream>) -> io::Result<()> {
        let bytes = request.text.as_bytes();
        if !self.clients.behavior.write_slowly.load(Ordering::Relaxed) {
            return stream.write_all(bytes).await;
        }
        let (first, second) = bytes.split_at(self.rng.random_range(1..bytes.len()));
        stream.write_all(first).await?;
        sleep(Duration::from_millis(self.rng.random_range(1..MAX_WRITE_PAUSE_MS))).await;
        stream.write_all(second).await
    }

    /// When the client disconnects, if it does so early.
    fn draw_early_disconnect(&mut self) -> Option<Duration> {
        let many = self.clients.behavior.disconnect_early.load(Ordering::Relaxed);
        let percent = if many { MANY_EARLY_DISCONNECTS_PERCENT } else { EARLY_DISCONNECTS_PERCENT };
        let disconnects = self.rng.random_ratio(percent, 100);
        disconnects.then(|| MAX_EARLY_DISCONNECT.mul_f64(self.rng.random::<f64>().powi(3)))
    }

    fn oracle(&self) -> &Oracle {
        &self.clients.oracle
    }
}
