//! The list of app servers: starts from what is known, lists, watches, and comes back after failures.

use crate::dispatcher::Dispatcher;
use crate::io::resilient_stream::ResilientStream;
use crate::telemetry::metrics::METRICS;
use bytes::Bytes;
use edge_gateway::{
    EndpointList, EndpointListError, EndpointListParser, PollBackoff, MAX_START_JITTER,
    NOTIFICATION_DEADLINE, RESPONSE_TIMEOUT,
};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{interval, sleep, timeout, timeout_at, Instant, MissedTickBehavior};

/// Where calls are free the agent answers at once or, while discovery is down, not at all. What it gets at
/// discovery's return counts as told at once, but a call that it has left unanswered may never be: each one
/// is waited for no longer than this ...
const ANSWER_FREE: Duration = Duration::from_millis(600);
/// ... and another is made beside it after this time, well within the grace for a drain.
const AGAIN_FREE: Duration = Duration::from_millis(150);
/// An agent that was seen to take longer to answer has several times that time: else it would be kept busy with calls
/// that were given up. Whoever answers at once, or not at all, is called as often as before.
const AGAIN_FACTOR: u32 = 2;
const ANSWER_FACTOR: u32 = 4;
/// A watch has an empty line every 2 s; one that is silent for half as long again is dead without having said
/// so. What a silent watch misses counts as told after 6 s: the rest is for opening the next one.
const SILENCE: Duration = Duration::from_secs(3);
// What is missed while a watch is silent comes with the next call in time.
const _: () = assert!(
    SILENCE.as_millis() + MAX_START_JITTER.as_millis() + RESPONSE_TIMEOUT.as_millis()
        <= NOTIFICATION_DEADLINE.as_millis()
);
/// An object is written in one piece, on one line or on several. One that stops half way for this long has
/// lost its end, and what comes next would be read as the rest of it.
const PIECE: Duration = Duration::from_millis(250);
/// Discovery may be slow in writing one, so that each time this was in vain twice as long is waited, up to this. It
/// leaves time for a list behind an object that has lost its end.
const PIECE_MOST: Duration = Duration::from_secs(1);
/// And a whole object, which has `ANSWER` at first, up to this.
const WHOLE_MOST: Duration = Duration::from_secs(5);

/// What went wrong with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallError {
    /// No connection, no answer, or a watch that ended between two objects.
    Lost,
    /// The watch has fallen silent.
    Silent,
    /// The answer was another than good.
    Refused,
    /// The answer ended within an object.
    Cut,
    /// The answer stopped within an object: it has lost its end, or comes slowly. The list must be fetched anew.
    Stalled,
    /// The answer is unreadable or too long: the list must be fetched anew.
    Unusable,
    /// Only changes were told where no list is held: it must be fetched.
    Partial,
}

impl CallError {
    fn name(self) -> &'static str {
        match self {
            CallError::Lost => "lost",
            CallError::Silent => "silent",
            CallError::Refused => "refused",
            CallError::Cut => "cut",
            CallError::Stalled => "stalled",
            CallError::Unusable => "unusable",
            CallError::Partial => "partial",
        }
    }
}

impl From<EndpointListError> for CallError {
    fn from(_: EndpointListError) -> Self {
        CallError::Unusable
    }
}

/// Follows the list of app servers and keeps the driver informed.
pub struct Discovery {
    dispatcher: Rc<Dispatcher>,
    backoff: PollBackoff,
    /// How long the next piece of an object is waited for.
    piece: Duration,
    /// How long an object is waited for from its beginning to its end.
    whole: Duration,
    /// How long the last answer took to begin.
    answered_in: Cell<Duration>,
    /// The agent that was named last has told something.
    heard: Rc<Cell<bool>>,
    /// Most entries that are believed in one list.
    max_endpoints: usize,
}

impl Discovery {
    /// One that has not called yet.
    pub fn new(dispatcher: Rc<Dispatcher>, backoff: PollBackoff, max_endpoints: usize) -> Self {
        Self {
            dispatcher,
            backoff,
            piece: PIECE,
            whole: RESPONSE_TIMEOUT,
            answered_in: Cell::default(),
            heard: Rc::default(),
            max_endpoints,
        }
    }

    /// Runs for as long as the node does, and calls the agent that was named last. `known` is the version of
    /// the list that the driver has.
    pub async fn follow(mut self, mut agents: watch::Receiver<SocketAddr>, known: Option<u64>) {
        let mut rev = known;
        loop {
            let agent = *agents.borrow_and_update();
            self.heard.set(false);
            let heard = self.heard.clone();
            tokio::select! {
                () = self.follow_one(agent, rev) => {}
                moved = named_anew(&mut agents, agent, &heard) => if moved.is_err() {
                    // None will be named any more, so the last one is followed to the end.
                    self.follow_one(agent, None).await;
                }
            }
            // Another agent counts its versions anew. Until its list has come the old one holds.
            rev = None;
        }
    }

