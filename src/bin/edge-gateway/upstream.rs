//! The pool of connections to endpoints, and the attempts that are made on them.
//!
//! The pool owns the idle connections, limits the number of open ones, and decides whether an attempt reuses
//! a connection or opens a new one. A connection carries one request at a time. The dispatcher decides which
//! endpoint an attempt goes to and whether it may still be sent.

mod connect;
mod connection;
mod exchange;
mod metered_stream;
mod read_allowance;
mod reset_rate;
mod response;

use crate::io::memory_pool::MemoryPool;
use bytes::Bytes;
use connect::{connect, ConnectError, ConnectFailure};
use connection::{ConnectionPermit, PooledConnection};
use edge_gateway::{duration_from_millis, ConnectionSettings, EndpointId, Idempotency, Millis, Outcome};
pub use exchange::AttemptProgress;
use exchange::{exchange, Exchange};
use http_body_util::Full;
use hyper::Request;
use reset_rate::ResetRate;
use response::ExchangeError;
pub use response::{AttemptEnd, MAX_BODY_SIZE};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time after a response before its connection can be reused. An endpoint may send a second response some
/// milliseconds late, which must not be read as the response to the next request.
pub const CONNECTION_QUARANTINE: Duration = Duration::from_millis(15);
/// Idle timeout of the pool, as a fraction of that of the endpoints. It is shorter because a request is reset
/// if the endpoint is just closing its connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// Idle timeout of the pool if the settings do not contain that of the endpoints.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// One run of an endpoint's process. After a restart the endpoint is another instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointInstance {
    /// Address that the process listens on.
    pub address: SocketAddr,
    /// When the process started, in milliseconds of Unix time; 0 for long ago.
    pub started_at: Millis,
}

/// The pool of all connections to endpoints.
pub struct UpstreamPool {
    /// Idle connections by endpoint, in the order in which they became idle.
    idle: RefCell<HashMap<EndpointId, Vec<IdleConnection>>>,
    /// Number of open connections, shared with the permits that count them.
    open_connections: Rc<Cell<usize>>,
    /// Maximum number of open connections, in use or idle.
    max_connections: usize,
    reset_rate: ResetRate,
    idle_timeout: Duration,
    connect_timeout: Duration,
    /// The memory for the bodies of responses.
    response_memory: MemoryPool,
}

/// A connection that carries no request.
struct IdleConnection {
    connection: PooledConnection,
    idle_since: Instant,
}

/// A connection that an attempt may send its request on.
struct AcquiredConnection {
    connection: PooledConnection,
    /// Whether the connection has already carried a request.
    is_reused: bool,
}

impl UpstreamPool {
    /// Creates an empty pool that keeps at most `max_connections` connections open. The bodies of responses
    /// take their memory from `response_memory`.
    pub fn new(settings: ConnectionSettings, max_connections: usize, response_memory: MemoryPool) -> Self {
        Self {
            idle: RefCell::default(),
            open_connections: Rc::default(),
            max_connections,
            reset_rate: ResetRate::default(),
            idle_timeout: settings
                .idle_timeout
                .map_or(DEFAULT_IDLE_TIMEOUT, |ms| duration_from_millis(ms * IDLE_TIMEOUT_FRACTION)),
            connect_timeout: duration_from_millis(settings.connect_timeout),
            response_memory,
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
    }

    /// Closes the connections that have reached the idle timeout.
    pub fn close_expired(&self) {
        let idle_timeout = self.idle_timeout;
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.idle_since.elapsed() < idle_timeout);
            !connections.is_empty()
        });
    }

    /// Makes one attempt on an idle or a new connection.
    ///
    /// `request` is called just before the first byte is written to a connection. It returns the request, or
    /// `None` if it must not be sent any more. `keep_connection` is called after the response and returns
    /// whether the endpoint may get more requests.
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
                Err(error) => return AttemptEnd::failed(Outcome::from(&error), error),
            };
            let AcquiredConnection { mut connection, is_reused } = acquired;
            // While connecting, the client may have disconnected, the endpoint may have started to drain or
            // have been replaced, or the attempt may have run out of time.
            let Some(request) = request() else { return AttemptEnd::without_response(Outcome::NotSent) };
            progress.record_request_offset(&connection);
            let result = exchange(&mut connection, request, &self.response_memory).await;
            if is_reused && progress.may_have_executed() {
                self.reset_rate.record(matches!(result, Err(ExchangeError::Disconnected(_))));
            }
            let error = match result {
                Ok(exchange) => {
                    return self.finish_exchange(endpoint, connection, exchange, keep_connection).await;
                }
                Err(error) => error,
            };
            let outcome = match &error {
                ExchangeError::InvalidResponse(_) => Outcome::InvalidResponse,
                ExchangeError::TooLong(_) | ExchangeError::MemoryExhausted => Outcome::Error,
                ExchangeError::Disconnected(_) if progress.may_have_executed() => Outcome::Reset,
                // No byte was written, so another connection cannot send the request a second time.
                ExchangeError::Disconnected(_) if is_reused => continue,
                ExchangeError::Disconnected(_) => Outcome::ConnectFailed,
            };
            return AttemptEnd::failed(outcome, error);
        }
    }

    /// Returns a connection to the pool after its exchange if it can be reused, and closes it otherwise.
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

    /// Returns an idle connection to the endpoint, or opens one. A request that is not idempotent gets a new
    /// connection if reused ones are often reset.
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

    /// Takes the most recently used idle connection that is past its quarantine and still usable, so that the
    /// others can expire. Does not wait for a quarantine to end: that would count as time of the endpoint.
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
            let cause = ConnectFailure::PoolExhausted(self.max_connections);
            return Err(ConnectError { address: instance.address, cause });
        }
        let permit = ConnectionPermit::acquire(&self.open_connections);
        connect(instance, self.connect_timeout, permit).await
    }

    /// Closes the connection that has been idle longest; returns whether there was an idle connection.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let nonempty = idle.values_mut().filter(|connections| !connections.is_empty());
        let longest_idle = nonempty.min_by_key(|connections| connections[0].idle_since);
        longest_idle.map(|connections| connections.remove(0)).is_some()
    }
}

#[cfg(test)]
mod tests;
