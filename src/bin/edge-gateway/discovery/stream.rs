//! Reading endpoint lists from the responses to polls and watches.
//!
//! Owns the timeouts within a response and the incremental parser. What a list leads to is left to the
//! caller, which is passed each one as soon as it is complete.

use super::call::{Call, ReadError};
use super::caller::FREE_CALL_TIMEOUT;
use super::error::CallError;
use edge_gateway::{
    EndpointList, EndpointListParser, DISCOVERY_RESPONSE_TIMEOUT, MAX_SHORT_JITTER, NOTIFICATION_DEADLINE,
};
use std::time::Duration;
use tokio::time::Instant;

/// A watch has an empty line every 2 s; one that is silent for half as long again is dead without having been
/// closed. What a silent watch misses counts as notified after 6 s: the rest is for opening the next one.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
// What is missed while a watch is silent arrives with the next call in time.
const _: () = assert!(
    SILENCE_TIMEOUT.as_millis() + MAX_SHORT_JITTER.as_millis() + DISCOVERY_RESPONSE_TIMEOUT.as_millis()
        <= NOTIFICATION_DEADLINE.as_millis()
);
/// A list is written in one piece, on one line or on several. One that stops half way for this long has lost
/// its end, and what comes next would be read as the rest of it.
const INITIAL_CHUNK_TIMEOUT: Duration = Duration::from_millis(250);
/// Discovery may be slow in writing a list, so that the timeout doubles each time it expires, up to this. It
/// leaves time for another list behind one that has lost its end.
const MAX_CHUNK_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout of a complete list, which is [`DISCOVERY_RESPONSE_TIMEOUT`] at first, doubles up to this.
const MAX_LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// The timeouts within a list.
#[derive(Clone, Copy, Debug)]
pub struct StreamTimeouts {
    /// For the next chunk of a list.
    chunk: Duration,
    /// For a list from its beginning to its end.
    list: Duration,
}

impl Default for StreamTimeouts {
    fn default() -> Self {
        Self { chunk: INITIAL_CHUNK_TIMEOUT, list: DISCOVERY_RESPONSE_TIMEOUT }
    }
}

impl StreamTimeouts {
    /// Doubles the timeouts up to their maxima.
    pub fn extend(&mut self) {
        self.chunk = (self.chunk * 2).min(MAX_CHUNK_TIMEOUT);
        self.list = (self.list * 2).min(MAX_LIST_TIMEOUT);
    }
}

/// Reads the complete list from the response to a poll; `deliver` takes each list and returns its version.
///
/// # Errors
/// If the response ends, stops or becomes invalid before the list is complete.
pub async fn read_snapshot(
    mut call: Call,
    max_endpoints: usize,
    timeouts: StreamTimeouts,
    deliver: impl Fn(EndpointList) -> u64,
) -> Result<u64, CallError> {
    let list_deadline = Instant::now() + timeouts.list;
    let mut parser = EndpointListParser::new(max_endpoints);
    loop {
        let in_progress = parser.in_progress();
        let chunk_timeout = if in_progress { timeouts.chunk } else { FREE_CALL_TIMEOUT };
        let deadline = list_deadline.min(Instant::now() + chunk_timeout);
        let chunk = call.read_chunk(deadline).await.map_err(|error| match error {
            ReadError::TimedOut if in_progress => CallError::Stalled,
            ReadError::TimedOut | ReadError::Ended => CallError::InvalidResponse,
        })?;
        let mut version = None;
        parser.push(&chunk, |list| version = Some(deliver(list)))?;
        if let Some(version) = version {
            return Ok(version);
        }
    }
}

/// The response to a watch.
pub struct WatchStream {
    call: Call,
    parser: EndpointListParser,
    timeouts: StreamTimeouts,
    /// When the list that is in progress has to be complete.
    list_deadline: Instant,
    /// Number of watch events so far: lists that have begun, and empty lines.
    pub events: u32,
}

impl WatchStream {
    /// A watch that has brought nothing yet.
    pub fn new(call: Call, max_endpoints: usize, timeouts: StreamTimeouts) -> Self {
        let parser = EndpointListParser::new(max_endpoints);
        Self { call, parser, timeouts, list_deadline: Instant::now(), events: 0 }
    }

    /// Reads the next chunk. `version` is that of the list held, if any; `deliver` takes each list that the
    /// chunk completes and returns its version.
    ///
    /// # Errors
    /// If the watch has ended in any way.
    pub async fn read_chunk(
        &mut self,
        version: &mut Option<u64>,
        deliver: impl Fn(EndpointList) -> u64,
    ) -> Result<(), CallError> {
        let in_progress = self.parser.in_progress();
        let chunk = self.call.read_chunk(self.chunk_deadline()).await.map_err(|error| match error {
            ReadError::TimedOut if in_progress => CallError::Stalled,
            ReadError::TimedOut => CallError::Silent,
            ReadError::Ended if in_progress => CallError::Truncated,
            ReadError::Ended => CallError::Disconnected,
        })?;
        if !in_progress {
            self.events = self.events.saturating_add(1);
            self.list_deadline = Instant::now() + self.timeouts.list;
        }
        let mut unexpected_delta = false;
        self.parser.push(&chunk, |list| {
            // Without a list, a change does not tell what else there is, nor what has been removed.
            unexpected_delta |= version.is_none() && !list.is_snapshot;
            *version = Some(deliver(list));
            self.list_deadline = Instant::now() + self.timeouts.list;
        })?;
        if unexpected_delta {
            return Err(CallError::UnexpectedDelta);
        }
        Ok(())
    }

    fn chunk_deadline(&self) -> Instant {
        let now = Instant::now();
        if self.parser.in_progress() {
            self.list_deadline.min(now + self.timeouts.chunk)
        } else {
            now + SILENCE_TIMEOUT
        }
    }
}