    async fn follow_one(&mut self, agent: SocketAddr, mut rev: Option<u64>) {
        // A watch from the version held brings all that has changed since: only who holds none, or has read
        // what cannot be read, needs the whole list, the dearer call where calls are counted by lines.
        let mut whole = rev.is_none();
        sleep(if whole { self.backoff.short_jitter() } else { self.backoff.first_delay() }).await;
        loop {
            if whole {
                match self.list(agent).await {
                    Ok(listed) => {
                        rev = Some(listed);
                        whole = false;
                    }
                    // A watch would bring the same list at once.
                    Err(
                        trouble @ (CallError::Refused
                        | CallError::Cut
                        | CallError::Stalled
                        | CallError::Unusable),
                    ) => {
                        self.note(trouble);
                        sleep(self.backoff.delay_after_invalid_response()).await;
                    }
                    Err(CallError::Lost | CallError::Silent | CallError::Partial) => {}
                }
            }
            // A watch brings the list too where fetching it failed, so it is tried all the same.
            let mut news = 0;
            let Err(trouble) = self.watch(agent, &mut rev, &mut news).await;
            self.note(trouble);
            whole |= matches!(trouble, CallError::Stalled | CallError::Unusable | CallError::Partial);
            // Only a watch that has brought more than its first news counts as a success: discovery that
            // accepts and hangs up, as it does when its line is too long, or answers nonsense, is not called
            // in a tight loop.
            let stood = news > 1;
            if stood {
                self.backoff.reset();
            }
            let wait = match trouble {
                CallError::Silent if stood => self.backoff.short_jitter(),
                CallError::Refused | CallError::Cut | CallError::Stalled | CallError::Unusable => {
                    self.backoff.delay_after_invalid_response()
                }
                CallError::Lost | CallError::Silent | CallError::Partial => {
                    self.backoff.delay_after_failure()
                }
            };
            sleep(wait).await;
        }
    }

    /// Learns from what went wrong how long a piece may take.
    fn note(&mut self, trouble: CallError) {
        METRICS.discovery(trouble.name());
        tracing::debug!(trouble = trouble.name(), "a call to discovery has ended");
        if trouble == CallError::Stalled {
            self.piece = (self.piece * 2).min(PIECE_MOST);
            self.whole = (self.whole * 2).min(WHOLE_MOST);
        }
    }

    /// Fetches the whole list and gives its version.
    async fn list(&self, agent: SocketAddr) -> Result<u64, CallError> {
        let call = self.call(agent, "/discovery/hosts".to_owned());
        let mut call = timeout(RESPONSE_TIMEOUT, call).await.map_err(|_| CallError::Lost)??;
        let whole_by = Instant::now() + self.whole;
        let mut reader = EndpointListParser::new(self.max_endpoints);
        let mut listed = None;
        while listed.is_none() {
            let begun = reader.in_progress();
            let silent = if begun { self.piece } else { ANSWER_FREE };
            let longest = whole_by.min(Instant::now() + silent);
            let data = call.read(longest).await.map_err(|end| match end {
                ReadError::Silent if begun => CallError::Stalled,
                ReadError::Silent | ReadError::Ended => CallError::Unusable,
            })?;
            reader.push(&data, |listing| listed = Some(self.tell(listing)))?;
        }
        listed.ok_or(CallError::Unusable)
    }

    /// Watches the list for as long as that lasts, and counts the news: objects, and lines that say nothing.
    async fn watch(
        &self,
        agent: SocketAddr,
        rev: &mut Option<u64>,
        news: &mut u32,
    ) -> Result<Infallible, CallError> {
        let path = format!("/discovery/hosts?stream=1&index={}", rev.unwrap_or(0));
        let mut call = self.call(agent, path).await?;
        let mut reader = EndpointListParser::new(self.max_endpoints);
        // When the object that has begun must be whole.
        let mut whole_by = Instant::now();
        loop {
            let begun = reader.in_progress();
            let longest =
                if begun { whole_by.min(Instant::now() + self.piece) } else { Instant::now() + SILENCE };
            let data = call.read(longest).await.map_err(|end| match end {
                ReadError::Silent if begun => CallError::Stalled,
                ReadError::Silent => CallError::Silent,
                ReadError::Ended if begun => CallError::Cut,
                ReadError::Ended => CallError::Lost,
            })?;
            if !begun {
                *news = news.saturating_add(1);
                whole_by = Instant::now() + self.whole;
            }
            let mut partial = false;
            reader.push(&data, |listing| {
                // Who holds no list learns from changes alone of what there is, and of nothing that has gone.
                partial |= rev.is_none() && !listing.is_snapshot;
                *rev = Some(self.tell(listing));
                whole_by = Instant::now() + self.whole;
            })?;
            if partial {
                return Err(CallError::Partial);
            }
        }
    }

