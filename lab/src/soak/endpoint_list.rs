//! The endpoint list of discovery, the same for all agents.

use super::endpoint::Endpoint;
use serde_json::{json, Value};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::watch;

/// State of an endpoint on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    Serving,
    /// Finishes the requests in flight.
    Draining,
    /// Is no longer on the list.
    Removed,
}

impl EndpointState {
    /// Its name in discovery's protocol.
    fn wire_name(self) -> &'static str {
        match self {
            Self::Serving => "SERVING",
            Self::Draining => "DRAINING",
            Self::Removed => "DELETED",
        }
    }
}

struct Entry {
    endpoint: Arc<Endpoint>,
    state: EndpointState,
    /// The revision of the list in which it last changed.
    revision: u64,
    changed_at: Instant,
}

/// The list, with the revision of its last change.
pub struct EndpointList {
    entries: Mutex<Vec<Entry>>,
    revision: watch::Sender<u64>,
}

/// What a node is notified of when it receives an entry, or a snapshot without it.
pub struct Notification {
    /// The endpoint's id.
    pub endpoint: String,
    /// Its state.
    pub state: EndpointState,
    /// When its process started, in Unix time; 0 for long ago.
    pub boot_ms: u64,
}

/// The list, or its changes since a revision, as they are sent to nodes.
pub struct Update {
    /// The revision up to which it is complete.
    pub revision: u64,
    /// The message's content.
    pub json: Value,
    /// What its receiver is notified of.
    pub notifications: Vec<Notification>,
}

/// An endpoint that drains or is removed.
pub struct Removal {
    /// The endpoint's id.
    pub endpoint: String,
    /// When its state last changed.
    pub changed_at: Instant,
}

impl EndpointList {
    /// An empty list.
    pub fn new() -> Arc<Self> {
        Arc::new(Self { entries: Mutex::default(), revision: watch::channel(1).0 })
    }

    fn entries(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notices changes of the list.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Sets an endpoint's state, and sends its entry again.
    pub fn set_state(&self, id: &str, state: EndpointState) {
        let revision = *self.revision.borrow() + 1;
        for entry in self.entries().iter_mut().filter(|entry| entry.endpoint.id == id) {
            entry.state = state;
            entry.revision = revision;
            entry.changed_at = Instant::now();
        }
        self.revision.send_replace(revision);
    }

    /// Sends the entry of an endpoint that has restarted again, unless it is draining or removed by now.
    pub fn restarted(&self, id: &str) {
        let state = self.entries().iter().find(|entry| entry.endpoint.id == id).map(|entry| entry.state);
        if state == Some(EndpointState::Serving) {
            self.set_state(id, EndpointState::Serving);
        }
    }

    /// Adds an endpoint that serves.
    pub fn add(&self, endpoint: Arc<Endpoint>) {
        let revision = *self.revision.borrow() + 1;
        let entry = Entry { endpoint, state: EndpointState::Serving, revision, changed_at: Instant::now() };
        self.entries().push(entry);
        self.revision.send_replace(revision);
    }

    /// Endpoints that serve.
    pub fn serving(&self) -> Vec<Arc<Endpoint>> {
        let entries = self.entries();
        let serving = entries.iter().filter(|entry| entry.state == EndpointState::Serving);
        serving.map(|entry| entry.endpoint.clone()).collect()
    }

    /// All endpoints that drain or are removed.
    pub fn removals(&self) -> Vec<Removal> {
        let entries = self.entries();
        let not_serving = entries.iter().filter(|entry| entry.state != EndpointState::Serving);
        let removal =
            |entry: &Entry| Removal { endpoint: entry.endpoint.id.clone(), changed_at: entry.changed_at };
        not_serving.map(removal).collect()
    }

    /// The whole list.
    pub fn snapshot(&self) -> Update {
        let revision = *self.revision.borrow();
        let entries = self.entries();
        let is_removed = |entry: &&Entry| entry.state == EndpointState::Removed;
        // A snapshot notifies of a removal by leaving the entry out.
        let (removed, listed): (Vec<&Entry>, Vec<&Entry>) = entries.iter().partition(is_removed);
        let mut notifications = Vec::new();
        let targets: Vec<Value> = listed.iter().map(|entry| entry.send(&mut notifications)).collect();
        notifications.extend(removed.iter().map(|entry| entry.notification(0)));
        let json = json!({"rev": revision, "all": true, "targets": targets});
        Update { revision, json, notifications }
    }

    /// What has changed since a revision; since revision 0 that is a snapshot.
    pub fn changes_since(&self, since: u64) -> Update {
        if since == 0 {
            return self.snapshot();
        }
        let revision = *self.revision.borrow();
        let entries = self.entries();
        let mut notifications = Vec::new();
        let changed = entries.iter().filter(|entry| entry.revision > since);
        let targets: Vec<Value> = changed.map(|entry| entry.send(&mut notifications)).collect();
        let json = json!({"rev": revision, "all": false, "targets": targets});
        Update { revision, json, notifications }
    }
}

impl Entry {
    /// The entry's JSON; its notification is added to the others.
    fn send(&self, notifications: &mut Vec<Notification>) -> Value {
        let endpoint = &self.endpoint;
        let boot_ms = endpoint.boot_ms();
        notifications.push(self.notification(boot_ms));
        json!({"uid": endpoint.id, "endpoint": endpoint.address(), "az": endpoint.zone, "model": "m",
               "pod_group": 0, "state": self.state.wire_name(), "capacity_hint": 1.0, "boot_ms": boot_ms})
    }

    fn notification(&self, boot_ms: u64) -> Notification {
        Notification { endpoint: self.endpoint.id.clone(), state: self.state, boot_ms }
    }
}
