//! Discovery: one list of all servers, and an agent on each node's machine that tells it.

use super::endpoint::Server;
use super::http::read_message;
use super::oracle::Oracle;
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Time between two empty lines on a watch.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// State of a server on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Takes requests.
    Serving,
    /// Finishes what it has.
    Draining,
    /// Is off the list.
    Gone,
}

struct Entry {
    server: Arc<Server>,
    standing: Standing,
    /// The version of the list in which it last changed, and when.
    rev: u64,
    since: Instant,
}

/// The list, the same for all agents.
pub struct Roster {
    entries: Mutex<Vec<Entry>>,
    rev: watch::Sender<u64>,
}

impl Roster {
    /// A list of servers that serve.
    pub fn new(servers: &[Arc<Server>]) -> Arc<Self> {
        let entry = |server: &Arc<Server>| Entry {
            server: server.clone(),
            standing: Standing::Serving,
            rev: 1,
            since: Instant::now(),
        };
        let entries = servers.iter().map(entry).collect();
        Arc::new(Self { entries: Mutex::new(entries), rev: watch::channel(1).0 })
    }

    fn entries(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A server's state or start has changed.
    pub fn change(&self, uid: &str, standing: Standing) {
        let rev = *self.rev.borrow() + 1;
        for entry in self.entries().iter_mut().filter(|entry| entry.server.uid == uid) {
            (entry.standing, entry.rev, entry.since) = (standing, rev, Instant::now());
        }
        self.rev.send_replace(rev);
    }

    /// A server has restarted: its entry is told anew, whatever its state is by now.
    pub fn restarted(&self, uid: &str) {
        let standing =
            self.entries().iter().find(|entry| entry.server.uid == uid).map(|entry| entry.standing);
        if standing == Some(Standing::Serving) {
            self.change(uid, Standing::Serving);
        }
    }

    /// Adds a server.
    pub fn add(&self, server: Arc<Server>) {
        let rev = *self.rev.borrow() + 1;
        self.entries().push(Entry { server, standing: Standing::Serving, rev, since: Instant::now() });
        self.rev.send_replace(rev);
    }

    /// Servers that serve.
    pub fn serving(&self) -> Vec<Arc<Server>> {
        let entries = self.entries();
        let serving = entries.iter().filter(|entry| entry.standing == Standing::Serving);
        serving.map(|entry| entry.server.clone()).collect()
    }

    /// What has changed since a version, or the whole list, as JSON; with the version and the entries told.
    fn listing(&self, since: u64) -> (u64, Value, Vec<Told>) {
        let rev = *self.rev.borrow();
        let all = since == 0;
        let entries = self.entries();
        let listed =
            entries.iter().filter(|e| if all { e.standing != Standing::Gone } else { e.rev > since });
        let mut told = Vec::new();
        let targets: Vec<Value> = listed
            .map(|entry| {
                let boot_ms = entry.server.boot_ms.load(Ordering::SeqCst);
                told.push(Told { uid: entry.server.uid.clone(), standing: entry.standing, boot_ms });
                let state = match entry.standing {
                    Standing::Serving => "SERVING",
                    Standing::Draining => "DRAINING",
                    Standing::Gone => "DELETED",
                };
                json!({"uid": entry.server.uid, "endpoint": entry.server.address(), "az": entry.server.zone,
                       "model": "m", "pod_group": 0, "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms})
            })
            .collect();
        if all {
            // What a whole list does not name is gone.
            told.extend(entries.iter().filter(|entry| entry.standing == Standing::Gone).map(|entry| Told {
                uid: entry.server.uid.clone(),
                standing: Standing::Gone,
                boot_ms: 0,
            }));
        }
        (rev, json!({"rev": rev, "all": all, "targets": targets}), told)
    }

    /// All servers that drain or are gone, and since when.
    fn leaving(&self) -> Vec<(String, Instant)> {
        let entries = self.entries();
        let leaving = entries.iter().filter(|entry| entry.standing != Standing::Serving);
        leaving.map(|entry| (entry.server.uid.clone(), entry.since)).collect()
    }
}

/// An entry that was told.
struct Told {
    uid: String,
    standing: Standing,
    boot_ms: u64,
}

/// How an agent answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mood {
    /// At once.
    #[default]
    Well,
    /// Not at all; open watches fall silent.
    Silent,
    /// Late, and with pauses within an object.
    Slow(Duration),
    /// Every watch is reset after a moment.
    Resets,
    /// Calls are answered with an error.
    Refuses,
}

/// The agent on one node's machine.
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    node: usize,
    roster: Arc<Roster>,
    mood: watch::Sender<Mood>,
    /// Since when it can be reached, if it can.
    reachable: Mutex<Option<Instant>>,
    oracle: Arc<Oracle>,
}

impl Agent {
    /// Starts one.
    pub async fn start(node: usize, roster: Arc<Roster>, oracle: Arc<Oracle>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let agent = Arc::new(Self {
            address: listener.local_addr()?,
            node,
            roster,
            mood: watch::channel(Mood::Well).0,
            reachable: Mutex::new(Some(Instant::now())),
            oracle,
        });
        let answering = agent.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let agent = answering.clone();
                tokio::spawn(async move { drop(agent.answer(stream).await) });
            }
        });
        Ok(agent)
    }

    /// Answers so from now on.
    pub fn set(&self, mood: Mood) {
        let reachable = matches!(mood, Mood::Well | Mood::Slow(_)).then(Instant::now);
        *self.reachable.lock().unwrap_or_else(PoisonError::into_inner) = reachable;
        self.mood.send_replace(mood);
    }

    /// The node has begun to call this agent, or its process is a new one: what discovery has counts as told some
    /// time after.
    pub fn named(&self) {
        let mut reachable = self.reachable.lock().unwrap_or_else(PoisonError::into_inner);
        if reachable.is_some() {
            *reachable = Some(Instant::now());
        }
    }

    /// Tells the oracle what counts as told by now, whether it was written or not.
    pub fn count_as_told(&self) {
        let reachable = *self.reachable.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(reachable) = reachable else { return };
        for (uid, since) in self.roster.leaving() {
            self.oracle.leaving(self.node, &uid, since.max(reachable));
        }
    }

    fn mood(&self) -> Mood {
        *self.mood.borrow()
    }

    fn written(&self, told: &[Told]) {
        for Told { uid, standing, boot_ms } in told {
            match standing {
                Standing::Serving => self.oracle.told_start(self.node, uid, *boot_ms),
                Standing::Draining | Standing::Gone => self.oracle.told_leaving(self.node, uid),
            }
        }
    }

    async fn answer(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        let Some(call) = read_message(&mut stream).await? else { return Ok(()) };
        let mut stream = stream.into_inner();
        match self.mood() {
            Mood::Silent => {
                // A call left unanswered stays so.
                sleep(Duration::from_secs(60)).await;
                return Ok(());
            }
            Mood::Refuses => {
                return stream
                    .write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    .await;
            }
            Mood::Slow(pause) => sleep(pause).await,
            Mood::Well | Mood::Resets => {}
        }
        if !call.start.contains("stream=1") {
            let (_, listing, told) = self.roster.listing(0);
            let text = listing.to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            stream.write_all(head.as_bytes()).await?;
            self.write_object(&mut stream, text.as_bytes()).await?;
            if !is_closed(&stream) {
                self.written(&told);
            }
            return Ok(());
        }
        let index = call.start.split("index=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        self.watch(&mut stream, index.unwrap_or(0)).await
    }

    /// Tells changes for as long as the connection lasts.
    async fn watch(&self, stream: &mut TcpStream, mut since: u64) -> io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut revs = self.roster.rev.subscribe();
        let opened = Instant::now();
        loop {
            let rev = *revs.borrow_and_update();
            match self.mood() {
                Mood::Silent => {
                    // It has fallen silent for good.
                    sleep(Duration::from_secs(60)).await;
                    return Ok(());
                }
                Mood::Resets if opened.elapsed() > Duration::from_millis(200) => {
                    return socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                }
                _ if rev > since => {
                    let (rev, listing, told) = self.roster.listing(since);
                    let text = format!("{listing}\n");
                    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                    self.write_object(stream, chunk.as_bytes()).await?;
                    if is_closed(stream) {
                        return Ok(());
                    }
                    self.written(&told);
                    since = rev;
                }
                _ => stream.write_all(b"1\r\n\n\r\n").await?,
            }
            let mut moods = self.mood.subscribe();
            tokio::select! {
                // The list's change is waited for; its end cannot be, since discovery outlives all watches.
                _ = timeout(HEARTBEAT, revs.changed()) => {}
                _ = moods.changed() => {}
            }
        }
    }

    async fn write_object(&self, stream: &mut TcpStream, object: &[u8]) -> io::Result<()> {
        let (first, second) = object.split_at(object.len() / 2);
        stream.write_all(first).await?;
        if let Mood::Slow(pause) = self.mood() {
            sleep(pause).await;
        }
        stream.write_all(second).await
    }
}

/// Whether the node has ended its side: what is written then is taken by the system and heard by nobody.
fn is_closed(stream: &TcpStream) -> bool {
    matches!(stream.try_read(&mut [0]), Ok(0))
}
