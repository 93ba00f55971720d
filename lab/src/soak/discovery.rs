//! Discovery agents, which send the endpoint list to the node on their machine and can be made faulty.

use super::endpoint_list::{EndpointList, EndpointState, Notification};
use super::http::{read_message, Message};
use super::oracle::Oracle;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Time between two heartbeats on a watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// A heartbeat: a chunk that holds an empty line.
const HEARTBEAT: &[u8] = b"1\r\n\n\r\n";
/// Time for which a silent agent keeps a call open, longer than any run.
const SILENT_CALL_DURATION: Duration = Duration::from_secs(60);
/// Age at which a watch is reset by an agent that resets watches.
const WATCH_RESET_AGE: Duration = Duration::from_millis(200);

/// How an agent misbehaves while a fault is injected into it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AgentFault {
    /// The agent serves all calls correctly.
    #[default]
    None,
    /// New calls get no response, and open watches get no changes or heartbeats.
    Silent,
    /// The agent waits this long before each response, and again in the middle of each update.
    Slow(Duration),
    /// Watches are reset once they are older than `WATCH_RESET_AGE`.
    ResetWatches,
    /// New calls get a response with status 503.
    Reject,
}

/// A discovery agent on the machine of one node.
pub struct Agent {
    /// Address on which the agent listens.
    pub address: SocketAddr,
    /// Rank of the node.
    node: usize,
    endpoints: Arc<EndpointList>,
    fault: watch::Sender<AgentFault>,
    /// Start of the present period in which the agent can notify the node; `None` while a fault prevents it.
    reachable_since: Mutex<Option<Instant>>,
    oracle: Arc<Oracle>,
}

impl Agent {
    /// Starts the agent of the node with this rank.
    pub async fn start(
        node: usize,
        endpoints: Arc<EndpointList>,
        oracle: Arc<Oracle>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let agent = Arc::new(Self {
            address: listener.local_addr()?,
            node,
            endpoints,
            fault: watch::channel(AgentFault::None).0,
            reachable_since: Mutex::new(Some(Instant::now())),
            oracle,
        });
        tokio::spawn(agent.clone().accept(listener));
        Ok(agent)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let agent = self.clone();
            tokio::spawn(async move { drop(agent.serve(stream).await) });
        }
    }

    /// Makes the agent respond with this fault from now on.
    pub fn set_fault(&self, fault: AgentFault) {
        let reachable = matches!(fault, AgentFault::None | AgentFault::Slow(_));
        *self.reachable_since() = reachable.then(Instant::now);
        self.fault.send_replace(fault);
    }

    /// Restarts the time within which the node must learn of removals. Called when the node switches to this
    /// agent or has a new process.
    pub fn reset_reachable_since(&self) {
        let mut reachable_since = self.reachable_since();
        if reachable_since.is_some() {
            *reachable_since = Some(Instant::now());
        }
    }

    /// Tells the oracle of all removals so far, unless a fault keeps the agent from notifying the node. The
    /// node's time to learn of a removal starts at the removal, or when the agent became reachable if that
    /// was later, even if the agent has not sent it yet.
    pub fn report_removals(&self) {
        let Some(reachable_since) = *self.reachable_since() else { return };
        for removal in self.endpoints.removals() {
            let since = removal.changed_at.max(reachable_since);
            self.oracle.removal_published(self.node, &removal.endpoint, since);
        }
    }

    fn reachable_since(&self) -> MutexGuard<'_, Option<Instant>> {
        self.reachable_since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fault(&self) -> AgentFault {
        *self.fault.borrow()
    }

    fn report_notifications(&self, notifications: &[Notification]) {
        for Notification { endpoint, state, boot_ms } in notifications {
            match state {
                EndpointState::Serving => self.oracle.start_notified(self.node, endpoint, *boot_ms),
                EndpointState::Draining | EndpointState::Removed => {
                    self.oracle.removal_notified(self.node, endpoint);
                }
            }
        }
    }

    async fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        let Some(call) = read_message(&mut stream).await? else { return Ok(()) };
        let mut stream = stream.into_inner();
        match self.fault() {
            AgentFault::Silent => {
                // The call gets no response even after the fault is over.
                sleep(SILENT_CALL_DURATION).await;
                return Ok(());
            }
            AgentFault::Reject => {
                let rejection = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                return stream.write_all(rejection).await;
            }
            AgentFault::Slow(pause) => sleep(pause).await,
            AgentFault::None | AgentFault::ResetWatches => {}
        }
        if call.start_line.contains("stream=1") {
            return self.serve_watch(&mut stream, watched_version(&call)).await;
        }
        self.serve_snapshot(&mut stream).await
    }

    async fn serve_snapshot(&self, stream: &mut TcpStream) -> io::Result<()> {
        let snapshot = self.endpoints.snapshot();
        let body = snapshot.json.to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).await?;
        self.write_object(stream, body.as_bytes()).await?;
        if !is_closed(stream) {
            self.report_notifications(&snapshot.notifications);
        }
        Ok(())
    }

    /// Sends the changes after version `since`, and heartbeats, for as long as the connection lasts.
    async fn serve_watch(&self, stream: &mut TcpStream, mut since: u64) -> io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut versions = self.endpoints.subscribe();
        let opened_at = Instant::now();
        loop {
            let version = *versions.borrow_and_update();
            match self.fault() {
                AgentFault::Silent => {
                    // The watch stays silent even after the fault is over.
                    sleep(SILENT_CALL_DURATION).await;
                    return Ok(());
                }
                AgentFault::ResetWatches if opened_at.elapsed() > WATCH_RESET_AGE => {
                    return socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                }
                _ if version > since => match self.send_changes(stream, since).await? {
                    Some(version) => since = version,
                    None => return Ok(()),
                },
                _ => stream.write_all(HEARTBEAT).await?,
            }
            let mut fault_changes = self.fault.subscribe();
            tokio::select! {
                // The list outlives all watches, so the result is either a change or a timeout.
                _ = timeout(HEARTBEAT_INTERVAL, versions.changed()) => {}
                _ = fault_changes.changed() => {}
            }
        }
    }

    /// Sends the changes since a version. Returns the version sent, or `None` if the node has closed the
    /// watch.
    async fn send_changes(&self, stream: &mut TcpStream, since: u64) -> io::Result<Option<u64>> {
        let changes = self.endpoints.changes_since(since);
        let line = format!("{}\n", changes.json);
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        self.write_object(stream, chunk.as_bytes()).await?;
        if is_closed(stream) {
            return Ok(None);
        }
        self.report_notifications(&changes.notifications);
        Ok(Some(changes.version))
    }

    /// Writes a list or a chunk in two halves, between which a slow agent pauses.
    async fn write_object(&self, stream: &mut TcpStream, object: &[u8]) -> io::Result<()> {
        let (first, second) = object.split_at(object.len() / 2);
        stream.write_all(first).await?;
        if let AgentFault::Slow(pause) = self.fault() {
            sleep(pause).await;
        }
        stream.write_all(second).await
    }
}

/// Returns the version after which a watch asks for changes; 0 asks for a snapshot.
fn watched_version(call: &Message) -> u64 {
    let index = call.start_line.split("index=").nth(1).and_then(|rest| rest.split(' ').next());
    index.and_then(|index| index.parse().ok()).unwrap_or(0)
}

/// Whether the node has closed its side. Writes would still succeed then, but would never be read.
fn is_closed(stream: &TcpStream) -> bool {
    matches!(stream.try_read(&mut [0]), Ok(0))
}
