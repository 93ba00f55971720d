//! Handles client requests: answers readiness checks, and passes all others to the dispatcher.

use crate::answer::Answer;
use crate::client::connection::Connection;
use crate::client::request::{estimated_size, read_request, RequestError};
use crate::client::request_head::RequestHeadParser;
use crate::client::response::{answer_response, error_response, text_response, FullResponse};
use crate::dispatcher::{ClientRequest, Dispatcher};
use crate::io::memory_pool::MemoryPool;
use crate::io::read_ahead::ReadAheadStream;
use crate::telemetry::metrics::{Violation, METRICS};
use edge_gateway::{Millis, RequestId};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode};
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// Path of the readiness check, by which others learn whether the node takes requests.
const READINESS_PATH: &str = "/up";

/// The reason of a rejection for lack of memory, in logs and metrics. The dispatcher does not know of it.
const MEMORY_EXHAUSTED: &str = "memory_exhausted";

/// Produces the response to each request, for all client connections.
pub struct RequestHandler {
    dispatcher: Rc<Dispatcher>,
    head_parser: RequestHeadParser,
    /// The memory for the bodies of requests, and for what is read ahead behind them.
    memory: MemoryPool,
    /// Whether the node is shutting down, and clients are told to close their connections.
    draining: Cell<bool>,
}

impl RequestHandler {
    /// Creates a handler that passes requests to `dispatcher`. Their bodies take their memory from `memory`.
    pub fn new(dispatcher: Rc<Dispatcher>, head_parser: RequestHeadParser, memory: MemoryPool) -> Rc<Self> {
        Rc::new(Self { dispatcher, head_parser, memory, draining: Cell::new(false) })
    }

    /// Returns the memory for requests.
    pub fn memory(&self) -> &MemoryPool {
        &self.memory
    }

    /// Makes readiness checks fail from now on, and responses tell clients to close their connections.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// Returns the longest deadline of all classes in the settings.
    pub fn longest_deadline(&self) -> Millis {
        self.head_parser.longest_deadline()
    }

    /// Reads the rest of a request and returns its response.
    ///
    /// # Errors
    /// If the connection broke before the request was complete.
    pub async fn handle(
        &self,
        request: Request<Incoming>,
        connection: &Connection,
        stream: &ReadAheadStream,
    ) -> Result<FullResponse, hyper::Error> {
        let reading_since = connection.start_reading();
        connection.add_parsed_bytes(estimated_size(&request));
        let result = if request.uri().path() == READINESS_PATH {
            Ok(self.readiness(&request))
        } else {
            self.forward(request, reading_since, connection, stream).await
        };
        // After an invalid request the connection is closed: the request may not have been read to its end,
        // so the start of the next one is unknown. This also slows down clients that send invalid ones only.
        let requires_close = result.as_ref().is_err_and(RequestError::requires_close);
        let mut response = match result {
            Ok(response) => response,
            Err(RequestError::Connection(error)) => return Err(error),
            Err(RequestError::MemoryExhausted) => self.memory_rejection(),
            Err(error) => error_response(&error),
        };
        if self.should_close(connection, stream) || requires_close || stream.has_overflowed() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    /// Returns the rejection of a request whose body was discarded for lack of memory.
    fn memory_rejection(&self) -> FullResponse {
        METRICS.record_rejection(MEMORY_EXHAUSTED);
        let retry_after = self.head_parser.max_retry_after();
        tracing::debug!(reason = MEMORY_EXHAUSTED, retry_after, "rejected");
        answer_response(Answer::Rejected(retry_after))
    }

    fn readiness(&self, request: &Request<Incoming>) -> FullResponse {
        if request.method() != Method::GET {
            return text_response(StatusCode::METHOD_NOT_ALLOWED, "only GET");
        }
        if self.draining.get() || !self.dispatcher.is_ready() {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready");
        }
        text_response(StatusCode::OK, "up")
    }

    /// Reads the rest of the request, passes it to the dispatcher and returns the response.
    async fn forward(
        &self,
        request: Request<Incoming>,
        reading_since: Instant,
        connection: &Connection,
        stream: &ReadAheadStream,
    ) -> Result<FullResponse, RequestError> {
        let received_at = self.dispatcher.now() - stream.received_at().elapsed().as_secs_f64() * 1000.0;
        let request =
            read_request(&self.head_parser, &self.memory, request, reading_since, received_at).await?;
        // The client may have disconnected without tokio having reported it yet, or behind input that has not
        // been read, and a pooled connection would send the request to an endpoint at once.
        if stream.is_disconnected() {
            return Err(RequestError::ClientDisconnected);
        }
        connection.start_request();
        let answer = self.dispatch(request, stream).await?;
        Ok(answer_response(answer))
    }

    /// Passes the request to the dispatcher and waits for its answer.
    async fn dispatch(
        &self,
        request: ClientRequest,
        stream: &ReadAheadStream,
    ) -> Result<Answer, RequestError> {
        let id = request.head.id.clone();
        let answer = self.dispatcher.receive_request(request)?;
        // When the client disconnects, this future is dropped, and the guard with it.
        let mut guard = DisconnectGuard { dispatcher: &self.dispatcher, stream, open_request: Some(id) };
        let answer = answer.await;
        guard.open_request = None;
        Ok(answer.unwrap_or(Answer::Failed))
    }

    /// Whether to tell the client to close the connection, because the node is shutting down or the
    /// connection is evicted. Not while requests are pipelined behind this one: those are answered first, and
    /// the connection is closed once it is idle.
    fn should_close(&self, connection: &Connection, stream: &ReadAheadStream) -> bool {
        (self.draining.get() || connection.is_evicted())
            && !connection.has_pipelined_request(stream)
            && !stream.has_unread_data()
    }
}

/// Notifies the dispatcher that the client has disconnected if dropped before the request is answered.
struct DisconnectGuard<'a> {
    dispatcher: &'a Rc<Dispatcher>,
    stream: &'a ReadAheadStream,
    /// The request to report when dropped; `None` once it is answered.
    open_request: Option<RequestId>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.open_request.take() {
            let was_open = self.dispatcher.client_disconnected(&id);
            let is_client_gone = self.stream.is_disconnected() || self.stream.is_write_blocked();
            if was_open && !is_client_gone {
                METRICS.record_violation(Violation::ClosedOpenRequest, &id);
            }
        }
    }
}
