//! The side of the clients: accepts connections, reads and checks requests, and writes the one answer to
//! each.

pub mod accept_backoff;
mod connection;
mod request;
pub mod request_head;

use crate::answer::Answer;
use crate::client::accept_backoff::AcceptFailures;
use crate::client::request_head::RequestHeadParser;
use crate::dispatcher::{ClientRequest, Dispatcher, UpstreamRequest};
use crate::io::read_ahead::ReadAheadStream;
use crate::io::resource_exhaustion::RESOURCE_EXHAUSTION_PAUSE;
use crate::telemetry::metrics::{CloseReason, Violation, METRICS};
use bytes::Bytes;
use connection::{Client, Phase, Served, MIN_READING_TIME};
use edge_gateway::{Millis, RequestId};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use request::{end_to_end, length_of, plain, read_body, retry_after_value, Unfit};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep, timeout, Instant};

/// So many bytes behind a request are the beginning of a next one: no request line is shorter.
const NEXT_LEAST: u64 = 16;
/// Most that hyper holds of a connection's input at once; more than any request's head needs.
const BUFFER: usize = 16 << 10;
/// And is listened to for this much longer before it is closed, as is one of which something lies unread: what
/// it has sent may not have been seen yet.
const LAST_LOOK: Duration = Duration::from_millis(10);
/// One part in so many of the connections is kept free for those that come next.
const ROOM_PART: usize = 8;
/// Period in which connections are looked through.
const LOOK: Duration = Duration::from_millis(200);
/// Time in which a connection that is to close may write what it still has.
const CLOSING: Duration = Duration::from_secs(1);
/// After the signal to end, idle connections are kept this long: clients go on using what stays open, and
/// new connections come for up to 0.4 s.
const WIND_UP_IDLE: Duration = Duration::from_millis(500);
/// And new ones are taken for this much longer, for requests that crossed the end of an idle one.
const WIND_UP_ACCEPT: Duration = Duration::from_millis(150);
/// What waits in the kernel's queue then is accepted for this long, should that fail: behind it too little time is
/// left before the node is killed.
const ACCEPT_LAST: Duration = Duration::from_secs(2);
/// The node is left this long after the signal to end, beyond the longest time that a client waits ...
const KILL: Millis = 700.0;
/// ... which counts for no more than this.
const KILL_WAIT_MOST: Millis = 3_000.0;
/// Kept before the kill for the answers to go out.
const KILL_MARGIN: Millis = 200.0;
/// A request that is only now coming in on a connection just accepted is given this long then.
const FIRST_REQUEST: Duration = Duration::from_millis(50);

/// Accepts clients and serves them.
pub struct Server {
    dispatcher: Rc<Dispatcher>,
    reader: RequestHeadParser,
    most: usize,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    next: Cell<u64>,
    /// A connection has ended.
    freed: Notify,
    /// The signal to end has come.
    ending: Cell<bool>,
    /// No more connections are to be accepted.
    stop: Notify,
}

impl Server {
    /// A server with no connection yet, and never more than `most`.
    pub fn new(dispatcher: Rc<Dispatcher>, reader: RequestHeadParser, most: usize) -> Rc<Self> {
        Rc::new(Self {
            dispatcher,
            reader,
            most,
            clients: RefCell::default(),
            next: Cell::new(0),
            freed: Notify::new(),
            ending: Cell::new(false),
            stop: Notify::new(),
        })
    }

