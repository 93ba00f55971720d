//! The pool of connections to endpoints, and the attempts that are made on them.
//!
//! Owns the idle connections and the limit on open ones, and decides whether an attempt reuses a connection
//! or opens one. A connection carries one request at a time. Which endpoint an attempt goes to, and whether
//! it may still be made, is decided by the dispatcher.

mod connect;
mod connection;
mod exchange;
mod reset_rate;
mod response;

use bytes::Bytes;
use connect::{connect, ConnectError};
use connection::{ConnectionPermit, PooledConnection};
use edge_gateway::{duration_from_millis, ConnectionSettings, EndpointId, Idempotency, Millis, Outcome};
pub use exchange::AttemptProgress;
use exchange::{exchange, Exchange};
use http_body_util::Full;
use hyper::Request;
use reset_rate::ResetRate;
use response::ExchangeError;
pub use response::{AttemptEnd, MAX_BODY};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A connection is not used for this long after a response: what an endpoint sends behind it, which may be
/// some milliseconds late, must not be read as the response to the next request.
pub const CONNECTION_QUARANTINE: Duration = Duration::from_millis(15);
/// Fraction of the time after which endpoints close an idle connection for which the pool keeps one: a
/// request written to a connection that the endpoint is just closing is reset.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// How long the pool keeps an idle connection where the settings do not say when endpoints close one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// One process of an endpoint: where it listens and when it started. Another process there is another
/// instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointInstance {
    /// Its address.
    pub address: SocketAddr,
    /// When it started, in Unix time; 0 for long ago.
    pub started_at: Millis,
}

/// All connections to endpoints.
pub struct UpstreamPool {
    /// Idle connections to each endpoint, the longest idle first.
    idle: RefCell<HashMap<EndpointId, Vec<IdleConnection>>>,
    open_connections: Rc<Cell<usize>>,
    max_connections: usize,
    reset_rate: ResetRate,
    idle_timeout: Duration,
    connect_timeout: Duration,
}

/// A connection on which no request is open.
struct IdleConnection {
    connection: PooledConnection,
    idle_since: Instant,
}

/// A connection for an attempt.
struct AcquiredConnection {
    connection: PooledConnection,
    /// Whether it has carried requests before.
    is_reused: bool,
}

