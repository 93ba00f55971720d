//! The list of app servers: starts from what is known, lists, watches, and comes back after failures.

use crate::backoff::{Pace, LAST, SOON_MOST, TOLD};
use crate::driver::Driver;
use crate::objects::{Objects, Unreadable, LONGEST};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

/// The list or a change of it.
#[derive(Clone, Debug, Deserialize)]
pub struct Listing {
    /// Its version.
    pub rev: u64,
    /// Whether what it lacks is gone.
    pub all: bool,
    /// The entries.
    #[serde(default)]
    pub targets: Vec<Target>,
}

/// One app server on the list.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// Its name, the same at every node.
    pub uid: String,
    /// Where it listens; one that is gone need not listen anywhere.
    pub endpoint: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its cell.
    #[serde(default)]
    pub pod_group: u32,
    /// Its state.
    pub state: TargetState,
    /// Its size against the others.
    #[serde(default = "one")]
    pub capacity_hint: f64,
    /// When it last started, in Unix time; 0 for long ago.
    #[serde(default)]
    pub boot_ms: f64,
}

/// State of an app server on the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum TargetState {
    /// Takes requests.
    Serving,
    /// Finishes what it has.
    Draining,
    /// Removed.
    Deleted,
}

fn one() -> f64 {
    1.0
}

/// Longest time for an answer where calls are not free, from the call's beginning: discovery itself fails a call
/// that has waited 2 s for its turn.
pub const ANSWER: Duration = Duration::from_millis(2200);
/// Where calls are free the agent answers at once or, while discovery is down, not at all. What it gets at
/// discovery's return counts as told at once, but a call that it has left unanswered may never be: each one
/// is waited for no longer than this ...
const ANSWER_FREE: Duration = Duration::from_millis(600);
/// ... and another is made beside it after this time, well within the grace for a drain.
const AGAIN_FREE: Duration = Duration::from_millis(150);
/// A watch has an empty line every 2 s; one that is silent for half as long again is dead without having said
/// so. What a silent watch misses counts as told after 6 s: the rest is for opening the next one.
const SILENCE: Duration = Duration::from_secs(3);
// What is missed while a call fails, or a watch is silent, comes with the next call in time.
const _: () = assert!(2 * ANSWER.as_millis() + LAST.as_millis() <= TOLD.as_millis());
const _: () = assert!(SILENCE.as_millis() + SOON_MOST.as_millis() + ANSWER.as_millis() <= TOLD.as_millis());
/// An object is written in one piece, on one line or on several. One that stops half way for this long has
/// lost its end, and what comes next would be read as the rest of it.
const PIECE: Duration = Duration::from_millis(250);

/// What went wrong with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// No connection, no answer, or the answer ended.
    Lost,
    /// The watch has fallen silent.
    Silent,
    /// An answer or an object that cannot be read: the list must be fetched anew.
    Unreadable,
}

impl From<Unreadable> for Trouble {
    fn from(_: Unreadable) -> Self {
        Trouble::Unreadable
    }
}

/// Keeps the driver informed for as long as the node runs, by the agent that was named last.
pub async fn follow(
    driver: Rc<Driver>,
    mut agents: watch::Receiver<SocketAddr>,
    known: Option<u64>,
    mut pace: Pace,
) {
    let mut rev = known;
    loop {
        let agent = *agents.borrow_and_update();
        tokio::select! {
            () = follow_one(&driver, agent, rev, &mut pace) => {}
            changed = agents.changed() => if changed.is_err() {
                // None will be named any more, so the last one is followed to the end.
                follow_one(&driver, agent, None, &mut pace).await;
            }
        }
        // Another agent counts its versions anew. Until its list has come the old one holds.
        rev = None;
    }
}

