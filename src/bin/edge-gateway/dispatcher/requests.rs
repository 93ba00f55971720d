//! The tables of the driver: open requests with their attempts, timers, servers by name.

use super::message::UpstreamRequest;
use crate::answer::Answer;
use crate::telemetry::metrics::METRICS;
use crate::upstream::{AttemptProgress, EndpointInstance};
use edge_gateway::attempt_policy::{
    self as permit, AttemptContext, AttemptDenied, AttemptState, EarlierAttempt,
};
use edge_gateway::{Action, EndpointId, Event, Gateway, ListedStatus, Millis, RequestClass, RequestId};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// A request that has arrived, until its answer is given and all its attempts have ended.
pub struct Open {
    pub message: Rc<UpstreamRequest>,
    /// What the settings say of its class.
    pub class: Rc<RequestClass>,
    pub deadline: Millis,
    /// Where the answer goes; empty once it is given.
    pub answer: Option<oneshot::Sender<Answer>>,
    pub attempts: Vec<Attempt>,
    pub guard: TimerKey,
}

/// An attempt on one server.
pub struct Attempt {
    pub server: EndpointId,
    pub sent_at: Millis,
    pub progress: Rc<AttemptProgress>,
    /// What carries it out, until a later attempt waits for its end.
    pub task: Option<JoinHandle<()>>,
    pub timer: TimerKey,
    pub state: AttemptState,
    /// The place of its server.
    pub zone: Arc<str>,
    pub cell: u32,
}

impl Attempt {
    /// Whether its outcome is known.
    pub fn ended(&self) -> bool {
        self.state != AttemptState::InFlight
    }
}

/// Timers in order: microseconds of Unix time, and a number that makes each unique.
pub type TimerKey = (u64, u64);

/// What falls due.
pub enum Timer {
    /// The gateway's own.
    Gateway(u64),
    /// An attempt's time is up.
    GiveUp(RequestId, u32),
    /// A request's deadline is near.
    Guard(RequestId),
    /// Idle connections are to be looked through.
    Sweep,
}

/// A server on the list.
pub struct Listed {
    pub uid: Rc<str>,
    pub place: EndpointInstance,
    pub zone: Arc<str>,
    pub cell: u32,
    pub state: ListedStatus,
}

/// All that the driver holds.
pub struct State {
    pub gateway: Gateway,
    pub requests: HashMap<RequestId, Open>,
    pub timers: BTreeMap<TimerKey, Timer>,
    pub timer_number: u64,
    pub servers: HashMap<EndpointId, Listed>,
    pub names: HashMap<Rc<str>, EndpointId>,
    /// Names of zones, one text for all servers of each.
    pub zones: HashSet<Arc<str>>,
    /// By when all is to be answered, whatever clients would wait.
    pub end_at: Millis,
    pub events: VecDeque<Event>,
    pub actions: Vec<Action>,
}

impl State {
    /// Nothing but a gateway.
    pub fn new(gateway: Gateway) -> Self {
        Self {
            gateway,
            requests: HashMap::new(),
            timers: BTreeMap::new(),
            timer_number: 0,
            servers: HashMap::new(),
            names: HashMap::new(),
            zones: HashSet::new(),
            end_at: f64::INFINITY,
            events: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// An id for a server that has none yet; another than its name's own only where two names collide, which
    /// happens once in some millions.
    pub fn new_id(&self, uid: &str) -> EndpointId {
        let mut id = id_of_name(uid);
        while self.servers.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        id
    }

    /// The shared text of a zone's name.
    pub fn zone(&mut self, name: &str) -> Arc<str> {
        if let Some(zone) = self.zones.get(name) {
            return zone.clone();
        }
        let zone: Arc<str> = name.into();
        self.zones.insert(zone.clone());
        zone
    }

    /// Whether a server serves, and is the one that was at this place.
    pub fn serves(&self, server: EndpointId, place: EndpointInstance) -> bool {
        self.servers.get(&server).is_some_and(|s| s.state == ListedStatus::Serving && s.place == place)
    }

    /// Whether an attempt may begin now, by all that is known of its request and its server; gives the time to tell.
    pub fn permit(
        &self,
        id: &RequestId,
        number: u32,
        place: EndpointInstance,
        give_up_at: Millis,
        now: Millis,
        copies: bool,
    ) -> Result<Millis, AttemptDenied> {
        let open = self.requests.get(id).ok_or(AttemptDenied::RequestClosed)?;
        let attempt = open.attempts.get(number as usize).ok_or(AttemptDenied::RequestClosed)?;
        let others = || open.attempts.iter().enumerate().filter(|(other, _)| *other != number as usize);
        let states: Vec<AttemptState> = others().map(|(_, other)| other.state).collect();
        let first = others().map(|(_, other)| other).find(|other| other.state != AttemptState::NotExecuted);
        permit::may_start(&AttemptContext {
            awaiting_response: open.answer.is_some(),
            endpoint_available: self.serves(attempt.server, place),
            time_left: give_up_at - now,
            class: &open.class,
            hedging: copies,
            other_attempts: &states,
            earlier_attempt: first.map(|first| EarlierAttempt {
                sent_at: first.sent_at,
                same_zone: first.zone == attempt.zone,
                same_cell: first.cell == attempt.cell,
            }),
            now,
        })
    }

    /// An attempt that has not ended.
    pub fn attempt(&mut self, id: &RequestId, number: u32) -> Option<&mut Attempt> {
        self.requests.get_mut(id)?.attempts.get_mut(number as usize).filter(|a| !a.ended())
    }

    /// The one place from which a final answer goes out; it fires once for a request.
    pub fn answer(&mut self, id: &RequestId, answer: Answer) -> bool {
        let Some(open) = self.requests.get_mut(id) else { return false };
        let Some(sender) = open.answer.take() else { return false };
        let guard = open.guard;
        self.timers.remove(&guard);
        METRICS.answered(&answer);
        tracing::debug!(request = %id, answer = answer.name(), attempts = open.attempts.len(), "answered");
        // A client that has just left needs no answer; it is told to the gateway by whoever noticed.
        let _ = sender.send(answer);
        true
    }

    /// Forgets a request that is answered and has no attempt out.
    pub fn drop_if_over(&mut self, id: &RequestId) {
        let over = |open: &Open| open.answer.is_none() && open.attempts.iter().all(Attempt::ended);
        if self.requests.get(id).is_some_and(over) {
            if let Some(open) = self.requests.remove(id) {
                self.timers.remove(&open.guard);
            }
        }
    }
}

/// The id of a server by its name alone, so that it is the same at every node however their lists came: the
/// FNV-1a hash, which is the same in every process, as those of the standard library are not.
fn id_of_name(uid: &str) -> EndpointId {
    uid.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

/// Microseconds of Unix time.
pub fn micros(at: Millis) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}

#[cfg(test)]
mod tests;