    /// Calls until there is an answer or all that was tried has failed.
    async fn call(&self, agent: SocketAddr, path: String) -> Result<Call, CallError> {
        if !self.backoff.polls_are_free() {
            return call_once(agent, path, RESPONSE_TIMEOUT).await;
        }
        let answer = (self.answered_in.get() * ANSWER_FACTOR).clamp(ANSWER_FREE, RESPONSE_TIMEOUT);
        let spacing = (self.answered_in.get() * AGAIN_FACTOR).clamp(AGAIN_FREE, answer);
        let mut calls = JoinSet::new();
        let mut again = interval(spacing);
        again.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut patient_until = Instant::now();
        loop {
            tokio::select! {
                _ = again.tick() => {
                    // One of them waits for long, so that an agent that is slow to begin is heard at all.
                    let patient = Instant::now() >= patient_until;
                    let longest = if patient { RESPONSE_TIMEOUT } else { answer };
                    if patient {
                        patient_until = Instant::now() + longest;
                    }
                    calls.spawn_local(call_once(agent, path.clone(), longest));
                }
                Some(ended) = calls.join_next() => match ended {
                    Ok(Ok(call)) => {
                        self.answered_in.set(call.answered_in);
                        return Ok(call);
                    }
                    Ok(Err(trouble)) if calls.is_empty() => return Err(trouble),
                    Err(_) if calls.is_empty() => return Err(CallError::Lost),
                    _ => {}
                }
            }
        }
    }

    /// Hands a listing on and gives its version.
    fn tell(&self, listing: EndpointList) -> u64 {
        let rev = listing.version;
        METRICS.discovery("told");
        tracing::debug!(
            rev,
            all = listing.is_snapshot,
            targets = listing.endpoints.len(),
            "told by discovery"
        );
        self.dispatcher.update_endpoints(listing);
        self.dispatcher.discovery_responded();
        self.heard.set(true);
        rev
    }
}

/// Ready once an agent is named that must be called anew. The one that is being called already need not: signals in
/// quick succession would keep each call from being answered.
async fn named_anew(
    agents: &mut watch::Receiver<SocketAddr>,
    present: SocketAddr,
    heard: &Cell<bool>,
) -> Result<(), watch::error::RecvError> {
    loop {
        agents.changed().await?;
        if *agents.borrow_and_update() != present || heard.get() {
            return Ok(());
        }
    }
}

/// A connection of its own for each call; it ends with this.
struct Connection(AbortHandle);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An answer that has begun.
struct Call {
    body: Incoming,
    /// How long it took to begin.
    answered_in: Duration,
    _connection: Connection,
}

/// Why an answer's body brought nothing more.
enum ReadError {
    /// Nothing came in time.
    Silent,
    /// It has ended or its connection broke.
    Ended,
}

impl Call {
    /// The next piece of the body, which has until then to come.
    async fn read(&mut self, until: Instant) -> Result<Bytes, ReadError> {
        loop {
            let frame = timeout_at(until, self.body.frame()).await.map_err(|_| ReadError::Silent)?;
            let frame = frame.ok_or(ReadError::Ended)?.map_err(|_| ReadError::Ended)?;
            if let Ok(data) = frame.into_data() {
                return Ok(data);
            }
        }
    }
}

/// One call, which has `longest` for its connection and its answer's head together.
async fn call_once(agent: SocketAddr, path: String, longest: Duration) -> Result<Call, CallError> {
    timeout(longest, begin(agent, path)).await.unwrap_or(Err(CallError::Lost))
}

async fn begin(agent: SocketAddr, path: String) -> Result<Call, CallError> {
    let begun = Instant::now();
    let stream = TcpStream::connect(agent).await.map_err(|_| CallError::Lost)?;
    stream.set_nodelay(true).map_err(|_| CallError::Lost)?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(ResilientStream::new(stream)));
    let (mut sender, connection) = handshake.await.map_err(|_| CallError::Lost)?;
    let connection = Connection(tokio::task::spawn_local(connection).abort_handle());
    let request = Request::get(path).header("host", agent.to_string());
    let request = request.body(Empty::<Bytes>::new()).map_err(|_| CallError::Lost)?;
    let answer = sender.send_request(request).await.map_err(|_| CallError::Lost)?;
    if answer.status() != StatusCode::OK {
        return Err(CallError::Refused);
    }
    Ok(Call { body: answer.into_body(), answered_in: begun.elapsed(), _connection: connection })
}
