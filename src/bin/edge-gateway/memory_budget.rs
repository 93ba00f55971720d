//! Divides the node's memory between endpoints, connections, records of customers and messages.

use crate::descriptor_budget::DescriptorBudget;
use crate::io::memory_pool::MemoryPool;
use crate::telemetry::metrics::MessageKind;

/// Memory of a node without endpoints, connections, customers and messages, in bytes: program, runtime,
/// timers and metrics.
const FIXED_MEMORY: usize = 12 << 20;
/// Memory of one client connection besides the bodies of its messages, in bytes: its task, hyper's buffers
/// and a head of usual size.
const MEMORY_PER_CLIENT_CONNECTION: usize = 24 << 10;
/// The same of one upstream connection, which may read long responses in long pieces.
const MEMORY_PER_UPSTREAM_CONNECTION: usize = 48 << 10;
/// Maximum memory in bytes that one endpoint uses, reached while a complete list replaces another.
pub const MEMORY_PER_ENDPOINT: usize = 900;
/// Maximum memory in bytes of the exact record of one customer.
const MEMORY_PER_CUSTOMER: usize = 600;
/// Divisor of the node's memory: the records of customers may use one part in this many.
const CUSTOMER_DIVISOR: usize = 32;
/// Minimum limit on the number of records of customers.
const MIN_TRACKED_CUSTOMERS: usize = 1024;
/// Number of eighths of the node's memory that client connections may use.
const CLIENT_EIGHTHS: usize = 3;
/// Divisor of the node's memory: upstream connections may use one part in this many.
const UPSTREAM_DIVISOR: usize = 4;
/// Divisor of the node's memory: messages get one part in this many at least, even if connections and
/// endpoints leave less.
const MIN_MESSAGE_DIVISOR: usize = 8;
/// Minimum memory for the messages of each direction, in bytes: room for several of the longest.
const MIN_MEMORY_PER_DIRECTION: usize = 1 << 20;

/// The memory limit of the node, and what it holds besides messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    max_bytes: usize,
    descriptors: DescriptorBudget,
}

impl MemoryBudget {
    /// Creates the budget of a node that may use `max_bytes`, and the connections that `descriptors` allows.
    pub fn new(max_bytes: usize, descriptors: DescriptorBudget) -> Self {
        let max_client = max_bytes / 8 * CLIENT_EIGHTHS / MEMORY_PER_CLIENT_CONNECTION;
        let max_upstream = max_bytes / UPSTREAM_DIVISOR / MEMORY_PER_UPSTREAM_CONNECTION;
        Self { max_bytes, descriptors: descriptors.limited_to(max_client.max(1), max_upstream.max(1)) }
    }

    /// The descriptors that the node may use. Where memory is short, there are fewer for connections than the
    /// limit on descriptors allows.
    pub fn descriptors(&self) -> DescriptorBudget {
        self.descriptors
    }

    /// Maximum number of customers of which the gateway may keep exact records.
    pub fn tracked_customers(&self) -> usize {
        (self.max_bytes / CUSTOMER_DIVISOR / MEMORY_PER_CUSTOMER).max(MIN_TRACKED_CUSTOMERS)
    }

    /// Memory in bytes for the messages of each of the two directions, with this many endpoints.
    pub fn messages_per_direction(&self, endpoints: usize) -> usize {
        let DescriptorBudget { client, upstream, .. } = self.descriptors;
        let others = [
            FIXED_MEMORY,
            self.tracked_customers().saturating_mul(MEMORY_PER_CUSTOMER),
            client.saturating_mul(MEMORY_PER_CLIENT_CONNECTION),
            upstream.saturating_mul(MEMORY_PER_UPSTREAM_CONNECTION),
            endpoints.saturating_mul(MEMORY_PER_ENDPOINT),
        ];
        let others = others.into_iter().fold(0, usize::saturating_add);
        let messages = self.max_bytes.saturating_sub(others).max(self.max_bytes / MIN_MESSAGE_DIVISOR);
        (messages / 2).max(MIN_MEMORY_PER_DIRECTION)
    }
}

/// The memory that messages may take, apart for each direction: responses free the memory of their requests,
/// so they must not wait for it.
#[derive(Clone)]
pub struct MessageMemory {
    budget: MemoryBudget,
    /// For requests of clients, and for what is read ahead behind them.
    pub requests: MemoryPool,
    /// For responses of endpoints.
    pub responses: MemoryPool,
}

impl MessageMemory {
    /// Creates the pools of a node without endpoints.
    pub fn new(budget: MemoryBudget) -> Self {
        let capacity = budget.messages_per_direction(0);
        Self {
            budget,
            requests: MemoryPool::new(MessageKind::Request, capacity),
            responses: MemoryPool::new(MessageKind::Response, capacity),
        }
    }

    /// Adapts the pools to the number of endpoints, whose memory is not free for messages.
    pub fn adapt_to_endpoints(&self, endpoints: usize) {
        let capacity = self.budget.messages_per_direction(endpoints);
        self.requests.resize(capacity);
        self.responses.resize(capacity);
    }
}

#[cfg(test)]
mod tests;
