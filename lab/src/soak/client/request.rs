//! Valid requests of clients.

use super::CAPPED_CUSTOMERS;
use crate::soak::settings::{Idempotency, RequestClass, CLASSES, GATEWAY_SPREAD};
use rand::rngs::StdRng;
use rand::Rng;

/// Body of all requests with method POST.
const BODY: &str = "a body";

/// A request of a client, with its encoded text.
pub struct ClientRequest {
    /// Unique id, sent in the `Req-Id` header.
    pub id: String,
    /// Class, which the `Req-Kind` header names.
    pub class: RequestClass,
    /// Number of the customer, below [`CAPPED_CUSTOMERS`] if it has a ceiling.
    pub customer: u64,
    /// Rank of the node that it is sent to.
    pub node: usize,
    /// The complete request as it is sent.
    pub text: String,
}

impl ClientRequest {
    /// Draws a request of a random class. `number` makes its id and key unique; `nodes` is the fleet's size.
    pub fn draw(number: u64, customer: u64, node: usize, nodes: usize, rng: &mut StdRng) -> Self {
        let id = format!("r{number:08x}");
        let class = CLASSES[rng.random_range(0..CLASSES.len())];
        let plan = if customer < CAPPED_CUSTOMERS { "capped" } else { "open" };
        let (spread, first) = (GATEWAY_SPREAD.min(nodes), customer as usize % nodes);
        let (method, body) = match class.idempotency {
            Idempotency::Idempotent => ("GET", ""),
            Idempotency::WithKey { .. } | Idempotency::NotIdempotent => ("POST", BODY),
        };
        let key = match class.idempotency {
            Idempotency::WithKey { .. } => format!("Idempotency-Key: k{number:08x}\r\n"),
            Idempotency::Idempotent | Idempotency::NotIdempotent => String::new(),
        };
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let text = format!(
            "{method} /api HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {}\r\n\
             Api-Plan: {plan}\r\nCookie: customer={customer:016x}\r\nReq-Deadline: {}m\r\n{key}{length}\
             Api-Terms: units=1,spread={spread},first={first}\r\n\r\n{body}",
            class.name,
            class.deadline.as_millis(),
        );
        Self { id, class, customer, node, text }
    }
}
