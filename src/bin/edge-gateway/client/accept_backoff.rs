//! Pauses after failures to accept a connection, and since when the next connection may have been waiting.

use crate::io::resource_exhaustion::{is_resource_exhaustion, RESOURCE_EXHAUSTION_PAUSE};
use crate::telemetry::metrics::METRICS;
use std::io;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep, Instant};

/// After this many failures in a row, of other kinds than exhaustion, comes a pause: a listener that is
/// broken must not take all processor time.
const FAILURE_BURST: u32 = 64;
/// The pause after such a burst.
const BURST_PAUSE: Duration = Duration::from_millis(1);
/// At the connection limit, evictions free capacity within about this time.
const MAX_WAIT_AT_LIMIT: Duration = Duration::from_secs(1);

/// The instant that long ago, as far as the clock goes back.
fn instant_before_now(duration: Duration) -> Instant {
    let now = Instant::now();
    now.checked_sub(duration).unwrap_or(now)
}

/// State of the accept loop since connections in the kernel's backlog began to wait.
#[derive(Default)]
pub struct AcceptBackoff {
    consecutive_failures: u32,
    /// When accepting first failed; what is accepted until the backlog is empty may have waited since.
    failing_since: Option<Instant>,
    /// When the connection limit was first reached; as above.
    at_limit_since: Option<Instant>,
}

impl AcceptBackoff {
    /// Notes that a connection was accepted; returns since when it may have waited in the backlog, if not
    /// only now.
    pub fn record_accept(&mut self) -> Option<Instant> {
        self.consecutive_failures = 0;
        let at_limit = self.at_limit_since.map(|since| since.max(instant_before_now(MAX_WAIT_AT_LIMIT)));
        // The earlier of the two, if there are both.
        self.failing_since.into_iter().chain(at_limit).min()
    }

    /// Notes that the connection limit is reached.
    pub fn record_limit_reached(&mut self) {
        self.at_limit_since.get_or_insert_with(Instant::now);
    }

    /// Whether connections may have waited in the backlog.
    pub fn may_have_backlog(&self) -> bool {
        self.failing_since.is_some() || self.at_limit_since.is_some()
    }

    /// Notes that the backlog is empty.
    pub fn record_empty_backlog(&mut self) {
        self.failing_since = None;
        self.at_limit_since = None;
    }

    /// Waits until the next attempt makes sense. Most errors belong to one connection, which is gone by now
    /// (`ECONNABORTED`, `EPROTO` and network errors), or to none (`EINTR`): the next one is accepted without
    /// delay.
    pub async fn pause_after_failure(&mut self, error: &io::Error) {
        self.consecutive_failures += 1;
        self.failing_since.get_or_insert_with(Instant::now);
        METRICS.accept_failed(if is_resource_exhaustion(error) {
            "resource_exhaustion"
        } else {
            "connection"
        });
        if is_resource_exhaustion(error) {
            tracing::warn!(%error, "cannot accept connections: resources exhausted");
            sleep(RESOURCE_EXHAUSTION_PAUSE).await;
        } else if self.consecutive_failures % FAILURE_BURST == 0 {
            tracing::warn!(%error, failures = self.consecutive_failures, "cannot accept connections");
            sleep(BURST_PAUSE).await;
        } else {
            yield_now().await;
        }
    }
}
