//! Estimates from attempts and their outcomes which connections to an endpoint can be reused.

use crate::interface::{Millis, Outcome};
use std::collections::VecDeque;

/// Tracks the connections of this gateway to one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct ConnectionTracker {
    /// Number of connections that attempts have opened and that are assumed to be still open.
    open: usize,
    /// When the [quarantine](crate::Settings::connection_quarantine) of each connection ends.
    quarantined_until: VecDeque<Millis>,
}

impl ConnectionTracker {
    /// Whether an open connection is neither in use by an attempt in flight nor quarantined.
    pub(super) fn has_idle(&self, in_flight: usize, now: Millis) -> bool {
        self.in_use_or_quarantined(in_flight, now) < self.open
    }

    /// Records that an attempt has been sent: it reuses a connection or opens one. `in_flight` includes it.
    pub(super) fn record_attempt(&mut self, in_flight: usize, now: Millis) {
        self.open = self.open.max(self.in_use_or_quarantined(in_flight, now));
    }

    /// Records the outcome of an attempt, after which its connection is closed or quarantined for a time.
    pub(super) fn record_outcome(&mut self, outcome: Outcome, quarantine: Millis, now: Millis) {
        self.quarantined_until.retain(|until| now < *until);
        // Any other outcome closes the connection.
        if !matches!(outcome, Outcome::Success | Outcome::Overloaded | Outcome::Error) {
            self.open = self.open.saturating_sub(1);
        } else if quarantine > 0.0 {
            self.quarantined_until.push_back(now + quarantine);
        }
    }

    fn in_use_or_quarantined(&self, in_flight: usize, now: Millis) -> usize {
        in_flight + self.quarantined_until.iter().filter(|until| now < **until).count()
    }
}
