//! An estimate of the connections to an endpoint that can be reused, as far as attempts show them.

use crate::interface::{Millis, Outcome};
use std::collections::VecDeque;

/// Connections to one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct ConnectionTracker {
    /// Connections that attempts have opened and that are assumed to be open still.
    open: usize,
    /// Until when each connection that has brought a response is quarantined.
    quarantined_until: VecDeque<Millis>,
}

impl ConnectionTracker {
    /// Whether a connection is open that is neither in use by one of the attempts in flight nor quarantined.
    pub(super) fn has_idle(&self, in_flight: usize, now: Millis) -> bool {
        self.in_use_or_quarantined(in_flight, now) < self.open
    }

    /// Notes that an attempt has been sent, one of those in flight: it reuses a connection or opens one.
    pub(super) fn record_attempt(&mut self, in_flight: usize, now: Millis) {
        self.open = self.open.max(self.in_use_or_quarantined(in_flight, now));
    }

    /// Notes the outcome of an attempt, after which its connection is quarantined for a time or has been
    /// closed.
    pub(super) fn record_outcome(&mut self, outcome: Outcome, quarantine: Millis, now: Millis) {
        self.quarantined_until.retain(|until| now < *until);
        // Whatever else ends an attempt closes its connection too.
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
