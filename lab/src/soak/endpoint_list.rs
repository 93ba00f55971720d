//! The endpoint list, which all discovery agents serve.

use super::endpoint::Endpoint;
use serde_json::{json, Value};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::watch;

/// State of an endpoint on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    Serving,
    /// The endpoint finishes its requests in flight and must get no further ones.
    Draining,
    /// The endpoint has been removed from the list.
    Removed,
}

impl EndpointState {
    /// Name of the state in the discovery protocol.
    fn wire_name(self) -> &'static str {
        match self {
            Self::Serving => "SERVING",
            Self::Draining => "DRAINING",
            Self::Removed => "DELETED",
        }
    }
}

/// An entry of the list. Entries of removed endpoints are kept, so that their removal can be sent.
struct Entry {
    endpoint: Arc<Endpoint>,
    state: EndpointState,
    /// Version of the list in which the entry last changed.
    version: u64,
    changed_at: Instant,
}

/// The endpoint list and its version, which each change increments.
pub struct EndpointList {
    entries: Mutex<Vec<Entry>>,
    version: watch::Sender<u64>,
}

/// The state of one endpoint, as a node learns it from an update.
pub struct Notification {
    /// Id of the endpoint.
    pub endpoint: String,
    /// State of the endpoint.
    pub state: EndpointState,
    /// Start of the endpoint's process in Unix time, in milliseconds; 0 if it started long ago.
    pub boot_ms: u64,
}

/// A snapshot of the list, or a delta with its changes since a version, as it is sent to nodes.
pub struct Update {
    /// Version of the list after the update.
    pub version: u64,
    /// Content of the message.
    pub json: Value,
    /// The states that the receiver learns from the update.
    pub notifications: Vec<Notification>,
}

/// The removal of an endpoint from service: it is draining or removed.
pub struct Removal {
    /// Id of the endpoint.
    pub endpoint: String,
    /// When the state of the endpoint was last set.
    pub changed_at: Instant,
}

impl EndpointList {
    /// Creates an empty list.
    pub fn new() -> Arc<Self> {
        Arc::new(Self { entries: Mutex::default(), version: watch::channel(1).0 })
    }

    fn entries(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver of the list's version, which is notified of each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Sets the state of an endpoint, and publishes its entry even if the state is the same.
    pub fn set_state(&self, id: &str, state: EndpointState) {
        let version = *self.version.borrow() + 1;
        for entry in self.entries().iter_mut().filter(|entry| entry.endpoint.id == id) {
            entry.state = state;
            entry.version = version;
            entry.changed_at = Instant::now();
        }
        self.version.send_replace(version);
    }

    /// Publishes the new start time of a restarted endpoint, unless it is draining or removed by now.
    pub fn publish_restart(&self, id: &str) {
        let state = self.entries().iter().find(|entry| entry.endpoint.id == id).map(|entry| entry.state);
        if state == Some(EndpointState::Serving) {
            self.set_state(id, EndpointState::Serving);
        }
    }

    /// Adds an endpoint in state `Serving`.
    pub fn add(&self, endpoint: Arc<Endpoint>) {
        let version = *self.version.borrow() + 1;
        let entry = Entry { endpoint, state: EndpointState::Serving, version, changed_at: Instant::now() };
        self.entries().push(entry);
        self.version.send_replace(version);
    }

    /// Returns all endpoints in state `Serving`.
    pub fn serving(&self) -> Vec<Arc<Endpoint>> {
        let entries = self.entries();
        let serving = entries.iter().filter(|entry| entry.state == EndpointState::Serving);
        serving.map(|entry| entry.endpoint.clone()).collect()
    }

    /// Returns all endpoints that are draining or removed.
    pub fn removals(&self) -> Vec<Removal> {
        let entries = self.entries();
        let not_serving = entries.iter().filter(|entry| entry.state != EndpointState::Serving);
        let removal =
            |entry: &Entry| Removal { endpoint: entry.endpoint.id.clone(), changed_at: entry.changed_at };
        not_serving.map(removal).collect()
    }

    /// Returns a snapshot of the list.
    pub fn snapshot(&self) -> Update {
        let version = *self.version.borrow();
        let entries = self.entries();
        let is_removed = |entry: &&Entry| entry.state == EndpointState::Removed;
        // A node learns of a removal by the entry's absence from the snapshot.
        let (removed, listed): (Vec<&Entry>, Vec<&Entry>) = entries.iter().partition(is_removed);
        let mut notifications = Vec::new();
        let targets: Vec<Value> =
            listed.iter().map(|entry| entry.encode_and_notify(&mut notifications)).collect();
        notifications.extend(removed.iter().map(|entry| entry.notification(0)));
        let json = json!({"rev": version, "all": true, "targets": targets});
        Update { version, json, notifications }
    }

    /// Returns a delta with the changes since a version, or a snapshot if that version is 0.
    pub fn changes_since(&self, since: u64) -> Update {
        if since == 0 {
            return self.snapshot();
        }
        let version = *self.version.borrow();
        let entries = self.entries();
        let mut notifications = Vec::new();
        let changed = entries.iter().filter(|entry| entry.version > since);
        let targets: Vec<Value> = changed.map(|entry| entry.encode_and_notify(&mut notifications)).collect();
        let json = json!({"rev": version, "all": false, "targets": targets});
        Update { version, json, notifications }
    }
}

impl Entry {
    /// Returns the entry as JSON, and adds the matching notification to `notifications`.
    fn encode_and_notify(&self, notifications: &mut Vec<Notification>) -> Value {
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