    /// Accepts connections until told to stop.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut look = interval(LOOK);
        let mut failures = AcceptFailures::default();
        loop {
            // Guards the descriptors: at the bound another client makes room, or the next waits in the
            // kernel's queue until one ends.
            self.make_room();
            if failures.kept_waiting() {
                self.accept_waiting(&listener, &mut failures);
            }
            let full = self.clients.borrow().len() >= self.most;
            if full {
                failures.full();
            }
            tokio::select! {
                () = self.freed.notified(), if full => {}
                accepted = listener.accept(), if !full => match accepted {
                    Ok((stream, _)) => self.take(stream, failures.succeeded()),
                    Err(error) => failures.wait(&error).await,
                },
                _ = look.tick() => self.close_overdue(),
                () = self.stop.notified() => break,
            }
        }
        if timeout(ACCEPT_LAST, self.accept_rest(&listener)).await.is_err() {
            tracing::error!("connections are left in the queue: none could be accepted");
        }
    }

    /// Accepts what has waited in the kernel's queue while accepting failed or there was no room, up to the bound or
    /// the next failure. Asked past tokio, so that an empty queue is known before the next one comes.
    fn accept_waiting(self: &Rc<Self>, listener: &TcpListener, failures: &mut AcceptFailures) {
        while self.clients.borrow().len() < self.most {
            match accept_now(listener) {
                Ok(stream) => self.take(stream, failures.succeeded()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return failures.queue_is_empty(),
                Err(_) => return,
            }
        }
    }

    /// Accepts what waits in the kernel's queue: what the machine has accepted by now counts as taken. Asked past
    /// tokio, which may not have heard yet.
    async fn accept_rest(self: &Rc<Self>, listener: &TcpListener) {
        let mut failures = AcceptFailures::default();
        loop {
            self.make_room();
            if self.clients.borrow().len() >= self.most {
                failures.full();
                let _ = timeout(RESOURCE_EXHAUSTION_PAUSE, self.freed.notified()).await;
                continue;
            }
            match accept_now(listener) {
                Ok(stream) => self.take(stream, failures.succeeded()),
                // None is left.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => failures.wait(&error).await,
            }
        }
    }

    /// Ends in good order: whoever comes or stays is still served, and told to go elsewhere next.
    pub async fn wind_up(&self, accepting: JoinHandle<()>) {
        self.ending.set(true);
        let wait = self.reader.longest_deadline().min(KILL_WAIT_MOST);
        self.dispatcher.set_shutdown_deadline(self.dispatcher.now() + wait + KILL - KILL_MARGIN);
        sleep(WIND_UP_IDLE).await;
        self.close_idle(FIRST_REQUEST);
        sleep(WIND_UP_ACCEPT).await;
        self.stop.notify_one();
        while !accepting.is_finished() || !self.clients.borrow().is_empty() {
            self.close_idle(FIRST_REQUEST);
            let _ = timeout(FIRST_REQUEST / 2, self.freed.notified()).await;
        }
    }

    /// Closes connections ahead of the bound, those that can best be spared: ones that have never asked before
    /// ones that asked once, and these before those that are used again and again. Several at a time, since
    /// each takes some time to end and hundreds may come at one moment.
    fn make_room(&self) {
        let clients = self.clients.borrow();
        let wanted = self.most - self.most / ROOM_PART;
        if clients.len() <= wanted {
            return;
        }
        let staying = clients.len() - clients.values().filter(|c| c.leaving.get()).count();
        let mut spare: Vec<_> = clients.values().filter_map(|c| Some((c.gives_way()?, c))).collect();
        spare.sort_unstable_by_key(|(way, _)| *way);
        for (_, client) in spare.into_iter().take(staying.saturating_sub(wanted)) {
            client.leaving.set(true);
            client.close_for(CloseReason::ConnectionLimit);
        }
    }

    /// Closes what has stayed idle, or has not brought a whole request, for too long.
    fn close_overdue(&self) {
        let clients = self.clients.borrow();
        for client in clients.values() {
            if client.allowed().is_some_and(|allowed| client.since.get().elapsed() >= allowed) {
                client.close_for(CloseReason::Timeout);
            }
        }
    }

    /// Closes the connections on which nothing has been open for some time.
    fn close_idle(&self, least: Duration) {
        let clients = self.clients.borrow();
        for client in clients.values() {
            let idle = match client.phase.get() {
                Phase::Open => false,
                Phase::Reading => client.since.get().elapsed() >= least.max(MIN_READING_TIME),
                Phase::Idle => client.since.get().elapsed() >= least,
            };
            if idle {
                client.close_for(CloseReason::Shutdown);
            }
        }
    }

    /// Serves a connection; `since` says since when it may have waited to be accepted, if that is not now.
    fn take(self: &Rc<Self>, stream: TcpStream, since: Option<Instant>) {
        let number = self.next.get();
        self.next.set(number + 1);
        let client = Rc::new(Client::new());
        self.clients.borrow_mut().insert(number, client.clone());
        let registered = Registered { server: self.clone(), number };
        tokio::task::spawn_local(async move {
            let server = registered.server.clone();
            // A socket that takes no options is broken, which the first read will tell as well.
            let _ = stream.set_nodelay(true);
            server.serve(stream, client, since).await;
            drop(registered);
        });
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, client: Rc<Client>, since: Option<Instant>) {
        let reader = client.clone();
        let inbound = ReadAheadStream::new(stream, since, move || {
            reader.reading();
        });
        let service = service_fn(|request| {
            let (server, client, stream) = (self.clone(), client.clone(), inbound.clone());
            async move {
                let _served = Served(client.clone());
                server.answer(request, &client, &stream).await
            }
        });
        let connection = http1::Builder::new()
            .max_buf_size(BUFFER)
            .serve_connection(TokioIo::new(inbound.clone()), service);
        let mut connection = pin!(connection);
        loop {
            tokio::select! {
                biased;
                () = poll_fn(|cx| poll_end(connection.as_mut(), &client, &inbound, cx)) => return,
                () = client.close.notified() => {}
            }
            let (phase, served) = (client.phase.get(), client.served.get());
            match phase {
                // The word came too late: a request has come in whole meanwhile, and is answered, as are those that
                // came with it. The last of them is answered with the word to leave.
                Phase::Open => continue,
                Phase::Idle if has_more(&client, &inbound) => continue,
                // What lies in the kernel's buffer has come, though hyper has not seen it: it may be the rest of a
                // request, or one on a connection that rested.
                Phase::Reading | Phase::Idle if inbound.has_unread_data() || client.is_silent() => {
                    let end = poll_fn(|cx| poll_end(connection.as_mut(), &client, &inbound, cx));
                    if timeout(LAST_LOOK, end).await.is_ok() {
                        return;
                    }
                    if client.phase.get() != phase || client.served.get() != served {
                        client.leaving.set(false);
                        continue;
                    }
                    // Guards the descriptors against clients that send nothing, or never the rest: there is no
                    // answer that could still be on its way to them.
                    if phase == Phase::Reading || served == 0 {
                        return;
                    }
                }
                Phase::Reading => return,
                Phase::Idle => {}
            }
            connection.as_mut().graceful_shutdown();
            let end = poll_fn(|cx| poll_end(connection.as_mut(), &client, &inbound, cx));
            if timeout(CLOSING, end).await.is_ok() || client.phase.get() != Phase::Open {
                return;
            }
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        client: &Client,
        inbound: &ReadAheadStream,
    ) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let begun = client.reading();
        client.consumed.set(client.consumed.get() + length_of(&request));
        let (mut response, stays) = if request.uri().path() == "/up" {
            (self.up(&request), true)
        } else {
            match self.read(request, begun, inbound.received_at()).await {
                // The client may have left before this node looked: tokio may not have heard yet, and a
                // connection to an app server that stands takes the request at once.
                Ok(_) if inbound.is_at_end() => {
                    (plain(StatusCode::BAD_REQUEST, "the client has left"), false)
                }
                Ok(ask) => {
                    client.enter(Phase::Open);
                    match self.ask(ask, inbound).await {
                        Some(response) => (response, true),
                        None => (plain(StatusCode::CONFLICT, "a request of this id is open"), false),
                    }
                }
                Err(Unfit::Answer(status, what)) => (plain(status, what), false),
                Err(Unfit::Lost(error)) => return Err(error),
            }
        };
        // Guards against what may lie behind a request that was not read to its end or by its own rules, and
        // against a client that goes on with more of the kind at full speed.
        if self.leaves(client, inbound) || !stays || inbound.has_overflowed() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    /// Whether the client is told to leave with its answer: the node ends, or its place is needed. What has been read
    /// beyond that request is answered first, and the connection closed once it rests.
    fn leaves(&self, client: &Client, inbound: &ReadAheadStream) -> bool {
        (self.ending.get() || client.leaving.get())
            && !has_more(client, inbound)
            && !inbound.has_unread_data()
    }

    fn up(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        if request.method() != Method::GET {
            return plain(StatusCode::METHOD_NOT_ALLOWED, "only GET");
        }
        if self.ending.get() || !self.dispatcher.is_ready() {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "not ready");
        }
        plain(StatusCode::OK, "up")
    }

    /// The answer to a request, or `None` if one of its id is open.
    async fn ask(&self, ask: ClientRequest, inbound: &ReadAheadStream) -> Option<Response<Full<Bytes>>> {
        let id = ask.head.id.clone();
        let answer = self.dispatcher.receive_request(ask)?;
        // This future is dropped when the client ends its connection.
        let mut leaving = Leaving { dispatcher: &self.dispatcher, inbound, id: Some(id) };
        let answer = answer.await;
        leaving.id = None;
        Some(match answer {
            Ok(Answer::Served(body, content_type)) => {
                let mut response = Response::new(Full::new(body));
                if let Some(content_type) = content_type {
                    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
                }
                response
            }
            Ok(Answer::Rejected(retry_after)) => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused; nothing was run");
                if let Some(value) = retry_after_value(retry_after) {
                    response.headers_mut().insert(header::RETRY_AFTER, value);
                }
                response
            }
            Ok(Answer::DeadlineExceeded) => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
            Ok(Answer::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY, "failed"),
        })
    }

    /// Reads a whole request, the first byte of which came at `begun` and the end of whose head at `received_at`.
    async fn read(
        &self,
        request: Request<Incoming>,
        begun: Instant,
        received_at: Instant,
    ) -> Result<ClientRequest, Unfit> {
        let arrived_at = self.dispatcher.now() - received_at.elapsed().as_secs_f64() * 1000.0;
        let (parts, body) = request.into_parts();
        // Guards against a second request hidden in a body. hyper drops `Content-Length` where there is a
        // `Transfer-Encoding`, so whether there were both cannot be told; clients send a length.
        if parts.headers.contains_key(header::TRANSFER_ENCODING) {
            return Err(Unfit::Answer(StatusCode::LENGTH_REQUIRED, "a body needs Content-Length"));
        }
        let bad = |what| Unfit::Answer(StatusCode::BAD_REQUEST, what);
        let head = self.reader.read(&parts).map_err(bad)?;
        if parts.method == Method::GET && !body.is_end_stream() {
            return Err(bad("a GET has no body"));
        }
        let body =
            if body.is_end_stream() { Bytes::new() } else { read_body(body, head.timeout, begun).await? };
        let message = UpstreamRequest {
            method: parts.method,
            uri: parts.uri,
            headers: end_to_end(parts.headers),
            body,
        };
        Ok(ClientRequest { deadline: arrived_at + head.timeout, head, upstream_request: message })
    }
}

