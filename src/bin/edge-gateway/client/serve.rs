//! Drives hyper for one client connection, and closes it without cutting off a request.
//!
//! What a request is answered with is up to [`super::handler`].

use crate::client::connection::{Connection, ConnectionState, RequestGuard};
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

/// Most that hyper buffers of a connection's input; more than the head of any valid request.
const MAX_BUFFER_SIZE: usize = 16 << 10;
/// Before its close, a connection with unread data, or one that has sent nothing, is polled for this much
/// longer: what its client has sent may not have been noticed yet.
const CLOSE_GRACE_PERIOD: Duration = Duration::from_millis(10);
/// Time for a closing connection to write what is still buffered.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves a connection until it has closed. `queued_since` says since when it may have waited to be accepted,
/// if not only now.
pub async fn serve(
    handler: Rc<RequestHandler>,
    connection: Rc<Connection>,
    stream: TcpStream,
    queued_since: Option<Instant>,
) {
    let reading_connection = connection.clone();
    let stream = ReadAheadStream::new(stream, queued_since, move || {
        reading_connection.start_reading();
    });
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

/// What becomes of a connection that was requested to close.
enum CloseDecision {
    /// It stays open: a request has arrived meanwhile.
    KeepOpen,
    /// It is dropped: it has closed already, or no response can be on its way to the client.
    Drop,
    /// It is closed after what is still buffered has been written.
    CloseGracefully,
}

/// Polls hyper for one connection.
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

    /// Decides whether to close and how. A request that has arrived completely is answered, as are those
    /// pipelined behind it; the response to the last one tells the client to close.
    async fn decide_close(&mut self) -> CloseDecision {
        let state = self.connection.state();
        match state {
            ConnectionState::InRequest => CloseDecision::KeepOpen,
            ConnectionState::Idle if self.connection.has_pipelined_request(self.stream) => {
                CloseDecision::KeepOpen
            }
            // What is in the kernel's buffer has arrived, though hyper has not seen it: it may be the rest of
            // a request, or a new one on an idle connection.
            ConnectionState::Reading | ConnectionState::Idle
                if self.stream.has_unread_data() || self.connection.is_unused() =>
            {
                self.poll_before_close(state).await
            }
            ConnectionState::Reading => CloseDecision::Drop,
            ConnectionState::Idle => CloseDecision::CloseGracefully,
        }
    }

    /// Polls the connection once more for what may have arrived, and decides by whether anything has.
    async fn poll_before_close(&mut self, state: ConnectionState) -> CloseDecision {
        let requests_served = self.connection.requests_served();
        if timeout(CLOSE_GRACE_PERIOD, self.poll_until_closed()).await.is_ok() {
            // It has closed itself.
            return CloseDecision::Drop;
        }
        if self.connection.state() != state || self.connection.requests_served() != requests_served {
            self.connection.cancel_eviction();
            return CloseDecision::KeepOpen;
        }
        // Guards the descriptors against clients that send nothing, or never the rest: no response could
        // still be on its way to them.
        if state == ConnectionState::Reading || requests_served == 0 {
            return CloseDecision::Drop;
        }
        CloseDecision::CloseGracefully
    }

    /// Lets the connection write what is buffered; returns whether it may be dropped then. It may not while a
    /// request is open that has arrived meanwhile.
    async fn close_gracefully(&mut self) -> bool {
        self.http.as_mut().graceful_shutdown();
        timeout(CLOSE_TIMEOUT, self.poll_until_closed()).await.is_ok()
            || self.connection.state() != ConnectionState::InRequest
    }

    /// Drives the connection until it has closed, or its client has disconnected with a request open.
    async fn poll_until_closed(&mut self) {
        poll_fn(|cx| self.poll_closed(cx)).await;
    }

    fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        // hyper comes first, so that a request which it starts is seen below. It answers malformed input
        // itself.
        if self.http.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        match self.connection.state() {
            // Dropping the request's future then notifies the dispatcher.
            ConnectionState::InRequest => self.stream.poll_disconnected(cx),
            // hyper reads, and notices the end itself.
            ConnectionState::Idle | ConnectionState::Reading => Poll::Pending,
        }
    }
}
