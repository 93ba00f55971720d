//! Drives hyper for one client connection, and closes it without interrupting a request.
//!
//! [`super::handler`] produces the responses.

use crate::client::connection::{Connection, ConnectionState, RequestGuard, CLOSE_TIMEOUT};
use crate::client::handler::RequestHandler;
use crate::io::read_ahead::ReadAheadStream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{service_fn, HttpService};
use hyper_util::rt::TokioIo;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// Maximum input that hyper buffers for a connection, in bytes; more than the head of any valid request.
const MAX_BUFFER_SIZE: usize = 16 << 10;
/// Time for which a connection with unread data, or one that has received nothing, is polled before it is
/// closed: tokio may not have reported yet what its client has sent.
const CLOSE_GRACE_PERIOD: Duration = Duration::from_millis(10);

/// Serves a connection until it has closed. `queued_since` is the earliest time from which it may have waited
/// to be accepted; `None` if it did not wait.
pub async fn serve(
    handler: Rc<RequestHandler>,
    connection: Rc<Connection>,
    stream: TcpStream,
    queued_since: Option<Instant>,
) {
    let observed_connection = connection.clone();
    let on_event = move |event| observed_connection.record_stream_event(event);
    let stream = ReadAheadStream::new(stream, queued_since, handler.memory().clone(), on_event);
    let service = service_fn(|request| {
        let (handler, connection, stream) = (handler.clone(), connection.clone(), stream.clone());
        async move {
            let _guard = RequestGuard::new(connection.clone());
            handler.handle(request, &connection, &stream).await
        }
    });
    let http = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_SIZE)
        .serve_connection(TokioIo::new(stream.clone()), service);
    ConnectionDriver { http: pin!(http), connection: &connection, stream: &stream }.run().await;
}

/// How to proceed with a connection whose close was requested.
enum CloseDecision {
    /// The connection stays open because a request has arrived.
    KeepOpen,
    /// The connection is dropped: it has already closed, or no response can be on its way to the client.
    Drop,
    /// The connection is closed after its buffered output has been written.
    CloseGracefully,
}

/// Polls hyper for one connection and carries out requests to close it.
struct ConnectionDriver<'a, S: HttpService<Incoming>> {
    http: Pin<&'a mut http1::Connection<TokioIo<ReadAheadStream>, S>>,
    connection: &'a Connection,
    stream: &'a ReadAheadStream,
}

impl<S> ConnectionDriver<'_, S>
where
    S: HttpService<Incoming, ResBody = Full<Bytes>, Error = hyper::Error>,
{
    /// Drives the connection until it has closed.
    async fn run(mut self) {
        let connection = self.connection;
        loop {
            tokio::select! {
                biased;
                () = self.poll_until_closed() => return,
                () = connection.close_requested() => {}
            }
            match self.decide_close().await {
                CloseDecision::KeepOpen => {}
                CloseDecision::Drop => return,
                CloseDecision::CloseGracefully => {
                    if self.close_gracefully().await {
                        return;
                    }
                }
            }
        }
    }

    /// Decides whether and how to close the connection. A request that has arrived completely is answered, as
    /// are those pipelined behind it; the last response tells the client to close the connection.
    async fn decide_close(&mut self) -> CloseDecision {
        if self.connection.is_write_blocked_for(CLOSE_TIMEOUT) {
            // The client does not take the responses that it was sent before.
            return CloseDecision::Drop;
        }
        let state = self.connection.state();
        match state {
            ConnectionState::InRequest => CloseDecision::KeepOpen,
            ConnectionState::Idle if self.connection.has_pipelined_request(self.stream) => {
                CloseDecision::KeepOpen
            }
            // Data in the kernel's buffer that hyper has not read yet may be the rest of a request, or a new
            // one on an idle connection.
            ConnectionState::Reading | ConnectionState::Idle
                if self.stream.has_unread_data() || self.connection.is_unused() =>
            {
                self.poll_before_close(state).await
            }
            ConnectionState::Reading => CloseDecision::Drop,
            ConnectionState::Idle => CloseDecision::CloseGracefully,
        }
    }

    /// Polls the connection for a short time, and keeps it open if it leaves `state` or serves a request.
    async fn poll_before_close(&mut self, state: ConnectionState) -> CloseDecision {
        let requests_served = self.connection.requests_served();
        if timeout(CLOSE_GRACE_PERIOD, self.poll_until_closed()).await.is_ok() {
            // The connection has closed by itself.
            return CloseDecision::Drop;
        }
        if self.connection.state() != state || self.connection.requests_served() != requests_served {
            self.connection.cancel_eviction();
            return CloseDecision::KeepOpen;
        }
        // Clients that send nothing, or only part of a request, must not hold file descriptors. No response
        // can still be on its way to them.
        if state == ConnectionState::Reading || requests_served == 0 {
            return CloseDecision::Drop;
        }
        CloseDecision::CloseGracefully
    }

    /// Writes the buffered output, for at most [`CLOSE_TIMEOUT`]. Returns whether the connection may be
    /// dropped then: not if a request has arrived and is still open.
    async fn close_gracefully(&mut self) -> bool {
        self.http.as_mut().graceful_shutdown();
        timeout(CLOSE_TIMEOUT, self.poll_until_closed()).await.is_ok()
            || self.connection.state() != ConnectionState::InRequest
    }

    /// Polls the connection until it has closed, or its client has disconnected with a request open.
    async fn poll_until_closed(&mut self) {
        poll_fn(|cx| self.poll_closed(cx)).await;
    }

    fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        // hyper is polled first, so that the state below includes a request that it has just started. hyper
        // itself responds to malformed input.
        if self.http.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        match self.connection.state() {
            // After a disconnect the request's future is dropped, which notifies the dispatcher.
            ConnectionState::InRequest => self.stream.poll_disconnected(cx),
            // hyper reads from the stream and so detects its end.
            ConnectionState::Idle | ConnectionState::Reading => Poll::Pending,
        }
    }
}
