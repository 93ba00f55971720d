//! Detects tasks that hold the node's only thread for long. Until the poll of such a task ends, no other task
//! runs: no client is answered and no timer fires.

use crate::telemetry::metrics::METRICS;
use std::future::{poll_fn, Future};
use std::time::{Duration, Instant};

/// Duration from which one poll of a task counts as slow. Most polls take microseconds.
const SLOW_POLL_THRESHOLD: Duration = Duration::from_millis(50);

/// The kinds of tasks whose polls are timed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskKind {
    /// Accepts connections of clients.
    Accept,
    /// Makes one attempt at an endpoint.
    Attempt,
    /// Serves one connection of a client.
    ClientConnection,
    /// Follows the endpoint list.
    Discovery,
    /// Reads and writes one connection to the discovery agent.
    DiscoveryConnection,
    /// Serves the metrics.
    Metrics,
    /// Handles expired timers.
    Timers,
}

impl TaskKind {
    /// Returns the value of the label `task` of the metric.
    pub fn name(self) -> &'static str {
        match self {
            TaskKind::Accept => "accept",
            TaskKind::Attempt => "attempt",
            TaskKind::ClientConnection => "client_connection",
            TaskKind::Discovery => "discovery",
            TaskKind::DiscoveryConnection => "discovery_connection",
            TaskKind::Metrics => "metrics",
            TaskKind::Timers => "timers",
        }
    }
}

/// Wraps a task's future. Counts and logs each of its polls that takes at least [`SLOW_POLL_THRESHOLD`], when
/// the poll ends.
pub fn time_polls<F: Future>(task: TaskKind, future: F) -> impl Future<Output = F::Output> {
    let mut future = Box::pin(future);
    poll_fn(move |cx| {
        let started_at = Instant::now();
        let result = future.as_mut().poll(cx);
        let duration = started_at.elapsed();
        if duration >= SLOW_POLL_THRESHOLD {
            METRICS.record_slow_poll(task);
            tracing::warn!(task = task.name(), ?duration, "a task held the thread");
        }
        result
    })
}

#[cfg(test)]
mod tests;