/// Whether hyper holds more than the requests that it has handed on: the beginning of a next one, or all of it.
fn has_more(client: &Client, inbound: &ReadAheadStream) -> bool {
    if inbound.is_drained() {
        // Requests are not all written as their length is reckoned here.
        client.consumed.set(inbound.bytes_read());
        return false;
    }
    inbound.bytes_read() >= client.consumed.get() + NEXT_LEAST
}

/// Goes on with a client's connection; ready once it has ended, or nobody waits for its open request any more.
fn poll_end<C: Future>(
    connection: Pin<&mut C>,
    client: &Client,
    inbound: &ReadAheadStream,
    cx: &mut Context<'_>,
) -> Poll<()> {
    // Malformed input is answered by hyper.
    if connection.poll(cx).is_ready() {
        return Poll::Ready(());
    }
    match client.phase.get() {
        // `Leaving` tells the driver.
        Phase::Open => inbound.poll_disconnected(cx),
        // hyper reads by itself. Its turn comes first, so that a request which it opens is seen here.
        Phase::Idle | Phase::Reading => Poll::Pending,
    }
}

/// Takes a connection from the kernel's queue; the error is `WouldBlock` where there is none.
fn accept_now(listener: &TcpListener) -> io::Result<TcpStream> {
    let (socket, _) = SockRef::from(listener).accept()?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}

/// Tells the driver that the client has left, unless its answer came first.
struct Leaving<'a> {
    dispatcher: &'a Rc<Dispatcher>,
    inbound: &'a ReadAheadStream,
    id: Option<RequestId>,
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            if !self.inbound.is_disconnected() {
                METRICS.violation(Violation::ClosedOpenRequest, &id);
            }
            self.dispatcher.client_disconnected(&id);
        }
    }
}

/// A connection on the server's list, for as long as it lives.
struct Registered {
    server: Rc<Server>,
    number: u64,
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.server.clients.borrow_mut().remove(&self.number);
        self.server.freed.notify_one();
    }
}

#[cfg(test)]
mod tests;
