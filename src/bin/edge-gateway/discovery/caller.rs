//! Starting a call: once where calls are counted, and hedged by further ones where they are free.
//!
//! Owns what is known of how fast the agent responds. What is called, and when again after a failure, is left
//! to [`Discovery`](super::Discovery).

use super::call::Call;
use super::error::CallError;
use edge_gateway::DISCOVERY_RESPONSE_TIMEOUT;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Where calls are free the agent responds at once or, while discovery is down, not at all. What it receives
/// when discovery returns counts as notified at once, but a call that it has left unanswered may never be
/// answered: this is the response timeout of a call ...
pub const FREE_CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// ... and after this time another is started beside it, well within the grace period of a draining endpoint.
const FREE_CALL_SPACING: Duration = Duration::from_millis(150);
/// An agent that was seen to take longer to respond gets this multiple of that time as its timeout, or else
/// it would be kept busy with calls that were abandoned. One that responds at once, or not at all, is called
/// as often as before.
const TIMEOUT_FACTOR: u32 = 4;
/// The same for the spacing of calls.
const SPACING_FACTOR: u32 = 2;

/// Starts calls of the discovery agent.
pub struct Caller {
    calls_are_free: bool,
    /// How long the last response took to begin.
    response_time: Cell<Duration>,
}

impl Caller {
    /// A caller that knows nothing of the agent yet.
    pub fn new(calls_are_free: bool) -> Self {
        Self { calls_are_free, response_time: Cell::default() }
    }

    /// Calls until there is a response or every call that was started has failed.
    ///
    /// # Errors
    /// That of the last call.
    pub async fn call(&self, agent: SocketAddr, path: String) -> Result<Call, CallError> {
        if self.calls_are_free {
            self.hedged_call(agent, path).await
        } else {
            Call::start(agent, path, DISCOVERY_RESPONSE_TIMEOUT).await
        }
    }

    async fn hedged_call(&self, agent: SocketAddr, path: String) -> Result<Call, CallError> {
        let response_time = self.response_time.get();
        let call_timeout =
            (response_time * TIMEOUT_FACTOR).clamp(FREE_CALL_TIMEOUT, DISCOVERY_RESPONSE_TIMEOUT);
        let spacing = (response_time * SPACING_FACTOR).clamp(FREE_CALL_SPACING, call_timeout);
        let mut calls = JoinSet::new();
        let mut next_call = interval(spacing);
        next_call.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut long_call_until = Instant::now();
        loop {
            tokio::select! {
                _ = next_call.tick() => {
                    // One of the calls has a long timeout, so that a response that is slow to begin is
                    // received at all.
                    let is_long = Instant::now() >= long_call_until;
                    let response_timeout = if is_long { DISCOVERY_RESPONSE_TIMEOUT } else { call_timeout };
                    if is_long {
                        long_call_until = Instant::now() + response_timeout;
                    }
                    calls.spawn_local(Call::start(agent, path.clone(), response_timeout));
                }
                Some(ended) = calls.join_next() => match ended {
                    Ok(Ok(call)) => {
                        self.response_time.set(call.response_time);
                        return Ok(call);
                    }
                    Ok(Err(error)) if calls.is_empty() => return Err(error),
                    Err(_) if calls.is_empty() => return Err(CallError::Disconnected),
                    _ => {}
                }
            }
        }
    }
}
