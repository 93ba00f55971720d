//! The ids of requests that must not be executed again, although they are no longer pending.
//!
//! A client that has left may come again with the same id. A request that is not idempotent must not be
//! forwarded a second time then, if an attempt of it may have been executed.

use edge_gateway::{Millis, RequestId};
use std::collections::{HashSet, VecDeque};

/// Maximum number of ids that are kept.
const MAX_IDS: usize = 8192;

/// Ids of requests that may have been executed, each kept for a limited time.
#[derive(Debug, Default)]
pub struct ExecutedRequests {
    ids: HashSet<RequestId>,
    /// The same ids in the order in which they were added, with the time until which they are kept.
    kept_until: VecDeque<(Millis, RequestId)>,
}

impl ExecutedRequests {
    /// Whether a request with this id may have been executed.
    pub fn contains(&mut self, id: &RequestId, now: Millis) -> bool {
        self.forget_expired(now);
        self.ids.contains(id)
    }

    /// Adds an id and keeps it until `kept_until`, or until [`MAX_IDS`] others were added.
    pub fn insert(&mut self, id: RequestId, kept_until: Millis, now: Millis) {
        self.forget_expired(now);
        if self.ids.len() >= MAX_IDS {
            self.forget_oldest();
        }
        if self.ids.insert(id.clone()) {
            self.kept_until.push_back((kept_until, id));
        }
    }

    fn forget_expired(&mut self, now: Millis) {
        while self.kept_until.front().is_some_and(|(until, _)| *until <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.kept_until.pop_front() {
            self.ids.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
