//! The client side: accepts connections, reads and validates requests, and writes one response to each.
//!
//! The modules, in the order in which a request passes through them: [`listener`] accepts its connection,
//! pausing after failures by [`accept_backoff`]; [`connection_table`] enforces the connection limit;
//! [`serve`] drives hyper for one connection, whose state is in [`connection`]; [`handler`] reads the request
//! with [`request`] and [`request_head`], and builds the response with [`response`]. [`shutdown`] closes all
//! connections. The answer itself comes from the [dispatcher](crate::dispatcher).

mod accept_backoff;
mod connection;
mod connection_table;
mod handler;
mod listener;
mod request;
pub mod request_head;
mod response;
mod serve;
mod shutdown;

use crate::dispatcher::Dispatcher;
use crate::io::memory_pool::MemoryPool;
use connection_table::ConnectionTable;
use handler::RequestHandler;
use listener::Acceptor;
use request_head::RequestHeadParser;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Accepts client connections, serves them, and shuts them down gracefully.
pub struct Frontend {
    dispatcher: Rc<Dispatcher>,
    handler: Rc<RequestHandler>,
    connections: Rc<ConnectionTable>,
    stop_accepting: Notify,
}

impl Frontend {
    /// Creates a frontend that holds at most `max_connections` open connections, and whose requests take
    /// their memory from `request_memory`.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        head_parser: RequestHeadParser,
        request_memory: MemoryPool,
        max_connections: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            handler: RequestHandler::new(dispatcher.clone(), head_parser, request_memory),
            dispatcher,
            connections: ConnectionTable::new(max_connections),
            stop_accepting: Notify::new(),
        })
    }

    /// Accepts connections, and spawns a task to serve each, until [`shut_down`](Self::shut_down) stops it.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let acceptor = Acceptor::new(listener, self.connections.clone(), self.handler.clone());
        acceptor.run(&self.stop_accepting).await;
    }
}

#[cfg(test)]
mod tests;
