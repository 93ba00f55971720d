//! What to do where a connection could not be accepted.

use crate::io::resource_exhaustion::{is_resource_exhaustion, RESOURCE_EXHAUSTION_PAUSE};
use crate::telemetry::metrics::METRICS;
use std::io;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep, Instant};

/// So many failures of other kinds in a row are followed by a pause: a listener that is broken must not take all
/// the processor's time.
const BURST: u32 = 64;
/// That pause.
const BURST_PAUSE: Duration = Duration::from_millis(1);

/// Where there is no room for a connection, others make some within about this time.
const ROOM_WITHIN: Duration = Duration::from_secs(1);

/// The instant so long ago, as far as the clock goes back.
fn now_less(time: Duration) -> Instant {
    let now = Instant::now();
    now.checked_sub(time).unwrap_or(now)
}

/// Failures to accept since the last success.
#[derive(Default)]
pub struct AcceptFailures {
    in_a_row: u32,
    /// When the first of them was; what is accepted until the queue is empty may have waited since.
    since: Option<Instant>,
    /// Since when the bound on connections has kept others waiting.
    full_since: Option<Instant>,
}

impl AcceptFailures {
    /// A connection was accepted; tells since when it may have waited in the queue, if that is not now.
    pub fn succeeded(&mut self) -> Option<Instant> {
        self.in_a_row = 0;
        let full = self.full_since.map(|since| since.max(now_less(ROOM_WITHIN)));
        // The earlier of the two, if there are both.
        self.since.into_iter().chain(full).min()
    }

    /// There is no room for a further connection.
    pub fn full(&mut self) {
        self.full_since.get_or_insert_with(Instant::now);
    }

    /// Whether connections in the queue may have waited.
    pub fn kept_waiting(&self) -> bool {
        self.since.is_some() || self.full_since.is_some()
    }

    /// Nothing is left in the queue.
    pub fn queue_is_empty(&mut self) {
        self.since = None;
        self.full_since = None;
    }

    /// Waits until it is worth to try again. Most errors are those of one connection, which is gone by now
    /// (`ECONNABORTED`, `EPROTO` and whatever its network says), or of no connection (`EINTR`): the next one is
    /// asked for at once.
    pub async fn wait(&mut self, error: &io::Error) {
        self.in_a_row += 1;
        self.since.get_or_insert_with(Instant::now);
        METRICS.accept_failed(if is_resource_exhaustion(error) { "shortage" } else { "connection" });
        if is_resource_exhaustion(error) {
            tracing::warn!(%error, "no connection can be accepted");
            sleep(RESOURCE_EXHAUSTION_PAUSE).await;
        } else if self.in_a_row % BURST == 0 {
            tracing::warn!(%error, failures = self.in_a_row, "no connection could be accepted");
            sleep(BURST_PAUSE).await;
        } else {
            yield_now().await;
        }
    }
}
