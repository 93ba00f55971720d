//! Pauses after failures to accept, and since when connections may have waited in the kernel's backlog.

use crate::io::resource_exhaustion::{is_resource_exhaustion, RESOURCE_EXHAUSTION_PAUSE};
use crate::telemetry::metrics::METRICS;
use std::io;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep, Instant};

/// Consecutive failures, other than resource exhaustion, after which accepting pauses: a broken listener must
/// not take all processor time.
const FAILURE_BURST: u32 = 64;
/// Pause after [`FAILURE_BURST`] consecutive failures.
const BURST_PAUSE: Duration = Duration::from_millis(1);
/// Longest time that a connection is assumed to have waited in the backlog because of the connection limit:
/// evictions free capacity within about this time.
const MAX_WAIT_AT_LIMIT: Duration = Duration::from_secs(1);

/// Returns the instant `duration` ago, or the present one if the clock does not go back that far.
fn instant_before_now(duration: Duration) -> Instant {
    let now = Instant::now();
    now.checked_sub(duration).unwrap_or(now)
}

/// Tracks failures to accept, and since when connections have had to wait in the kernel's backlog.
#[derive(Default)]
pub struct AcceptBackoff {
    /// Failures since a connection was last accepted.
    consecutive_failures: u32,
    /// When accepting first failed since the backlog was last empty. Connections accepted until it is empty
    /// again may have waited since then. `None` if accepting has not failed.
    failing_since: Option<Instant>,
    /// When the connection limit was first reached since the backlog was last empty; `None` if it was not.
    at_limit_since: Option<Instant>,
}

impl AcceptBackoff {
    /// Records that a connection was accepted. Returns the earliest time from which it may have waited in the
    /// backlog; `None` if it did not wait.
    pub fn record_accept(&mut self) -> Option<Instant> {
        self.consecutive_failures = 0;
        let at_limit = self.at_limit_since.map(|since| since.max(instant_before_now(MAX_WAIT_AT_LIMIT)));
        // The earlier of the two if both are set.
        self.failing_since.into_iter().chain(at_limit).min()
    }

    /// Records that the connection limit is reached, so that new connections wait in the backlog.
    pub fn record_limit_reached(&mut self) {
        self.at_limit_since.get_or_insert_with(Instant::now);
    }

    /// Whether connections may be waiting in the backlog since a failure or since the limit was reached.
    pub fn may_have_backlog(&self) -> bool {
        self.failing_since.is_some() || self.at_limit_since.is_some()
    }

    /// Records that the backlog is empty: connections accepted from now on have not waited.
    pub fn record_empty_backlog(&mut self) {
        self.failing_since = None;
        self.at_limit_since = None;
    }

    /// Records a failure to accept and waits until the next try. Most errors concern one connection, which
    /// has already closed (`ECONNABORTED`, `EPROTO` and network errors), or none (`EINTR`); after these the
    /// next connection is accepted without delay.
    pub async fn pause_after_failure(&mut self, error: &io::Error) {
        self.consecutive_failures += 1;
        self.failing_since.get_or_insert_with(Instant::now);
        METRICS.record_accept_failure(if is_resource_exhaustion(error) {
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