impl UpstreamPool {
    /// A pool without connections, which opens at most `max_connections`.
    pub fn new(settings: ConnectionSettings, max_connections: usize) -> Self {
        Self {
            idle: RefCell::default(),
            open_connections: Rc::default(),
            max_connections,
            reset_rate: ResetRate::default(),
            idle_timeout: settings
                .idle_timeout
                .map_or(DEFAULT_IDLE_TIMEOUT, |ms| duration_from_millis(ms * IDLE_TIMEOUT_FRACTION)),
            connect_timeout: duration_from_millis(settings.connect_timeout),
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
    }

    /// Closes the connections that have been idle for too long.
    pub fn close_expired(&self) {
        let idle_timeout = self.idle_timeout;
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.idle_since.elapsed() < idle_timeout);
            !connections.is_empty()
        });
    }

    /// Makes one attempt. `request` is called once there is a connection, just before the first byte is
    /// written, and returns the request, or `None` if it must not be sent any more. `keep_connection` is
    /// called after the response and says whether more requests may be sent to the endpoint.
    ///
    /// # Cancel safety
    /// Dropping the future aborts the attempt and closes its connection.
    pub async fn attempt(
        &self,
        endpoint: EndpointId,
        instance: EndpointInstance,
        progress: &AttemptProgress,
        idempotency: Idempotency,
        request: impl Fn() -> Option<Request<Full<Bytes>>>,
        keep_connection: impl Fn() -> bool,
    ) -> AttemptEnd {
        loop {
            let acquired = match self.acquire(endpoint, instance, idempotency).await {
                Ok(acquired) => acquired,
                Err(error) => return AttemptEnd::without_response(error.into()),
            };
            let AcquiredConnection { mut connection, is_reused } = acquired;
            // Guards against what happened while connecting: the client disconnected, the endpoint is
            // draining or has been replaced, the time is up.
            let Some(request) = request() else { return AttemptEnd::without_response(Outcome::NotSent) };
            progress.record_write_start(&connection);
            let result = exchange(&mut connection, request).await;
            if is_reused && progress.may_have_executed() {
                self.reset_rate.record(matches!(result, Err(ExchangeError::Disconnected)));
            }
            let outcome = match result {
                Ok(exchange) => {
                    return self.finish_exchange(endpoint, connection, exchange, keep_connection).await;
                }
                Err(ExchangeError::InvalidResponse) => Outcome::InvalidResponse,
                Err(ExchangeError::Disconnected) if progress.may_have_executed() => Outcome::Reset,
                // No byte was written, so that nothing is sent twice on another connection.
                Err(ExchangeError::Disconnected) if is_reused => continue,
                Err(ExchangeError::Disconnected) => Outcome::ConnectFailed,
            };
            return AttemptEnd::without_response(outcome);
        }
    }

    /// Releases the connection of a completed exchange if it can be reused, and closes it otherwise.
    async fn finish_exchange(
        &self,
        endpoint: EndpointId,
        mut connection: PooledConnection,
        exchange: Exchange,
        keep_connection: impl Fn() -> bool,
    ) -> AttemptEnd {
        let end = exchange.response.into_attempt_end();
        if exchange.is_connection_open && keep_connection() && connection.is_reusable().await {
            self.release(endpoint, connection);
        }
        end
    }

    /// An idle connection to an endpoint, or a new one. Where reused connections are often reset, a request
    /// that is not idempotent gets a new one.
    async fn acquire(
        &self,
        endpoint: EndpointId,
        instance: EndpointInstance,
        idempotency: Idempotency,
    ) -> Result<AcquiredConnection, ConnectError> {
        if idempotency != Idempotency::NotIdempotent || self.reset_rate.is_low() {
            if let Some(connection) = self.take_idle(endpoint, instance).await {
                return Ok(AcquiredConnection { connection, is_reused: true });
            }
        }
        let connection = self.open(instance).await?;
        Ok(AcquiredConnection { connection, is_reused: false })
    }

    /// Of the idle connections past their quarantine, the one last used; the others stay idle until they are
    /// closed. The end of a quarantine is never waited for: the time would count as the endpoint's.
    async fn take_idle(&self, endpoint: EndpointId, instance: EndpointInstance) -> Option<PooledConnection> {
        loop {
            let IdleConnection { mut connection, idle_since } = self.pop_idle(endpoint)?;
            let has_expired = idle_since.elapsed() >= self.idle_timeout;
            if !has_expired && connection.instance == instance && connection.is_reusable().await {
                return Some(connection);
            }
        }
    }

    fn pop_idle(&self, endpoint: EndpointId) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        let past_quarantine = |idle: &IdleConnection| idle.idle_since.elapsed() >= CONNECTION_QUARANTINE;
        let most_recent = connections.iter().rposition(past_quarantine)?;
        Some(connections.remove(most_recent))
    }

    fn release(&self, endpoint: EndpointId, connection: PooledConnection) {
        let idle = IdleConnection { connection, idle_since: Instant::now() };
        self.idle.borrow_mut().entry(endpoint).or_default().push(idle);
    }

    async fn open(&self, instance: EndpointInstance) -> Result<PooledConnection, ConnectError> {
        if self.open_connections.get() >= self.max_connections && !self.close_longest_idle() {
            return Err(ConnectError::ResourceExhausted);
        }
        let permit = ConnectionPermit::acquire(&self.open_connections);
        connect(instance, self.connect_timeout, permit).await
    }

    /// Closes the connection that has been idle longest. Returns whether there was one.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let nonempty = idle.values_mut().filter(|connections| !connections.is_empty());
        let longest_idle = nonempty.min_by_key(|connections| connections[0].idle_since);
        longest_idle.map(|connections| connections.remove(0)).is_some()
    }
}

#[cfg(test)]
mod tests;
