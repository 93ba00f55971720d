//! The state of one client connection: what it is doing, when it times out, and when it may be evicted.
//!
//! The [connection table](super::connection_table) selects the connections to evict, and [`super::serve`]
//! closes them.

use crate::io::read_ahead::{ReadAheadStream, StreamEvent};
use crate::telemetry::metrics::{CloseReason, METRICS};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Maximum time for a client to send a complete request, from its connect or from the first byte of a later
/// request. Otherwise a client that sends nothing, or only a part, would hold its descriptor forever.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2300);
/// Maximum time for a connection that is being closed to write its buffered output.
pub const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a request after which a connection that has served several requests is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without a request after which a connection that has served one request is closed: many clients send
/// one request and never close their connection.
const SINGLE_USE_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time for which a client may take nothing of the responses that are written to it. They are held in
/// memory until it does, and requests that it has pipelined behind them keep the connection open.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum idle time before a connection that has served several requests, as those of regular clients have,
/// may be evicted.
const MIN_REUSED_IDLE_TIME: Duration = Duration::from_secs(1);
/// Minimum age before a connection that has received nothing may be evicted: a regular client sends its
/// request as soon as it has connected.
const MIN_UNUSED_TIME: Duration = Duration::from_millis(100);
/// Minimum time for which a connection with a partial request stays open, so that the rest can arrive, before
/// it may be evicted, or closed at shutdown.
const MIN_READING_TIME: Duration = Duration::from_millis(500);
/// Minimum size of a request, in bytes: no request line is shorter. If hyper has read at least this much more
/// than the estimated sizes of the requests, the next one has begun; less may be an error of the estimates.
const MIN_REQUEST_SIZE: u64 = 16;
/// Number of served requests from which a connection counts as reused, and is evicted last.
const REUSED_THRESHOLD: u32 = 2;

/// What a client connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// No part of a request has arrived since the connect or the last response.
    Idle,
    /// Part of a request has arrived.
    Reading,
    /// A complete request is waiting for its answer: the connection must stay open.
    InRequest,
}

/// The order in which connections are evicted, lowest value first: connections without a request, then those
/// with one, then reused ones; among equals the one that has been in its state longest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionPriority {
    requests_served: u32,
    state_since: Instant,
}

/// One client connection, shared by the task that serves it and the connection table.
pub struct Connection {
    /// The client's address, which identifies the connection in the log; `None` if it is not an IP address.
    client_address: Option<SocketAddr>,
    state: Cell<ConnectionState>,
    state_since: Cell<Instant>,
    requests_served: Cell<u32>,
    /// Estimated total size of the requests that hyper has passed to the handler, in bytes.
    parsed_bytes: Cell<u64>,
    /// When a write found the socket's buffer full; `None` if bytes have been written since.
    write_blocked_since: Cell<Option<Instant>>,
    close_requested: Notify,
    /// See [`Connection::is_evicted`].
    evicted: Cell<bool>,
}

impl Connection {
    /// Creates the state of a connection that has just been accepted.
    pub fn new(client_address: Option<SocketAddr>) -> Self {
        Self {
            client_address,
            state: Cell::new(ConnectionState::Idle),
            state_since: Cell::new(Instant::now()),
            requests_served: Cell::new(0),
            parsed_bytes: Cell::new(0),
            write_blocked_since: Cell::new(None),
            close_requested: Notify::new(),
            evicted: Cell::new(false),
        }
    }

    /// Returns whether the connection is idle, is receiving a request, or must stay open for an answer.
    pub fn state(&self) -> ConnectionState {
        self.state.get()
    }

    /// Number of requests that were answered or abandoned.
    pub fn requests_served(&self) -> u32 {
        self.requests_served.get()
    }

    /// Records what happened to the stream of the connection.
    pub fn record_stream_event(&self, event: StreamEvent) {
        match event {
            StreamEvent::BytesRead => {
                self.start_reading();
            }
            StreamEvent::BytesWritten => self.write_blocked_since.set(None),
            StreamEvent::WriteBlocked => {
                let since = self.write_blocked_since.get().unwrap_or_else(Instant::now);
                self.write_blocked_since.set(Some(since));
            }
        }
    }

    /// Whether the client has taken nothing of what is written to it for at least `time`.
    pub fn is_write_blocked_for(&self, time: Duration) -> bool {
        self.write_blocked_since.get().is_some_and(|since| since.elapsed() >= time)
    }

    /// Moves from idle to reading when the first byte of a request has arrived; other states stay as they
    /// are. Returns the start of the current state, from which [`REQUEST_TIMEOUT`] runs while reading.
    pub fn start_reading(&self) -> Instant {
        if self.state.get() == ConnectionState::Idle {
            // A client is expected to send a request when it connects, so the first one is timed from the
            // connect.
            let since = if self.requests_served.get() == 0 { self.state_since.get() } else { Instant::now() };
            self.state.set(ConnectionState::Reading);
            self.state_since.set(since);
        }
        self.state_since.get()
    }

    /// Moves to [`ConnectionState::InRequest`] when a valid request is complete.
    pub fn start_request(&self) {
        self.set_state(ConnectionState::InRequest);
    }

