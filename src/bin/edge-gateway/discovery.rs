//! The client of the discovery agent: polls and watches the endpoint list, and retries after failures.
//!
//! This module decides which call is made next, and when. [`caller`] and [`call`] make the calls, [`stream`]
//! reads the lists from the responses, and the [`Dispatcher`] applies the lists.

mod call;
mod caller;
mod error;
mod stream;

use crate::dispatcher::Dispatcher;
use crate::telemetry::metrics::METRICS;
use caller::Caller;
use edge_gateway::{EndpointList, PollBackoff, DISCOVERY_RESPONSE_TIMEOUT};
use error::{CallError, Disconnection};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use stream::{read_snapshot, StreamTimeouts, WatchStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// A watch with more events than this, in the sense of [`WatchStream::events`], is successful and resets the
/// backoff. One event is not enough: discovery may accept a watch and close it at once, as it does when its
/// queue is full, or send invalid data. A reset would then lead to calls in a tight loop.
const MAX_EVENTS_OF_FAILED_WATCH: u32 = 1;

/// Receives endpoint lists from the discovery agent and passes them to the dispatcher.
pub struct Discovery {
    dispatcher: Rc<Dispatcher>,
    backoff: PollBackoff,
    caller: Caller,
    timeouts: StreamTimeouts,
    /// Whether the current agent has sent a list since it was configured last.
    agent_has_responded: Rc<Cell<bool>>,
    /// Maximum number of entries accepted in one list.
    max_endpoints: usize,
}

/// How a watch ended.
struct WatchEnd {
    /// Number of events that the watch received, as in [`WatchStream::events`].
    events: u32,
    error: CallError,
}

impl WatchEnd {
    /// Whether the watch counts as successful, as [`MAX_EVENTS_OF_FAILED_WATCH`] defines.
    fn has_succeeded(&self) -> bool {
        self.events > MAX_EVENTS_OF_FAILED_WATCH
    }
}

impl Discovery {
    /// Creates a client, which makes no call before [`follow`](Self::follow).
    pub fn new(dispatcher: Rc<Dispatcher>, backoff: PollBackoff, max_endpoints: usize) -> Self {
        Self {
            dispatcher,
            caller: Caller::new(backoff.calls_are_uncounted()),
            backoff,
            timeouts: StreamTimeouts::default(),
            agent_has_responded: Rc::default(),
            max_endpoints,
        }
    }

    /// Follows the list of the agent that was configured last; never returns. `known_version` is the version
    /// of the list that the dispatcher holds, or `None` if it holds none.
    pub async fn follow(mut self, mut agents: watch::Receiver<SocketAddr>, known_version: Option<u64>) {
        let mut version = known_version;
        loop {
            let agent = *agents.borrow_and_update();
            self.agent_has_responded.set(false);
            let has_responded = self.agent_has_responded.clone();
            tokio::select! {
                () = self.follow_agent(agent, version) => {}
                changed = wait_for_reload(&mut agents, agent, &has_responded) => if changed.is_err() {
                    // The sender has been dropped, so the agent will not change again.
                    self.follow_agent(agent, None).await;
                }
            }
            // Another agent numbers its versions independently. The old list stays in force until the new
            // agent has sent one.
            version = None;
        }
    }

    /// Polls and watches one agent; never returns. `version` is that of the agent's list, if one is held.
    async fn follow_agent(&mut self, agent: SocketAddr, mut version: Option<u64>) {
        // A watch from a known version receives all changes since that version. The complete list is fetched
        // only without a version or after an unreadable response: it costs more where discovery counts calls
        // by the lines of their responses.
        let mut needs_snapshot = version.is_none();
        let delay = if needs_snapshot { self.backoff.short_jitter() } else { self.backoff.first_delay() };
        sleep(delay).await;
        loop {
            if needs_snapshot {
                if let Some(snapshot_version) = self.poll(agent).await {
                    version = Some(snapshot_version);
                    needs_snapshot = false;
                }
            }
            // After a failed poll, the watch starts all the same: it receives the list as well.
            let end = self.watch(agent, &mut version).await;
            self.record_failure(agent, "watch", &end.error);
            needs_snapshot |= end.error.requires_snapshot();
            let delay = self.delay_after_watch(&end);
            sleep(delay).await;
        }
    }

    /// Fetches the complete list and returns its version, or `None` on failure. Waits after an invalid
    /// response, since a watch would receive the same one at once.
    async fn poll(&mut self, agent: SocketAddr) -> Option<u64> {
        let error = match self.fetch_snapshot(agent).await {
            Ok(version) => return Some(version),
            Err(error) => error,
        };
        if error.is_invalid_response() {
            self.record_failure(agent, "poll", &error);
            sleep(self.backoff.delay_after_invalid_response()).await;
        }
        None
    }

    async fn fetch_snapshot(&self, agent: SocketAddr) -> Result<u64, CallError> {
        let call = self.caller.call(agent, "/discovery/hosts".to_owned());
        let call = timeout(DISCOVERY_RESPONSE_TIMEOUT, call)
            .await
            .map_err(|_| Disconnection::Timeout(DISCOVERY_RESPONSE_TIMEOUT))??;
        read_snapshot(call, self.max_endpoints, self.timeouts, |list| self.deliver(list)).await
    }

    /// Watches the list from `version` on until the watch ends. Sets `version` to that of each list received.
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

    /// Draws the delay before the call that follows a watch.
    fn delay_after_watch(&mut self, end: &WatchEnd) -> Duration {
        if end.has_succeeded() {
            self.backoff.reset();
        }
        if matches!(end.error, CallError::Silent(_)) && end.has_succeeded() {
            self.backoff.short_jitter()
        } else if end.error.is_invalid_response() {
            self.backoff.delay_after_invalid_response()
        } else {
            self.backoff.delay_after_failure()
        }
    }

    /// Counts and logs a failed call, a poll or a watch. After a stalled list, extends the timeouts of later
    /// calls.
    fn record_failure(&mut self, agent: SocketAddr, call: &str, error: &CallError) {
        METRICS.record_discovery_result(error.name());
        tracing::debug!(%agent, call, %error, "discovery call failed");
        if matches!(error, CallError::Stalled(_)) {
            self.timeouts.extend();
        }
    }

    /// Passes a list to the dispatcher and returns its version.
    fn deliver(&self, list: EndpointList) -> u64 {
        let version = list.version;
        METRICS.record_discovery_result("list_received");
        tracing::debug!(
            version,
            is_snapshot = list.is_snapshot,
            endpoints = list.endpoints.len(),
            "endpoint list received"
        );
        self.dispatcher.update_endpoints(list);
        self.dispatcher.end_startup_grace_period();
        self.agent_has_responded.set(true);
        version
    }
}

/// Waits for a reload after which the list must be fetched again: the agent has changed, or the current one
/// has sent a list. Any other reload is ignored, because reloads in quick succession would abort every call
/// before it is answered.
async fn wait_for_reload(
    agents: &mut watch::Receiver<SocketAddr>,
    current: SocketAddr,
    current_has_responded: &Cell<bool>,
) -> Result<(), watch::error::RecvError> {
    loop {
        agents.changed().await?;
        if *agents.borrow_and_update() != current || current_has_responded.get() {
            return Ok(());
        }
    }
}
