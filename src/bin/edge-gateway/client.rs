//! The client side: accepts connections, reads and checks requests, and writes the one answer to each.
//!
//! The modules, in the order in which a request meets them: [`listener`] accepts its connection, with the
//! pauses of [`accept_backoff`]; [`connection_table`] keeps the connections within their limit; [`serve`]
//! drives hyper for one connection, whose state is in [`connection`]; [`handler`] has [`request`] and
//! [`request_head`] read the request, and [`response`] build the response; [`shutdown`] closes all of them.
//! What the answer is, the [dispatcher](crate::dispatcher) decides.

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
    /// A frontend with no connection yet, and never more than `max_connections`.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        head_parser: RequestHeadParser,
        max_connections: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            handler: RequestHandler::new(dispatcher.clone(), head_parser),
            dispatcher,
            connections: ConnectionTable::new(max_connections),
            stop_accepting: Notify::new(),
        })
    }

    /// Accepts and serves connections until [`shut_down`](Self::shut_down) stops it.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let acceptor = Acceptor::new(listener, self.connections.clone(), self.handler.clone());
        acceptor.run(&self.stop_accepting).await;
    }
}

#[cfg(test)]
mod tests;