    /// Moves to idle when the request was answered or abandoned.
    fn finish_request(&self) {
        self.requests_served.set(self.requests_served.get().saturating_add(1));
        self.set_state(ConnectionState::Idle);
    }

    fn set_state(&self, state: ConnectionState) {
        self.state.set(state);
        self.state_since.set(Instant::now());
    }

    /// Tells the task that serves the connection to close it as soon as no request is open.
    pub fn request_close(&self, reason: CloseReason) {
        METRICS.record_close_request(reason);
        let (state, requests_served) = (self.state.get(), self.requests_served.get());
        tracing::debug!(
            client = self.client_address.map(tracing::field::display),
            ?reason,
            ?state,
            requests_served,
            "close of a client connection requested"
        );
        self.close_requested.notify_one();
    }

    /// Waits until a close is requested; completes at once if one was since the last wait.
    pub fn close_requested(&self) -> Notified<'_> {
        self.close_requested.notified()
    }

    /// Requests the close of the connection to free capacity.
    pub fn evict(&self) {
        self.evicted.set(true);
        self.request_close(CloseReason::ConnectionLimit);
    }

    /// Cancels an eviction because a request has arrived before the close.
    pub fn cancel_eviction(&self) {
        self.evicted.set(false);
    }

    /// Whether the connection was evicted, and no request has arrived in time to cancel that.
    pub fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    /// Whether no byte has arrived since the connect.
    pub fn is_unused(&self) -> bool {
        self.state.get() == ConnectionState::Idle && self.requests_served.get() == 0
    }

    /// Whether the connection has been in its state for longer than allowed, or its client has not read for
    /// too long.
    pub fn is_timed_out(&self) -> bool {
        self.is_write_blocked_for(WRITE_TIMEOUT)
            || self.timeout().is_some_and(|timeout| self.time_in_state() >= timeout)
    }

    /// Maximum time in the current state; `None` if there is no limit.
    fn timeout(&self) -> Option<Duration> {
        match (self.state.get(), self.requests_served.get()) {
            (ConnectionState::InRequest, _) => None,
            (ConnectionState::Reading, _) | (ConnectionState::Idle, 0) => Some(REQUEST_TIMEOUT),
            (ConnectionState::Idle, 1) => Some(SINGLE_USE_IDLE_TIMEOUT),
            (ConnectionState::Idle, _) => Some(IDLE_TIMEOUT),
        }
    }

    /// Whether no request has been open for `min_idle_time`. With a partial request, at least
    /// [`MIN_READING_TIME`] must have passed as well. A client that has not read for [`CLOSE_TIMEOUT`] counts
    /// as idle, since it will not take the response to an open request either.
    pub fn is_idle_for(&self, min_idle_time: Duration) -> bool {
        if self.is_write_blocked_for(CLOSE_TIMEOUT) {
            return true;
        }
        match self.state.get() {
            ConnectionState::InRequest => false,
            ConnectionState::Reading => self.time_in_state() >= min_idle_time.max(MIN_READING_TIME),
            ConnectionState::Idle => self.time_in_state() >= min_idle_time,
        }
    }

    /// The connection's place in the order of evictions; `None` if it must not be evicted now.
    pub fn eviction_priority(&self) -> Option<EvictionPriority> {
        if self.evicted.get() {
            return None;
        }
        // These times are short because new clients wait in the backlog for as long.
        let min_time = match (self.state.get(), self.requests_served.get()) {
            (ConnectionState::InRequest, _) => return None,
            (ConnectionState::Reading, _) => MIN_READING_TIME,
            (ConnectionState::Idle, 0) => MIN_UNUSED_TIME,
            (ConnectionState::Idle, 1) => Duration::ZERO,
            (ConnectionState::Idle, _) => MIN_REUSED_IDLE_TIME,
        };
        let state_since = self.state_since.get();
        let requests_served = self.requests_served.get().min(REUSED_THRESHOLD);
        (state_since.elapsed() >= min_time).then_some(EvictionPriority { requests_served, state_since })
    }

    fn time_in_state(&self) -> Duration {
        self.state_since.get().elapsed()
    }

    /// Adds the estimated size of a request that hyper has passed to the handler.
    pub fn add_parsed_bytes(&self, bytes: u64) {
        self.parsed_bytes.set(self.parsed_bytes.get() + bytes);
    }

    /// Whether hyper has read more than the requests that it has passed to the handler: all or part of the
    /// next one.
    pub fn has_pipelined_request(&self, stream: &ReadAheadStream) -> bool {
        if stream.is_waiting_for_data() {
            // hyper holds no further data now. The sizes are estimates, so the total is set to the exact one.
            self.parsed_bytes.set(stream.bytes_read());
            return false;
        }
        stream.bytes_read() >= self.parsed_bytes.get() + MIN_REQUEST_SIZE
    }
}

/// Returns its connection to idle when dropped, whether the request was answered or abandoned.
pub struct RequestGuard(Rc<Connection>);

impl RequestGuard {
    /// Creates the guard of the request that is arriving on `connection`.
    pub fn new(connection: Rc<Connection>) -> Self {
        Self(connection)
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.finish_request();
    }
}
