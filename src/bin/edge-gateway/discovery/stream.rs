//! Reads endpoint lists from the responses to polls and watches.
//!
//! This module applies the timeouts within a response and parses it incrementally. Each list is passed to the
//! caller as soon as it is complete.

use super::call::{Call, ReadError};
use super::caller::MIN_HEDGED_CALL_TIMEOUT;
use super::error::{CallError, Disconnection, InvalidResponse};
use edge_gateway::{
    EndpointList, EndpointListParser, DISCOVERY_RESPONSE_TIMEOUT, MAX_SHORT_JITTER, NOTIFICATION_DEADLINE,
};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Time without data after which a watch has failed, even if it was not closed: discovery sends an empty line
/// every 2 s. A node [counts as notified](edge_gateway::PollBackoff) of a change that the watch missed after
/// 6 s; the rest of this time is for the next call.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
// A change that a silent watch missed must arrive with the next call before the notification deadline.
const _: () = assert!(
    SILENCE_TIMEOUT.as_millis() + MAX_SHORT_JITTER.as_millis() + DISCOVERY_RESPONSE_TIMEOUT.as_millis()
        <= NOTIFICATION_DEADLINE.as_millis()
);
/// Timeout of a chunk in the response to a poll before the list begins.
const FIRST_CHUNK_TIMEOUT: Duration = MIN_HEDGED_CALL_TIMEOUT;
/// Initial timeout of the next chunk within a list. Discovery writes a list in one piece, on one or more
/// lines. After a longer pause its end is lost, and the next list would be parsed as the rest of it.
const INITIAL_CHUNK_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum of the chunk timeout, which doubles each time a list stalls, since discovery may write slowly. Low
/// enough that another list can be read in time after one whose end was lost.
const MAX_CHUNK_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum of the timeout of a whole list, which starts at [`DISCOVERY_RESPONSE_TIMEOUT`] and doubles with
/// the chunk timeout.
const MAX_LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// The timeouts of a list that is being received.
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

impl fmt::Display for StreamTimeouts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} without data, {:?} in all", self.chunk, self.list)
    }
}

impl StreamTimeouts {
    /// Doubles both timeouts, up to their maxima.
    pub fn extend(&mut self) {
        self.chunk = (self.chunk * 2).min(MAX_CHUNK_TIMEOUT);
        self.list = (self.list * 2).min(MAX_LIST_TIMEOUT);
    }
}

/// Reads the complete list from the response to a poll and returns its version. `deliver` takes each list
/// received and returns its version.
///
/// # Errors
/// If the response ends, times out or is invalid before the list is complete.
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
        let chunk = if in_progress { timeouts.chunk } else { FIRST_CHUNK_TIMEOUT };
        let current = StreamTimeouts { chunk, ..timeouts };
        let deadline = list_deadline.min(Instant::now() + current.chunk);
        let chunk = call.read_chunk(deadline).await.map_err(|error| match error {
            ReadError::TimedOut if in_progress => CallError::Stalled(current),
            ReadError::TimedOut => InvalidResponse::TimedOut(current).into(),
            ReadError::Ended(end) => InvalidResponse::Ended(end).into(),
        })?;
        let mut version = None;
        parser.push(&chunk, |list| version = Some(deliver(list)))?;
        if let Some(version) = version {
            return Ok(version);
        }
    }
}

/// Reads the response to a watch.
pub struct WatchStream {
    call: Call,
    parser: EndpointListParser,
    timeouts: StreamTimeouts,
    /// Deadline of the list in progress.
    list_deadline: Instant,
    /// Number of events received so far: starts of lists, and empty lines.
    pub events: u32,
}

impl WatchStream {
    /// Creates a stream from which nothing has been read yet.
    pub fn new(call: Call, max_endpoints: usize, timeouts: StreamTimeouts) -> Self {
        let parser = EndpointListParser::new(max_endpoints);
        Self { call, parser, timeouts, list_deadline: Instant::now(), events: 0 }
    }

    /// Reads the next chunk. `deliver` takes each list that the chunk completes and returns its version.
    /// `version` is the version of the list held, if any, and is set to that of each list delivered.
    ///
    /// # Errors
    /// If the response ends, times out or is invalid. The watch has ended then.
    pub async fn read_chunk(
        &mut self,
        version: &mut Option<u64>,
        deliver: impl Fn(EndpointList) -> u64,
    ) -> Result<(), CallError> {
        let in_progress = self.parser.in_progress();
        let chunk = self.call.read_chunk(self.chunk_deadline()).await.map_err(|error| match error {
            ReadError::TimedOut if in_progress => CallError::Stalled(self.timeouts),
            ReadError::TimedOut => CallError::Silent(SILENCE_TIMEOUT),
            ReadError::Ended(end) if in_progress => CallError::Truncated(end),
            ReadError::Ended(end) => Disconnection::WatchEnded(end).into(),
        })?;
        if !in_progress {
            self.events = self.events.saturating_add(1);
            self.list_deadline = Instant::now() + self.timeouts.list;
        }
        let mut unexpected_delta = None;
        self.parser.push(&chunk, |list| {
            // Without a list to apply it to, a delta does not tell which endpoints exist or were removed.
            if version.is_none() && !list.is_snapshot {
                unexpected_delta = Some(list.version);
            }
            *version = Some(deliver(list));
            self.list_deadline = Instant::now() + self.timeouts.list;
        })?;
        match unexpected_delta {
            Some(version) => Err(CallError::UnexpectedDelta(version)),
            None => Ok(()),
        }
    }

    /// When the read of the next chunk times out.
    fn chunk_deadline(&self) -> Instant {
        let now = Instant::now();
        if self.parser.in_progress() {
            self.list_deadline.min(now + self.timeouts.chunk)
        } else {
            now + SILENCE_TIMEOUT
        }
    }
}
