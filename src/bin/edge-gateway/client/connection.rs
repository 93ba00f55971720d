//! The state of one client connection: what it is doing, how long it may stay so, and when it may be evicted.
//!
//! It decides nothing about other connections: which ones are evicted is up to the
//! [connection table](super::connection_table), and carrying a close out is up to [`super::serve`].

use crate::io::read_ahead::ReadAheadStream;
use crate::telemetry::metrics::{CloseReason, METRICS};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time for a client to send a complete request: from its connect, or from the first byte of a later request.
/// A client that sends nothing, or never the rest, would otherwise hold its descriptor forever.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2300);
/// A connection without a request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The idle timeout of a connection that has served one request only: many clients send one request and keep
/// their connection open for good.
const SINGLE_USE_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Least idle time before a connection that has served several requests, as regular clients' do, may be
/// evicted.
const MIN_REUSED_IDLE_TIME: Duration = Duration::from_secs(1);
/// Least age before a connection that has sent nothing may be evicted: a regular client sends its request as
/// soon as it has connected.
const MIN_UNUSED_TIME: Duration = Duration::from_millis(100);
/// Least time for a partial request to be completed before its connection may be evicted, or closed at
/// shutdown.
const MIN_READING_TIME: Duration = Duration::from_millis(500);
/// This many bytes behind a request are the beginning of the next one: no request line is shorter.
const MIN_REQUEST_SIZE: u64 = 16;
/// Requests served at which a connection counts as reused; more do not protect it further from eviction.
const REUSED_THRESHOLD: u32 = 2;

/// What a client connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// No request has begun to arrive since the connect or the last response.
    Idle,
    /// A request has arrived in part.
    Reading,
    /// A complete request is waiting for its answer: the connection must stay open.
    InRequest,
}

/// Order in which connections are evicted, the least first: those that never sent a request before those that
/// sent one, these before reused ones, and among equals the one longest in its state.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionPriority {
    requests_served: u32,
    state_since: Instant,
}

/// One client connection, shared by the task that serves it and the connection table.
pub struct Connection {
    state: Cell<ConnectionState>,
    state_since: Cell<Instant>,
    requests_served: Cell<u32>,
    /// Size of the requests that hyper has handed over so far, by estimate.
    parsed_bytes: Cell<u64>,
    close_requested: Notify,
    /// It was told to close to free capacity.
    evicted: Cell<bool>,
}

impl Connection {
    /// A connection that has just been accepted.
    pub fn new() -> Self {
        Self {
            state: Cell::new(ConnectionState::Idle),
            state_since: Cell::new(Instant::now()),
            requests_served: Cell::new(0),
            parsed_bytes: Cell::new(0),
            close_requested: Notify::new(),
            evicted: Cell::new(false),
        }
    }

    /// What it is doing.
    pub fn state(&self) -> ConnectionState {
        self.state.get()
    }

    /// Requests answered or given up.
    pub fn requests_served(&self) -> u32 {
        self.requests_served.get()
    }

    /// Idle to reading, when the first byte of a request has arrived; no change from any other state. Returns
    /// since when the request has been arriving.
    pub fn start_reading(&self) -> Instant {
        if self.state.get() == ConnectionState::Idle {
            // A client that connects is expected to send a request, so its first one is timed from the
            // connect.
            let since = if self.requests_served.get() == 0 { self.state_since.get() } else { Instant::now() };
            self.state.set(ConnectionState::Reading);
            self.state_since.set(since);
        }
        self.state_since.get()
    }

    /// Reading to in request, when a valid request is complete.
    pub fn start_request(&self) {
        self.set_state(ConnectionState::InRequest);
    }

    /// Any state to idle, when the request was answered or given up.
    fn finish_request(&self) {
        self.requests_served.set(self.requests_served.get().saturating_add(1));
        self.set_state(ConnectionState::Idle);
    }

    fn set_state(&self, state: ConnectionState) {
        self.state.set(state);
        self.state_since.set(Instant::now());
    }

    /// Tells the task that serves it to close it as soon as no request is open.
    pub fn request_close(&self, reason: CloseReason) {
        METRICS.connection_closing(reason);
        let (state, requests_served) = (self.state.get(), self.requests_served.get());
        tracing::debug!(?reason, ?state, requests_served, "closing connection");
        self.close_requested.notify_one();
    }

    /// Waits until it is told to close.
    pub fn close_requested(&self) -> Notified<'_> {
        self.close_requested.notified()
    }

    /// Requests its close to free capacity.
    pub fn evict(&self) {
        self.evicted.set(true);
        self.request_close(CloseReason::ConnectionLimit);
    }

    /// Undoes an eviction that a request has overtaken.
    pub fn cancel_eviction(&self) {
        self.evicted.set(false);
    }

    /// Whether it was told to close to free capacity.
    pub fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    /// Whether no byte has arrived since the connect.
    pub fn is_unused(&self) -> bool {
        self.state.get() == ConnectionState::Idle && self.requests_served.get() == 0
    }

    /// Whether it has been in its state for longer than allowed.
    pub fn is_timed_out(&self) -> bool {
        self.timeout().is_some_and(|timeout| self.time_in_state() >= timeout)
    }

    /// How long it may stay in its state; `None` without a limit.
    fn timeout(&self) -> Option<Duration> {
        match (self.state.get(), self.requests_served.get()) {
            (ConnectionState::InRequest, _) => None,
            (ConnectionState::Reading, _) | (ConnectionState::Idle, 0) => Some(REQUEST_TIMEOUT),
            (ConnectionState::Idle, 1) => Some(SINGLE_USE_IDLE_TIMEOUT),
            (ConnectionState::Idle, _) => Some(IDLE_TIMEOUT),
        }
    }

    /// Whether no request has been open for `min_idle_time`. A partial request has some more time to be
    /// completed.
    pub fn is_idle_for(&self, min_idle_time: Duration) -> bool {
        match self.state.get() {
            ConnectionState::InRequest => false,
            ConnectionState::Reading => self.time_in_state() >= min_idle_time.max(MIN_READING_TIME),
            ConnectionState::Idle => self.time_in_state() >= min_idle_time,
        }
    }

    /// Its place in the order of evictions; `None` if it may not be evicted now.
    pub fn eviction_priority(&self) -> Option<EvictionPriority> {
        if self.evicted.get() {
            return None;
        }
        // None is protected for long: whoever has to connect meanwhile waits as long.
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

    /// Counts a request that hyper has handed over, by its estimated size.
    pub fn add_parsed_bytes(&self, bytes: u64) {
        self.parsed_bytes.set(self.parsed_bytes.get() + bytes);
    }

    /// Whether hyper holds more than the requests that it has handed over: a part of the next one, or all of
    /// it.
    pub fn has_pipelined_request(&self, stream: &ReadAheadStream) -> bool {
        if stream.is_read_pending() {
            // Sizes are estimates, so the count is corrected whenever the true one is known.
            self.parsed_bytes.set(stream.bytes_read());
            return false;
        }
        stream.bytes_read() >= self.parsed_bytes.get() + MIN_REQUEST_SIZE
    }
}

/// Ends a request on its connection when dropped, whether it was answered or given up.
pub struct RequestGuard(Rc<Connection>);

impl RequestGuard {
    /// Guards the request that is arriving on `connection`.
    pub fn new(connection: Rc<Connection>) -> Self {
        Self(connection)
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.finish_request();
    }
}
