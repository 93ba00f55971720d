//! Starts calls to the discovery agent: one call where calls are counted, hedged calls where they are
//! uncounted, as [`PollBackoff`](edge_gateway::PollBackoff) defines.
//!
//! The timeout and the spacing of hedged calls follow from the agent's last response time.
//! [`Discovery`](super::Discovery) decides what is called, and when it is called again after a failure.

use super::call::Call;
use super::error::{CallError, Disconnection};
use edge_gateway::DISCOVERY_RESPONSE_TIMEOUT;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Minimum response timeout of a hedged call. Where calls are uncounted, the agent responds at once or, while
/// discovery is down, not at all. Once discovery is back, a node
/// [counts as notified](edge_gateway::PollBackoff) as soon as its agent holds a change, but the agent may
/// never answer a call that it received before.
pub const MIN_HEDGED_CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Minimum time between the starts of hedged calls, well within the grace period of a draining endpoint.
const MIN_HEDGED_CALL_SPACING: Duration = Duration::from_millis(150);
/// Timeout of a hedged call as a multiple of the last response time, so that a slow agent is not kept busy
/// with abandoned calls. For an agent that responds at once, or has not responded yet, the minimum applies.
const TIMEOUT_FACTOR: u32 = 4;
/// Time between hedged calls as a multiple of the last response time, so that a slow agent gets few of them.
const SPACING_FACTOR: u32 = 2;

/// Starts calls to the discovery agent, hedged where calls are uncounted.
pub struct Caller {
    /// Whether calls are uncounted, and so may be hedged.
    calls_are_uncounted: bool,
    /// Response time of the last hedged call that succeeded; 0 before the first.
    response_time: Cell<Duration>,
}

impl Caller {
    /// Creates a caller without a known response time.
    pub fn new(calls_are_uncounted: bool) -> Self {
        Self { calls_are_uncounted, response_time: Cell::default() }
    }

    /// Requests `path` from the agent. Hedged calls are started until one of them receives a response or all
    /// that were started have failed.
    ///
    /// # Errors
    /// The error of the call that failed last.
    pub async fn call(&self, agent: SocketAddr, path: String) -> Result<Call, CallError> {
        if self.calls_are_uncounted {
            self.hedged_call(agent, path).await
        } else {
            Call::start(agent, path, DISCOVERY_RESPONSE_TIMEOUT).await
        }
    }

    async fn hedged_call(&self, agent: SocketAddr, path: String) -> Result<Call, CallError> {
        let response_time = self.response_time.get();
        let call_timeout =
            (response_time * TIMEOUT_FACTOR).clamp(MIN_HEDGED_CALL_TIMEOUT, DISCOVERY_RESPONSE_TIMEOUT);
        let spacing = (response_time * SPACING_FACTOR).clamp(MIN_HEDGED_CALL_SPACING, call_timeout);
        let mut calls = JoinSet::new();
        let mut next_call = interval(spacing);
        next_call.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut long_call_deadline = Instant::now();
        loop {
            tokio::select! {
                _ = next_call.tick() => {
                    // One call at a time has a long timeout, so that a slow response is received as well.
                    let is_long = Instant::now() >= long_call_deadline;
                    let response_timeout = if is_long { DISCOVERY_RESPONSE_TIMEOUT } else { call_timeout };
                    if is_long {
                        long_call_deadline = Instant::now() + response_timeout;
                    }
                    calls.spawn_local(Call::start(agent, path.clone(), response_timeout));
                }
                Some(ended) = calls.join_next() => match ended {
                    Ok(Ok(call)) => {
                        self.response_time.set(call.response_time);
                        return Ok(call);
                    }
                    Ok(Err(error)) if calls.is_empty() => return Err(error),
                    Err(error) if calls.is_empty() => return Err(Disconnection::Task(error).into()),
                    _ => {}
                }
            }
        }
    }
}
