//! The table of open client connections. It enforces their limit and selects those to close.
//!
//! A close is requested from the task that serves the connection, which closes it once no request is open.

use crate::client::connection::Connection;
use crate::telemetry::metrics::CloseReason;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// Divisor of the connection limit: one in this many connections is kept free for new clients.
const FREE_CAPACITY_DIVISOR: usize = 8;

/// All open client connections, by a number in the order in which they were accepted.
pub struct ConnectionTable {
    max_connections: usize,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    next_id: Cell<u64>,
    connection_closed: Notify,
}

impl ConnectionTable {
    /// Creates an empty table for at most `max_connections` connections.
    pub fn new(max_connections: usize) -> Rc<Self> {
        Rc::new(Self {
            max_connections,
            connections: RefCell::default(),
            next_id: Cell::new(0),
            connection_closed: Notify::new(),
        })
    }

    /// Adds a new connection, which is removed when the returned registration is dropped. `client_address`
    /// identifies it in the log.
    pub fn register(self: &Rc<Self>, client_address: Option<SocketAddr>) -> Registration {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let connection = Rc::new(Connection::new(client_address));
        self.connections.borrow_mut().insert(id, connection.clone());
        Registration { table: self.clone(), id, connection }
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.borrow().is_empty()
    }

    /// Whether the connection limit is reached, so that no connection may be accepted.
    pub fn is_full(&self) -> bool {
        self.connections.borrow().len() >= self.max_connections
    }

    /// Waits until a connection has closed; completes at once if one has since the last wait.
    pub fn connection_closed(&self) -> Notified<'_> {
        self.connection_closed.notified()
    }

    /// Evicts connections, in the order of their priority, before the limit is reached. A part is kept free,
    /// since a close takes some time and hundreds of clients may connect at once.
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

    /// Closes connections that have been idle, or have had no complete request, for too long.
    pub fn close_timed_out(&self) {
        self.close_where(CloseReason::Timeout, Connection::is_timed_out);
    }

    /// Closes, at shutdown, the connections on which no request has been open for `min_idle_time`.
    pub fn close_idle(&self, min_idle_time: Duration) {
        self.close_where(CloseReason::Shutdown, |connection| connection.is_idle_for(min_idle_time));
    }

    fn close_where(&self, reason: CloseReason, should_close: impl Fn(&Connection) -> bool) {
        let connections = self.connections.borrow();
        for connection in connections.values().filter(|connection| should_close(connection)) {
            connection.request_close(reason);
        }
    }

    /// Returns the open connections, oldest first.
    #[cfg(test)]
    pub fn open_connections(&self) -> Vec<Rc<Connection>> {
        self.connections.borrow().values().cloned().collect()
    }
}

/// A connection's entry in the table, which is removed when the registration is dropped.
pub struct Registration {
    table: Rc<ConnectionTable>,
    id: u64,
    connection: Rc<Connection>,
}

impl Registration {
    /// The state that the table and the task that serves the connection share.
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
