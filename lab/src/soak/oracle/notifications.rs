//! What nodes have been notified of by discovery, and the rules on draining endpoints and slow start.

use super::request_history::ReceivedAttempt;
use super::rule::{Rule, Violation};
use super::SCHEDULING_TOLERANCE;
use crate::soak::settings::Parameters;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// A node counts as notified so long after discovery had a change and could be reached, whether it was
/// written or not.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);
/// An attempt may start at a draining endpoint so long after the notification.
const DRAIN_GRACE: Duration = Duration::from_millis(250);

/// A node and an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RemovalKey {
    node: usize,
    endpoint: String,
}

/// An endpoint's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InstanceKey {
    endpoint: String,
    boot_ms: u64,
}

/// A node and an endpoint's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StartKey {
    node: usize,
    instance: InstanceKey,
}

/// An attempt at an endpoint in slow start.
struct Arrival {
    received_at: Instant,
    /// Its node had been notified of the endpoint's start.
    notified: bool,
}

/// The load of an endpoint that has started during the run.
struct SlowStart {
    started_at: Instant,
    /// Attempts within the overload window.
    arrivals: VecDeque<Arrival>,
    violated: bool,
}

/// Notifications of all nodes.
#[derive(Default)]
pub struct Notifications {
    /// When a node was first notified that an endpoint is draining or removed.
    removals: HashMap<RemovalKey, Instant>,
    /// When a node was first notified of an endpoint's start.
    starts: HashMap<StartKey, Instant>,
    slow_starts: HashMap<InstanceKey, SlowStart>,
}

impl Notifications {
    /// Discovery has a change by which an endpoint drains or is removed; the node can have been notified of
    /// it since `reachable_since`.
    pub fn removal_published(&mut self, node: usize, endpoint: &str, reachable_since: Instant) {
        self.removal_notified(node, endpoint, reachable_since + MAX_NOTIFICATION_DELAY);
    }

    /// A node was notified at this time that an endpoint drains or is removed.
    pub fn removal_notified(&mut self, node: usize, endpoint: &str, at: Instant) {
        let key = RemovalKey { node, endpoint: endpoint.to_owned() };
        let first = self.removals.entry(key).or_insert(at);
        *first = (*first).min(at);
    }

    /// A node was notified that an endpoint's process serves.
    pub fn start_notified(&mut self, node: usize, endpoint: &str, boot_ms: u64) {
        let instance = InstanceKey { endpoint: endpoint.to_owned(), boot_ms };
        self.starts.entry(StartKey { node, instance }).or_insert_with(Instant::now);
    }

    /// A node has a new process, which has not been notified of anything yet.
    pub fn node_started(&mut self, node: usize) {
        self.removals.retain(|key, _| key.node != node);
        self.starts.retain(|key, _| key.node != node);
    }

    /// An endpoint has a new process, in slow start.
    pub fn endpoint_started(&mut self, endpoint: &str, boot_ms: u64) {
        let instance = InstanceKey { endpoint: endpoint.to_owned(), boot_ms };
        let slow_start = SlowStart { started_at: Instant::now(), arrivals: VecDeque::new(), violated: false };
        self.slow_starts.insert(instance, slow_start);
        self.removals.retain(|key, _| key.endpoint != endpoint);
    }

    /// Checks an attempt of a node against what it was notified of.
    pub fn check_drain(&self, node: usize, attempt: &ReceivedAttempt) -> Option<Violation> {
        let key = RemovalKey { node, endpoint: attempt.endpoint.clone() };
        let late = attempt.received_at.checked_duration_since(*self.removals.get(&key)?)?;
        let violated = late > DRAIN_GRACE + SCHEDULING_TOLERANCE;
        let (id, endpoint) = (&attempt.request, &attempt.endpoint);
        let detail = || format!("{id}: node {node} to {endpoint} {late:?} after the notification");
        violated.then(|| Violation::new(Rule::Drain, detail()))
    }

    /// Counts an attempt at an endpoint in slow start. A limit that is exceeded is a violation, once for each
    /// process, if most of the attempts come from nodes that had been notified of the start.
    pub fn check_slow_start(
        &mut self,
        node: usize,
        attempt: &ReceivedAttempt,
        parameters: &Parameters,
    ) -> Option<Violation> {
        let instance = InstanceKey { endpoint: attempt.endpoint.clone(), boot_ms: attempt.boot_ms };
        let slow_start = self.slow_starts.get_mut(&instance)?;
        let notified_at = self.starts.get(&StartKey { node, instance });
        let notified = notified_at.is_some_and(|notified_at| attempt.received_at > *notified_at);
        let age = attempt.received_at.saturating_duration_since(slow_start.started_at);
        if age > parameters.slow_start_duration || slow_start.violated {
            return None;
        }
        let arrival = Arrival { received_at: attempt.received_at, notified };
        slow_start.add(arrival, parameters.overload_window);
        let count = slow_start.arrivals.len();
        let limit = parameters.slow_start_limit(age);
        slow_start.violated = count as f64 > limit && slow_start.most_are_notified();
        let detail = || format!("{} at age {age:?}: {count} of at most {limit:.0}", attempt.endpoint);
        slow_start.violated.then(|| Violation::new(Rule::SlowStart, detail()))
    }
}

impl SlowStart {
    fn add(&mut self, arrival: Arrival, window: Duration) {
        let now = arrival.received_at;
        self.arrivals.push_back(arrival);
        while self.arrivals.front().is_some_and(|first| first.received_at + window < now) {
            self.arrivals.pop_front();
        }
    }

    /// Whether more than two thirds of the attempts come from notified nodes.
    fn most_are_notified(&self) -> bool {
        let notified = self.arrivals.iter().filter(|arrival| arrival.notified).count();
        notified * 3 > self.arrivals.len() * 2
    }
}
