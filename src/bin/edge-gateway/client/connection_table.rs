//! The open client connections: their number and its limit, and which of them are told to close.
//!
//! Closing is a request to the task that serves the connection, which carries it out once no request is open.

use crate::client::connection::Connection;
use crate::telemetry::metrics::CloseReason;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// One in this many connections is kept free for the next clients.
const FREE_CAPACITY_DIVISOR: usize = 8;

/// All open client connections.
pub struct ConnectionTable {
    max_connections: usize,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    next_id: Cell<u64>,
    connection_closed: Notify,
}

impl ConnectionTable {
    /// A table with no connection yet, and never more than `max_connections`.
    pub fn new(max_connections: usize) -> Rc<Self> {
        Rc::new(Self {
            max_connections,
            connections: RefCell::default(),
            next_id: Cell::new(0),
            connection_closed: Notify::new(),
        })
    }

    /// Enters a new connection.
    pub fn register(self: &Rc<Self>) -> Registration {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let connection = Rc::new(Connection::new());
        self.connections.borrow_mut().insert(id, connection.clone());
        Registration { table: self.clone(), id, connection }
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.borrow().is_empty()
    }

    /// Whether no further connection may be accepted.
    pub fn is_full(&self) -> bool {
        self.connections.borrow().len() >= self.max_connections
    }

    /// Waits until a connection has closed; at once if one has since the last wait.
    pub fn connection_closed(&self) -> Notified<'_> {
        self.connection_closed.notified()
    }

    /// Evicts connections shortly before the limit is reached, in the order of their priority. Several at a
    /// time, since each takes some time to close and hundreds of clients may connect at one moment.
    pub fn evict_excess(&self) {
        let connections = self.connections.borrow();
        let target = self.max_connections - self.max_connections / FREE_CAPACITY_DIVISOR;
        if connections.len() <= target {
            return;
        }
        let evicted = connections.values().filter(|connection| connection.is_evicted()).count();
        let excess = (connections.len() - evicted).saturating_sub(target);
        let mut candidates: Vec<_> = connections
            .values()
            .filter_map(|connection| Some((connection.eviction_priority()?, connection)))
            .collect();
        candidates.sort_unstable_by_key(|(priority, _)| *priority);
        for (_, connection) in candidates.into_iter().take(excess) {
            connection.evict();
        }
    }

    /// Closes connections that have been idle, or without a complete request, for too long.
    pub fn close_timed_out(&self) {
        self.close_where(CloseReason::Timeout, Connection::is_timed_out);
    }

    /// Closes connections, for shutdown, on which no request has been open for `min_idle_time`.
    pub fn close_idle(&self, min_idle_time: Duration) {
        self.close_where(CloseReason::Shutdown, |connection| connection.is_idle_for(min_idle_time));
    }

    fn close_where(&self, reason: CloseReason, should_close: impl Fn(&Connection) -> bool) {
        let connections = self.connections.borrow();
        for connection in connections.values().filter(|connection| should_close(connection)) {
            connection.request_close(reason);
        }
    }

    /// The open connections, oldest first.
    #[cfg(test)]
    pub fn open_connections(&self) -> Vec<Rc<Connection>> {
        self.connections.borrow().values().cloned().collect()
    }
}

/// The entry of a connection in the table; removed when dropped.
pub struct Registration {
    table: Rc<ConnectionTable>,
    id: u64,
    connection: Rc<Connection>,
}

impl Registration {
    /// The registered connection.
    pub fn connection(&self) -> &Rc<Connection> {
        &self.connection
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.table.connections.borrow_mut().remove(&self.id);
        self.table.connection_closed.notify_one();
    }
}