async fn follow_one(driver: &Rc<Driver>, agent: SocketAddr, mut rev: Option<u64>, pace: &mut Pace) {
    // A watch from the version held brings all that has changed since: only who holds none, or has read what
    // cannot be read, needs the whole list, the dearer call where calls are counted by lines.
    let mut whole = rev.is_none();
    sleep(if whole { pace.soon() } else { pace.first() }).await;
    loop {
        if whole {
            if let Ok(listing) = list(agent, pace.free()).await {
                rev = Some(listing.rev);
                driver.list(listing);
                driver.heard();
                whole = false;
                pace.succeeded();
            }
        }
        // A watch brings the list too where fetching it failed, so it is tried all the same.
        let mut news = 0;
        let Err(trouble) = stream(agent, pace.free(), driver, &mut rev, &mut news).await;
        whole |= trouble == Trouble::Unreadable;
        // Only a watch that has brought more than its first news counts as a success: discovery that
        // accepts and hangs up, as it does when its line is too long, or answers nonsense, is not called in
        // a tight loop.
        let stood = news > 1;
        if stood {
            pace.succeeded();
        }
        sleep(if stood && trouble == Trouble::Silent { pace.soon() } else { pace.failed() }).await;
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
    _connection: Connection,
}

/// Calls until there is an answer or all that was tried has failed.
async fn call(agent: SocketAddr, path: String, free: bool) -> Option<Call> {
    if !free {
        return call_once(agent, path, ANSWER).await;
    }
    let mut calls = JoinSet::new();
    let mut again = interval(AGAIN_FREE);
    again.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = again.tick() => {
                calls.spawn_local(call_once(agent, path.clone(), ANSWER_FREE));
            }
            Some(ended) = calls.join_next() => match ended {
                Ok(Some(call)) => return Some(call),
                _ if calls.is_empty() => return None,
                _ => {}
            }
        }
    }
}

/// One call, which has `longest` for its connection and its answer's head together.
async fn call_once(agent: SocketAddr, path: String, longest: Duration) -> Option<Call> {
    timeout(longest, begin(agent, path)).await.ok()?
}

async fn begin(agent: SocketAddr, path: String) -> Option<Call> {
    let stream = TcpStream::connect(agent).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let connection = Connection(tokio::task::spawn_local(connection).abort_handle());
    let request = Request::get(path).header("host", agent.to_string()).body(Empty::<Bytes>::new()).ok()?;
    let answer = sender.send_request(request).await.ok()?;
    (answer.status() == StatusCode::OK).then(|| Call { body: answer.into_body(), _connection: connection })
}

async fn list(agent: SocketAddr, free: bool) -> Result<Listing, Trouble> {
    let whole = async {
        let mut call = call(agent, "/discovery/hosts".to_owned(), free).await.ok_or(Trouble::Lost)?;
        let body = http_body_util::Limited::new(&mut call.body, LONGEST).collect();
        // Where calls are free they go on until one is answered, and only its rest is waited for.
        let longest = if free { ANSWER_FREE } else { ANSWER };
        timeout(longest, body).await.map_err(|_| Trouble::Lost)?.map_err(|_| Trouble::Lost)
    };
    let body = if free { whole.await } else { timeout(ANSWER, whole).await.map_err(|_| Trouble::Lost)? }?;
    serde_json::from_slice(&body.to_bytes()).map_err(|_| Trouble::Unreadable)
}

/// Watches the list for as long as that lasts, and counts the news: objects, and lines that say nothing.
async fn stream(
    agent: SocketAddr,
    free: bool,
    driver: &Rc<Driver>,
    rev: &mut Option<u64>,
    news: &mut u32,
) -> Result<Infallible, Trouble> {
    let path = format!("/discovery/hosts?stream=1&index={}", rev.unwrap_or(0));
    let mut call = call(agent, path, free).await.ok_or(Trouble::Lost)?;
    let mut objects = Objects::default();
    loop {
        let (longest, trouble) =
            if objects.begun() { (PIECE, Trouble::Unreadable) } else { (SILENCE, Trouble::Silent) };
        let frame = timeout(longest, call.body.frame()).await.map_err(|_| trouble)?;
        let frame = frame.ok_or(Trouble::Lost)?.map_err(|_| Trouble::Lost)?;
        let Ok(data) = frame.into_data() else { continue };
        if !objects.begun() {
            *news = news.saturating_add(1);
        }
        objects.push(&data);
        while let Some(object) = objects.next()? {
            let listing: Listing = serde_json::from_slice(&object).map_err(|_| Trouble::Unreadable)?;
            *rev = Some(listing.rev);
            driver.list(listing);
            driver.heard();
        }
    }
}
