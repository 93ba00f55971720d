//! The clients of a run. Sequential and pipelining clients send valid requests, each of which the oracle
//! tracks. Bad clients send invalid ones and must get an error or have their connection closed.

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

/// Time after its deadline at which a client considers a request unanswered.
const RESPONSE_MARGIN: Duration = Duration::from_secs(2);
/// Number of customers with a ceiling. They have the lowest customer numbers.
const CAPPED_CUSTOMERS: u64 = 3;
/// Number of customers without a ceiling.
const UNCAPPED_CUSTOMERS: u64 = 400;
/// One in this many requests is of a customer with a ceiling.
const REQUESTS_PER_CAPPED_REQUEST: u32 = 6;

/// Current behavior of all clients, set by faults and at the end of the run.
#[derive(Default)]
pub struct Behavior {
    /// Sequential clients disconnect early from many of their requests instead of a few.
    pub disconnect_early: AtomicBool,
    /// Sequential clients send requests at several times the usual rate.
    pub surge: AtomicBool,
    /// Sequential clients pause within a request.
    pub write_slowly: AtomicBool,
    /// Clients end after their current request.
    pub stopped: AtomicBool,
}

/// State shared by all clients of a run.
pub struct Clients {
    /// The nodes, by rank.
    pub nodes: Vec<Arc<Node>>,
    /// How the clients behave at present.
    pub behavior: Behavior,
    oracle: Arc<Oracle>,
    next_request_number: AtomicU64,
}

impl Clients {
    /// Creates the state for clients of these nodes, before their first request.
    pub fn new(nodes: Vec<Arc<Node>>, oracle: Arc<Oracle>) -> Self {
        Self { nodes, behavior: Behavior::default(), oracle, next_request_number: AtomicU64::new(0) }
    }

    /// Whether the run is over.
    pub fn stopped(&self) -> bool {
        self.behavior.stopped.load(Ordering::Relaxed)
    }

    /// Draws a request of a random customer, for a random one of the customer's nodes.
    fn draw_request(&self, rng: &mut StdRng) -> ClientRequest {
        let customer = if rng.random_ratio(1, REQUESTS_PER_CAPPED_REQUEST) {
            rng.random_range(0..CAPPED_CUSTOMERS)
        } else {
            CAPPED_CUSTOMERS + rng.random_range(0..UNCAPPED_CUSTOMERS)
        };
        let nodes = self.nodes.len();
        let node = (customer as usize + rng.random_range(0..GATEWAY_SPREAD.min(nodes))) % nodes;
        self.draw_request_of(customer, node, rng)
    }

    /// Draws a request of this customer for this node.
    fn draw_request_of(&self, customer: u64, node: usize, rng: &mut StdRng) -> ClientRequest {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        ClientRequest::draw(number, customer, node, self.nodes.len(), rng)
    }
}
