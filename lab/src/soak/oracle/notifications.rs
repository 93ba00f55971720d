//! What discovery has told the nodes, and the rules on draining endpoints and slow start that depend on it. A
//! node is notified of an endpoint's state when its agent has written a snapshot or delta with that state. A
//! removal means that an endpoint is draining or removed.

use super::request_history::ReceivedAttempt;
use super::rule::{Rule, Violation};
use super::SCHEDULING_TOLERANCE;
use crate::soak::settings::Parameters;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Time within which a node must learn of a removal while its agent can tell it. After this time the rule on
/// draining endpoints applies even if the node was not notified.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);
/// Time for which a node may still start attempts at an endpoint after being notified of the removal.
const DRAIN_GRACE: Duration = Duration::from_millis(250);

/// Key of a removal notification: the notified node and the endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RemovalKey {
    node: usize,
    endpoint: String,
}

/// One process of an endpoint, identified by its start time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InstanceKey {
    endpoint: String,
    boot_ms: u64,
}

/// Key of a start notification: the notified node and the endpoint's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StartKey {
    node: usize,
    instance: InstanceKey,
}

/// The arrival of an attempt at an endpoint in slow start.
struct Arrival {
    received_at: Instant,
    /// Whether the node had been notified of the endpoint's start.
    notified: bool,
}

/// A process of an endpoint that has started during the run, and the attempts at it.
struct SlowStart {
    started_at: Instant,
    /// The attempts within the last overload window, oldest first.
    arrivals: VecDeque<Arrival>,
    /// Whether a violation was reported. There is at most one for each process.
    violated: bool,
}

/// The notifications of all nodes, and the endpoints in slow start.
#[derive(Default)]
pub struct Notifications {
    /// From when on a node must know that an endpoint is draining or removed; may lie in the future.
    removals: HashMap<RemovalKey, Instant>,
    /// When a node was first notified of an endpoint's start.
    starts: HashMap<StartKey, Instant>,
    slow_starts: HashMap<InstanceKey, SlowStart>,
}

impl Notifications {
    /// Records that the endpoint list shows an endpoint as draining or removed, and that the node's agent
    /// could have told the node since `reachable_since`. The node must know it `MAX_NOTIFICATION_DELAY` after
    /// that, or from an earlier notification on.
    pub fn removal_published(&mut self, node: usize, endpoint: &str, reachable_since: Instant) {
        self.removal_notified(node, endpoint, reachable_since + MAX_NOTIFICATION_DELAY);
    }

    /// Records that a node must know from `at` on that an endpoint is draining or removed. The earliest of
    /// several times applies.
    pub fn removal_notified(&mut self, node: usize, endpoint: &str, at: Instant) {
        let key = RemovalKey { node, endpoint: endpoint.to_owned() };
        let first = self.removals.entry(key).or_insert(at);
        *first = (*first).min(at);
    }

    /// Records that a node is notified now that an endpoint is serving since a start at `boot_ms`.
    pub fn start_notified(&mut self, node: usize, endpoint: &str, boot_ms: u64) {
        let instance = InstanceKey { endpoint: endpoint.to_owned(), boot_ms };
        self.starts.entry(StartKey { node, instance }).or_insert_with(Instant::now);
    }

    /// Removes the notifications of a node that has a new process.
    pub fn node_started(&mut self, node: usize) {
        self.removals.retain(|key, _| key.node != node);
        self.starts.retain(|key, _| key.node != node);
    }

    /// Begins the slow start of an endpoint's new process, and discards notifications of its removal.
    pub fn endpoint_started(&mut self, endpoint: &str, boot_ms: u64) {
        let instance = InstanceKey { endpoint: endpoint.to_owned(), boot_ms };
        let slow_start = SlowStart { started_at: Instant::now(), arrivals: VecDeque::new(), violated: false };
        self.slow_starts.insert(instance, slow_start);
        self.removals.retain(|key, _| key.endpoint != endpoint);
    }

    /// Checks that an attempt did not start later than allowed after its node had to know of the removal.
    pub fn check_drain(&self, node: usize, attempt: &ReceivedAttempt) -> Option<Violation> {
        let key = RemovalKey { node, endpoint: attempt.endpoint.clone() };
        let late = attempt.received_at.checked_duration_since(*self.removals.get(&key)?)?;
        let violated = late > DRAIN_GRACE + SCHEDULING_TOLERANCE;
        let (id, endpoint) = (&attempt.request, &attempt.endpoint);
        let detail = || {
            format!(
                "{id}: attempt by node {node} at {endpoint}, {late:?} after the notification of its removal"
            )
        };
        violated.then(|| Violation::new(Rule::Drain, detail()))
    }

    /// Counts an attempt at an endpoint in slow start. More attempts in an overload window than
    /// [`Parameters::slow_start_limit`] are a violation if most come from nodes notified of the start.
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
        slow_start.violated = count as f64 > limit && slow_start.mostly_from_notified_nodes();
        let detail = || format!("{} at age {age:?}: {count} attempts, limit {limit:.0}", attempt.endpoint);
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
    fn mostly_from_notified_nodes(&self) -> bool {
        let notified = self.arrivals.iter().filter(|arrival| arrival.notified).count();
        notified * 3 > self.arrivals.len() * 2
    }
}
