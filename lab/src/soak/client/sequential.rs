//! Sequential clients, which send one request at a time and reuse their connections.

use super::{ClientRequest, Clients, RESPONSE_MARGIN};
use crate::soak::http::{read_message, Message};
use crate::soak::node::Node;
use crate::soak::oracle::{Occurrence, Oracle, Rule};
use rand::rngs::StdRng;
use rand::Rng;
use std::collections::HashMap;
use std::io;
use std::ops::Range;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Longest wait of a client that disconnects early. Most of them wait much less.
const MAX_EARLY_DISCONNECT: Duration = Duration::from_millis(900);
/// Percentage of requests whose client disconnects early.
const EARLY_DISCONNECTS_PERCENT: u32 = 6;
/// Percentage of requests whose client disconnects early while a fault makes many do so.
const MANY_EARLY_DISCONNECTS_PERCENT: u32 = 50;
/// Factor by which the think time is multiplied in a surge.
const SURGE_THINK_TIME_FACTOR: f64 = 0.3;
/// Range of the pause within a request that is written slowly, in milliseconds.
const WRITE_PAUSE_MS: Range<u64> = 1..120;

/// Result of an exchange on a connection.
enum ExchangeOutcome {
    Answered(Message),
    /// The connection was closed without a complete response.
    Closed,
    /// No response came in time.
    Unanswered,
    /// The client disconnected early.
    Disconnected,
}

/// A connection, and whether it was used for an earlier request.
struct ClientConnection {
    stream: BufReader<TcpStream>,
    reused: bool,
}

/// A client that has at most one request in flight.
pub struct SequentialClient {
    clients: Arc<Clients>,
    /// Idle connections by rank of the node.
    idle: HashMap<usize, BufReader<TcpStream>>,
    rng: StdRng,
}

impl SequentialClient {
    /// Creates a client without connections.
    pub fn new(clients: Arc<Clients>, rng: StdRng) -> Self {
        Self { clients, idle: HashMap::new(), rng }
    }

    /// Sends requests until the run is over, with a random think time of this mean before each.
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

    /// Sends a request. It is retried once on a new connection if a reused one was closed before the node
    /// forwarded the request.
    async fn send(&mut self, request: &ClientRequest, node: &Node) {
        for is_retry in [false, true] {
            let incarnation = node.incarnation();
            let Ok(mut connection) = self.take_connection(node, is_retry).await else {
                return self.oracle().count(Occurrence::NotConnected);
            };
            let outcome = self.exchange(request, &mut connection.stream).await;
            let was_killed = node.was_killed(incarnation);
            match outcome {
                ExchangeOutcome::Answered(response) => {
                    return self.record_response(request, &response, connection)
                }
                ExchangeOutcome::Disconnected => return self.disconnect(request, connection),
                ExchangeOutcome::Closed | ExchangeOutcome::Unanswered if was_killed => {
                    return self.oracle().count(Occurrence::LostWithNode);
                }
                // A node may close an idle connection while a request is being written to it.
                ExchangeOutcome::Closed if connection.reused && !self.was_forwarded(request) => {
                    self.oracle().count(Occurrence::RetriedOnNewConnection);
                }
                ExchangeOutcome::Closed => return self.report_closed(request, connection.reused, is_retry),
                ExchangeOutcome::Unanswered => return self.report_unanswered(request),
            }
        }
    }

    /// Takes the idle connection to a node, or opens a new one if there is none or `force_new` is set.
    async fn take_connection(&mut self, node: &Node, force_new: bool) -> io::Result<ClientConnection> {
        let idle = self.idle.remove(&node.rank).filter(|_| !force_new);
        match idle {
            Some(stream) => Ok(ClientConnection { stream, reused: true }),
            None => {
                let stream = BufReader::new(TcpStream::connect(node.address).await?);
                Ok(ClientConnection { stream, reused: false })
            }
        }
    }

    fn record_response(&mut self, request: &ClientRequest, response: &Message, connection: ClientConnection) {
        self.oracle().response_received(&request.id, response);
        if !response.closes_connection() {
            self.idle.insert(request.node, connection.stream);
        }
    }

    /// Closes the connection before the response has come, and reports that to the oracle.
    fn disconnect(&self, request: &ClientRequest, connection: ClientConnection) {
        drop(connection);
        self.oracle().client_disconnected(&request.id);
        self.oracle().count(Occurrence::ClientDisconnected);
    }

    /// Reports that the node closed the connection without a response, which is a violation.
    fn report_closed(&self, request: &ClientRequest, reused: bool, is_retry: bool) {
        let ClientRequest { id, node, .. } = request;
        let forwarded = self.was_forwarded(request);
        let detail =
            format!("{id} at node {node}: closed, reused {reused}, retry {is_retry}, forwarded {forwarded}");
        self.oracle().report_violation(Rule::FinalResponse, detail);
    }

    fn report_unanswered(&self, request: &ClientRequest) {
        let detail = format!("{} at node {}: no response", request.id, request.node);
        self.oracle().report_violation(Rule::FinalResponse, detail);
    }

    fn was_forwarded(&self, request: &ClientRequest) -> bool {
        self.oracle().was_forwarded(&request.id)
    }

    async fn exchange(
        &mut self,
        request: &ClientRequest,
        stream: &mut BufReader<TcpStream>,
    ) -> ExchangeOutcome {
        let _ = stream.get_ref().set_nodelay(true);
        self.oracle().request_started(&request.id, request.class, request.node);
        if self.write(request, stream).await.is_err() {
            return ExchangeOutcome::Closed;
        }
        self.oracle().request_written(&request.id);
        let early_disconnect = self.draw_early_disconnect();
        let response_timeout = early_disconnect.unwrap_or(request.class.deadline + RESPONSE_MARGIN);
        match timeout(response_timeout, read_message(stream)).await {
            Ok(Ok(Some(response))) => ExchangeOutcome::Answered(response),
            Ok(Ok(None) | Err(_)) => ExchangeOutcome::Closed,
            Err(_) if early_disconnect.is_some() => ExchangeOutcome::Disconnected,
            Err(_) => ExchangeOutcome::Unanswered,
        }
    }

    /// Writes a request, with a pause at a random position if clients write slowly at present.
    async fn write(&mut self, request: &ClientRequest, stream: &mut BufReader<TcpStream>) -> io::Result<()> {
        let bytes = request.text.as_bytes();
        if !self.clients.behavior.write_slowly.load(Ordering::Relaxed) {
            return stream.write_all(bytes).await;
        }
        let (first, second) = bytes.split_at(self.rng.random_range(1..bytes.len()));
        stream.write_all(first).await?;
        sleep(Duration::from_millis(self.rng.random_range(WRITE_PAUSE_MS))).await;
        stream.write_all(second).await
    }

    /// Draws the time after which the client disconnects early; `None` if it waits for the response.
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
