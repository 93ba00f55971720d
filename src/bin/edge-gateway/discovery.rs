//! Follows the endpoint list: polls and watches the discovery agent, and comes back after failures.
//!
//! Owns which call is made next and when. How a call is made is left to [`caller`] and [`call`], how lists
//! are read to [`stream`], and what a list leads to, to the [`Dispatcher`].

mod call;
mod caller;
mod error;
mod stream;

use crate::dispatcher::Dispatcher;
use crate::telemetry::metrics::METRICS;
use caller::Caller;
use edge_gateway::{EndpointList, PollBackoff, DISCOVERY_RESPONSE_TIMEOUT};
use error::CallError;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use stream::{read_snapshot, StreamTimeouts, WatchStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// A watch with more events than this has succeeded. Its first event proves little: discovery that accepts a
/// watch and hangs up, as it does when its queue is full, or responds with nonsense, must not be called in a
/// tight loop.
const EVENTS_OF_FAILED_WATCH: u32 = 1;

/// Follows the endpoint list and passes it to the dispatcher.
pub struct Discovery {
    dispatcher: Rc<Dispatcher>,
    backoff: PollBackoff,
    caller: Caller,
    timeouts: StreamTimeouts,
    /// Whether a list has been received from the present agent.
    agent_has_responded: Rc<Cell<bool>>,
    /// Most entries that are accepted in one list.
    max_endpoints: usize,
}

/// How a watch ended.
struct WatchEnd {
    events: u32,
    error: CallError,
}

impl WatchEnd {
    fn has_succeeded(&self) -> bool {
        self.events > EVENTS_OF_FAILED_WATCH
    }
}

impl Discovery {
    /// A follower that has not called yet.
    pub fn new(dispatcher: Rc<Dispatcher>, backoff: PollBackoff, max_endpoints: usize) -> Self {
        Self {
            dispatcher,
            caller: Caller::new(backoff.polls_are_free()),
            backoff,
            timeouts: StreamTimeouts::default(),
            agent_has_responded: Rc::default(),
            max_endpoints,
        }
    }

    /// Follows the list for as long as the node runs, always at the agent that was configured last.
    /// `known_version` is the version of the list that the dispatcher holds.
    pub async fn follow(mut self, mut agents: watch::Receiver<SocketAddr>, known_version: Option<u64>) {
        let mut version = known_version;
        loop {
            let agent = *agents.borrow_and_update();
            self.agent_has_responded.set(false);
            let has_responded = self.agent_has_responded.clone();
            tokio::select! {
                () = self.follow_agent(agent, version) => {}
                changed = agent_changed(&mut agents, agent, &has_responded) => if changed.is_err() {
                    // No other agent will be configured, so that this one is followed to the end.
                    self.follow_agent(agent, None).await;
                }
            }
            // Another agent counts its versions anew. Until its list is received the old one stays in force.
            version = None;
        }
    }

    async fn follow_agent(&mut self, agent: SocketAddr, mut version: Option<u64>) {
        // A watch from the version held brings all changes since. Only without a version, or after a response
        // that cannot be read, is the complete list needed, which costs more where calls are counted by
        // lines.
        let mut needs_snapshot = version.is_none();
        let delay = if needs_snapshot { self.backoff.short_jitter() } else { self.backoff.first_delay() };
        sleep(delay).await;
        loop {
            if needs_snapshot {
                if let Some(polled) = self.poll(agent).await {
                    version = Some(polled);
                    needs_snapshot = false;
                }
            }
            // A watch brings the list as well where the poll failed, so it is started all the same.
            let end = self.watch(agent, &mut version).await;
            self.record_failure(end.error);
            needs_snapshot |= end.error.requires_snapshot();
            let delay = self.delay_after_watch(&end);
            sleep(delay).await;
        }
    }

    /// Fetches the complete list, and returns its version. Waits after an invalid response, since a watch
    /// would bring the same at once.
    async fn poll(&mut self, agent: SocketAddr) -> Option<u64> {
        let error = match self.fetch_snapshot(agent).await {
            Ok(version) => return Some(version),
            Err(error) => error,
        };
        if error.is_invalid_response() {
            self.record_failure(error);
            sleep(self.backoff.delay_after_invalid_response()).await;
        }
        None
    }

    async fn fetch_snapshot(&self, agent: SocketAddr) -> Result<u64, CallError> {
        let call = self.caller.call(agent, "/discovery/hosts".to_owned());
        let call = timeout(DISCOVERY_RESPONSE_TIMEOUT, call).await.map_err(|_| CallError::Disconnected)??;
        read_snapshot(call, self.max_endpoints, self.timeouts, |list| self.deliver(list)).await
    }

    /// Watches the list until the watch ends in some way.
    async fn watch(&self, agent: SocketAddr, version: &mut Option<u64>) -> WatchEnd {
        let path = format!("/discovery/hosts?stream=1&index={}", version.unwrap_or(0));
        let call = match self.caller.call(agent, path).await {
            Ok(call) => call,
            Err(error) => return WatchEnd { events: 0, error },
        };
        let mut stream = WatchStream::new(call, self.max_endpoints, self.timeouts);
        loop {
            if let Err(error) = stream.read_chunk(version, |list| self.deliver(list)).await {
                return WatchEnd { events: stream.events, error };
            }
        }
    }

    fn delay_after_watch(&mut self, end: &WatchEnd) -> Duration {
        if end.has_succeeded() {
            self.backoff.reset();
        }
        if end.error == CallError::Silent && end.has_succeeded() {
            self.backoff.short_jitter()
        } else if end.error.is_invalid_response() {
            self.backoff.delay_after_invalid_response()
        } else {
            self.backoff.delay_after_failure()
        }
    }

    /// Counts a failure, and gives a list that stalled more time in the next call.
    fn record_failure(&mut self, error: CallError) {
        METRICS.discovery_call(error.name());
        tracing::debug!(%error, "a call of discovery has failed");
        if error == CallError::Stalled {
            self.timeouts.extend();
        }
    }

    /// Passes a list to the dispatcher and returns its version.
    fn deliver(&self, list: EndpointList) -> u64 {
        let version = list.version;
        METRICS.discovery_call("list_received");
        tracing::debug!(
            version,
            is_snapshot = list.is_snapshot,
            endpoints = list.endpoints.len(),
            "endpoint list received"
        );
        self.dispatcher.update_endpoints(list);
        self.dispatcher.discovery_responded();
        self.agent_has_responded.set(true);
        version
    }
}

/// Ready once an agent is configured that has to be called anew. The present one need not before it has
/// responded: reloads in quick succession would keep every call from being answered.
async fn agent_changed(
    agents: &mut watch::Receiver<SocketAddr>,
    present: SocketAddr,
    present_has_responded: &Cell<bool>,
) -> Result<(), watch::error::RecvError> {
    loop {
        agents.changed().await?;
        if *agents.borrow_and_update() != present || present_has_responded.get() {
            return Ok(());
        }
    }
}
