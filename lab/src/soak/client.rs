//! Clients: sequential and pipelining ones, each request of which the oracle follows, and bad ones, which
//! must get an error or the end of their connection.

mod bad;
mod pipelining;
mod request;
mod sequential;

use super::node::Node;
use super::oracle::Oracle;
use super::settings::GATEWAY_SPREAD;
use rand::rngs::StdRng;
use rand::Rng;
use request::ClientRequest;
pub use sequential::SequentialClient;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Time beyond its deadline after which a client takes a request for unanswered.
const RESPONSE_MARGIN: Duration = Duration::from_secs(2);
/// Customers with a ceiling; they have the first numbers.
const CAPPED_CUSTOMERS: u64 = 3;
/// Other customers.
const OPEN_CUSTOMERS: u64 = 400;
/// One of so many requests is of a customer with a ceiling.
const REQUESTS_PER_CAPPED_REQUEST: u32 = 6;

/// What clients do at present.
#[derive(Default)]
pub struct Behavior {
    /// Many disconnect early.
    pub disconnect_early: AtomicBool,
    /// They send requests at several times the rate.
    pub surge: AtomicBool,
    /// They write slowly.
    pub write_slowly: AtomicBool,
    /// They end after their present request.
    pub stopped: AtomicBool,
}

/// What all clients of a run share.
pub struct Clients {
    /// The nodes.
    pub nodes: Vec<Arc<Node>>,
    /// What they do at present.
    pub behavior: Behavior,
    oracle: Arc<Oracle>,
    last_request: AtomicU64,
}

impl Clients {
    /// Clients of these nodes, before their first request.
    pub fn new(nodes: Vec<Arc<Node>>, oracle: Arc<Oracle>) -> Self {
        Self { nodes, behavior: Behavior::default(), oracle, last_request: AtomicU64::new(0) }
    }

    /// Whether the run is over.
    pub fn stopped(&self) -> bool {
        self.behavior.stopped.load(Ordering::Relaxed)
    }

    /// A request of any customer, for any of its nodes.
    fn draw_request(&self, rng: &mut StdRng) -> ClientRequest {
        let customer = if rng.random_ratio(1, REQUESTS_PER_CAPPED_REQUEST) {
            rng.random_range(0..CAPPED_CUSTOMERS)
        } else {
            CAPPED_CUSTOMERS + rng.random_range(0..OPEN_CUSTOMERS)
        };
        let nodes = self.nodes.len();
        let node = (customer as usize + rng.random_range(0..GATEWAY_SPREAD.min(nodes))) % nodes;
        self.draw_request_of(customer, node, rng)
    }

    /// A request of a customer for one of its nodes.
    fn draw_request_of(&self, customer: u64, node: usize, rng: &mut StdRng) -> ClientRequest {
        let number = self.last_request.fetch_add(1, Ordering::Relaxed);
        ClientRequest::draw(number, customer, node, self.nodes.len(), rng)
    }
}
