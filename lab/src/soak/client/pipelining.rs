//! Pipelining clients, which write several requests at once on a new connection.

use super::{ClientRequest, Clients, RESPONSE_MARGIN};
use crate::soak::http::read_message;
use crate::soak::node::Node;
use crate::soak::oracle::{Occurrence, Rule};
use rand::rngs::StdRng;
use rand::Rng;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Range of the pause between two pipelines, in milliseconds.
const PAUSE_MS: Range<u64> = 100..700;
/// Range of the number of requests that follow the first one of a pipeline.
const FURTHER_REQUESTS: Range<u32> = 1..5;

/// The responses to a pipeline.
struct Responses {
    /// Number of complete responses.
    count: usize,
    /// The last response and how the connection ended, for the detail of a violation.
    last_event: String,
}

impl Clients {
    /// Runs one client that pipelines requests until the run is over.
    pub async fn run_pipelining_client(self: Arc<Self>, mut rng: StdRng) {
        while !self.stopped() {
            sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
            let requests = self.draw_pipeline(&mut rng);
            let node = self.nodes[requests[0].node].clone();
            if node.in_rotation() {
                self.send_pipeline(&requests, &node).await;
            }
        }
    }

    /// Draws the requests of a pipeline, all of one customer and for one node.
    fn draw_pipeline(&self, rng: &mut StdRng) -> Vec<ClientRequest> {
        let mut requests = vec![self.draw_request(rng)];
        let (customer, node) = (requests[0].customer, requests[0].node);
        for _ in 0..rng.random_range(FURTHER_REQUESTS) {
            requests.push(self.draw_request_of(customer, node, rng));
        }
        requests
    }

    async fn send_pipeline(&self, requests: &[ClientRequest], node: &Node) {
        let incarnation = node.incarnation();
        let Ok(stream) = TcpStream::connect(node.address).await else {
            return self.oracle.count(Occurrence::NotConnected);
        };
        let responses = self.exchange_pipeline(requests, BufReader::new(stream)).await;
        self.oracle.count(Occurrence::Pipelined);
        let complete = responses.count == requests.len();
        // A node must answer every request that it has read, and reads all requests of a pipeline or none.
        let read_by_node =
            responses.count > 0 || requests.iter().any(|request| self.oracle.was_forwarded(&request.id));
        if !complete && read_by_node && !node.was_killed(incarnation) {
            let Responses { count, last_event } = responses;
            let (total, first) = (requests.len(), &requests[0].id);
            let detail = format!(
                "{count} of {total} responses to the pipeline from {first} at node {}: {last_event}",
                node.rank
            );
            self.oracle.report_violation(Rule::FinalResponse, detail);
        }
    }

    async fn exchange_pipeline(
        &self,
        requests: &[ClientRequest],
        mut stream: BufReader<TcpStream>,
    ) -> Responses {
        for request in requests {
            self.oracle.request_started(&request.id, request.class, request.node);
        }
        let text: String = requests.iter().map(|request| request.text.as_str()).collect();
        let written = stream.write_all(text.as_bytes()).await;
        requests.iter().for_each(|request| self.oracle.request_written(&request.id));
        let mut responses = Responses { count: 0, last_event: format!("written {written:?}") };
        if written.is_err() {
            return responses;
        }
        for request in requests {
            let response_timeout = request.class.deadline + RESPONSE_MARGIN;
            match timeout(response_timeout, read_message(&mut stream)).await {
                Ok(Ok(Some(response))) => {
                    self.oracle.response_received(&request.id, &response);
                    responses.count += 1;
                    responses.last_event =
                        format!("{} {:?}", response.status(), response.header("connection"));
                }
                Ok(closed) => {
                    let closed = closed.map(|_| "closed");
                    responses.last_event = format!("{closed:?} after {}", responses.last_event);
                    break;
                }
                Err(_) => {
                    responses.last_event = format!("timeout after {}", responses.last_event);
                    break;
                }
            }
        }
        responses
    }
}
