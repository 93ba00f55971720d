//! All decisions of a gateway, on the types of `src/interface.rs`; here: requests, attempts and housekeeping.

use crate::admission::{Admission, AdmissionController};
use crate::attempt_policy::{self as permit, AttemptState, EarlierAttempt};
use crate::interface::*;
use crate::interface::{validate, SettingsError};
use crate::load_balancing::feedback::ClassWork;
use crate::load_balancing::selection::Candidate;
use crate::load_balancing::subset::Subset;
use crate::request::{Attempt, Request, Server};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Part of what is left of its own aim that a request's expected wait may take.
pub(crate) const ROOM: f64 = 0.7;
/// Part of the shortest aim of all classes that the queue may take before a request of mean worth for work.
const QUEUE_ROOM: f64 = 0.25;
/// Bounds on the factor that worth for work puts on QUEUE_ROOM: cheap requests are refused first.
const QUEUE_FACTOR: (f64, f64) = (0.4, 2.0);
/// Part of what is left of the aim after which a refused request may come back.
const RETRY_AFTER_PART: f64 = 0.25;
/// Weight of one request in the mean worth for work.
const VALUE_WEIGHT: f64 = 0.01;
/// An attempt is overdue after this many times its expected wait ...
const OVERDUE: f64 = 5.0;
/// ... but not before this part of what is left of the aim.
const OVERDUE_LEAST: f64 = 0.6;
/// Further attempts allowed for each first one, so that failing servers do not double the load.
const RETRY_PART: f64 = 0.15;
/// Most further attempts saved up.
pub(crate) const RETRY_STORE: f64 = 15.0;
/// Shortest time between two log lines, in milliseconds.
const LOG_PERIOD: Millis = 5_000.0;
/// Period of pruning, in milliseconds.
pub(crate) const SWEEP: Millis = 1_000.0;
/// Time kept before a deadline or an aim for the way back, in milliseconds.
const MARGIN: Millis = 2.0;

/// The decisions of one gateway.
pub struct Gateway {
    pub(crate) settings: Arc<Settings>,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Millis,
    pub(crate) born: Option<Millis>,
    pub(crate) admission: AdmissionController,
    pub(crate) subset: Subset,
    pub(crate) servers: BTreeMap<EndpointId, Server>,
    /// Part of the attempts to each zone that got no connection of late, and when the last one ended.
    pub(crate) zones: BTreeMap<Arc<str>, (f64, Millis)>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) classes: Vec<ClassWork>,
    /// When requests may get a second copy, in microseconds.
    pub(crate) hedges: BTreeSet<(u64, RequestId)>,
    pub(crate) retries: f64,
    pub(crate) mean_value: f64,
    /// Own attempts out: now, and as found by requests of late.
    pub(crate) out: u32,
    pub(crate) usual_out: f64,
    /// Mean work of a request on an idle server.
    pub(crate) mean_work: Millis,
    /// Shortest aim of all classes: the measure of how quickly queues come and go.
    pub(crate) shortest_aim: Millis,
    pub(crate) sweep_at: Millis,
    pub(crate) refused: StatusSummary,
    pub(crate) log_at: Millis,
}

impl Gateway {
    /// A gateway that knows its settings and nothing else.
    ///
    /// # Errors
    /// If the settings cannot be acted on; the error says which.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        validate(&settings)?;
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = Arc::new(settings);
        let shortest_aim = settings.classes.iter().map(|c| c.latency_objective).fold(f64::INFINITY, f64::min);
        Ok(Self {
            classes: vec![ClassWork::default(); settings.classes.len()],
            admission: AdmissionController::new(Arc::clone(&settings), &mut rng),
            subset: Subset::new(&settings),
            settings,
            rng,
            now: f64::NEG_INFINITY,
            born: None,
            servers: BTreeMap::new(),
            zones: BTreeMap::new(),
            requests: BTreeMap::new(),
            hedges: BTreeSet::new(),
            retries: RETRY_STORE,
            mean_value: 0.0,
            out: 0,
            usual_out: 0.0,
            mean_work: 0.0,
            shortest_aim,
            sweep_at: f64::NEG_INFINITY,
            refused: StatusSummary::default(),
            log_at: f64::NEG_INFINITY,
        })
    }

    /// Takes in one event and adds what is to be done to `actions`, in order.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        // Guards against a clock that steps back: stores must not lose or gain by it.
        self.now = self.now.max(now);
        if self.born.is_none() {
            self.born = Some(self.now);
            self.admission.start(self.now);
            self.sweep_at = self.now + SWEEP;
            actions.push(Action::SetTimer { token: 0, at: self.sweep_at });
            if self.settings.list_subscription {
                actions.push(Action::Subscribe);
            }
        }
        match event {
            Event::EndpointList { kind, endpoints: members } => self.list(kind, &members, actions),
            Event::RequestReceived(arrival) => self.arrive(arrival, actions),
            Event::AttemptFinished(done) => self.done(&done, actions),
            Event::StreamStarted { request, .. } => {
                self.requests.entry(request).and_modify(|request| request.streaming = true);
            }
            Event::ClientDisconnected { request } => self.close(&request, actions),
            Event::TimerFired { token: 0 } => self.tick(actions),
            Event::TimerFired { token: 1 } if self.settings.list_subscription => {
                actions.push(Action::Subscribe)
            }
            Event::TimerFired { .. } => {}
        }
    }

    fn arrive(&mut self, mut arrival: IncomingRequest, actions: &mut Vec<Action>) {
        arrival.gateway_spread = arrival.gateway_spread.clamp(1, self.settings.gateways);
        let id = arrival.request.clone();
        if self.requests.contains_key(&id) {
            return;
        }
        let class = self.settings.classes.iter().position(|c| *c.name == *arrival.class);
        let plan = self.settings.plans.iter().position(|p| *p.name == *arrival.plan);
        let (Some(class), Some(plan)) = (class, plan) else {
            let reason = RejectReason::UnknownClassOrPlan;
            actions.push(Action::Reject { request: id, retry_after: 0.0, reason });
            return;
        };
        let aim_at = self.now + self.settings.classes[class].latency_objective;
        let left = (aim_at - self.now).min(arrival.deadline - self.now);
        let retry_after = self.retry_after(aim_at, arrival.deadline);
        let limits = &self.settings.plans[plan];
        let pays = limits.over_quota_weight > limits.over_quota_cost;
        let admission = self.admission.check(&arrival, plan, self.now, &mut self.rng);
        if admission == Admission::CeilingReached || (admission == Admission::OverQuota && !pays) {
            let ceiling = admission == Admission::CeilingReached;
            *if ceiling { &mut self.refused.ceiling_reached } else { &mut self.refused.over_quota } += 1;
            let reason = if ceiling { RejectReason::CeilingReached } else { RejectReason::OverQuota };
            actions.push(Action::Reject { request: id, retry_after, reason });
            return;
        }
        let attempts = Vec::new();
        let request = Request { class, plan, arrival, aim_at, attempts, closed: false, streaming: false };
        // Under pressure inside quotas the least worth for work is refused first, whatever its plan's price.
        let work = self.work(class, request.arrival.units);
        let value = self.settings.classes[class].priority_weight * request.arrival.units / work;
        if self.mean_value == 0.0 {
            (self.mean_value, self.mean_work) = (value, work);
        }
        self.mean_work += VALUE_WEIGHT * (work - self.mean_work);
        self.mean_value += VALUE_WEIGHT * (value - self.mean_value);
        // Guards against classes of which none is worth anything: they are all alike.
        let factor = if self.mean_value > 0.0 { value / self.mean_value } else { 1.0 };
        let factor = factor.clamp(QUEUE_FACTOR.0, QUEUE_FACTOR.1);
        let factor = if admission == Admission::OverQuota { QUEUE_FACTOR.0 } else { factor };
        let queue_room = QUEUE_ROOM * self.shortest_aim * factor;
        match self.pick(&request) {
            Some(candidate) if candidate.wait <= ROOM * left && candidate.queue <= queue_room => {
                self.admission.record_request(&request.arrival, request.plan, admission);
                self.retries = (self.retries + RETRY_PART).min(RETRY_STORE);
                self.requests.insert(id.clone(), request);
                self.send(&id, candidate, actions);
            }
            _ => {
                self.refused.no_capacity += 1;
                let reason = RejectReason::NoCapacity;
                actions.push(Action::Reject { request: id, retry_after, reason });
            }
        }
    }

    /// When a refused client may come back, 0 for no advice; after the aim it would spend quota for nothing.
    fn retry_after(&self, aim_at: Millis, deadline: Millis) -> Millis {
        let left = (aim_at.min(deadline) - self.now).max(0.0);
        (left * RETRY_AFTER_PART).min(self.settings.max_retry_after.unwrap_or(0.0))
    }

    /// Rule two: whether a further attempt may go to this server.
    pub(crate) fn may_send(&self, request: &Request, server: &Server) -> bool {
        let Some(first) = request.first_that_may_have_run() else { return true };
        let Some(home) = self.servers.get(&first.server) else {
            return self.settings.classes[request.class].idempotency == Idempotency::Idempotent;
        };
        let first = EarlierAttempt {
            sent_at: first.sent_at,
            same_zone: home.zone == server.zone,
            same_cell: home.cell == server.cell,
        };
        // It begins when its connection has come up.
        let begins_by = self.now + self.settings.connect_timeout;
        permit::may_retry(&self.settings.classes[request.class], first, begins_by).is_ok()
    }

    /// Rule two: whether the client may be told that trying again is harmless.
    fn may_reject(&self, request: &Request) -> bool {
        permit::may_reject(self.settings.classes[request.class].idempotency, request.never_ran())
    }

    /// When an answer stops earning anything.
    fn useful_until(&self, request: &Request) -> Millis {
        let late = self.settings.classes[request.class].late_weight > 0.0;
        request.arrival.deadline.min(if late { f64::INFINITY } else { request.aim_at - MARGIN })
    }

    fn send(&mut self, id: &RequestId, to: Candidate, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(request) = self.requests.get(id) else { return };
        let end = self.useful_until(request);
        let left = request.aim_at - now;
        let patience = (OVERDUE * to.wait).max(OVERDUE_LEAST * left);
        let again = self.settings.classes[request.class].idempotency != Idempotency::NotIdempotent
            && (request.attempts.len() as u32 + 1) < self.settings.max_attempts
            && patience + to.wait < left;
        // An attempt that is overdue gets a second copy beside it or, where none may be, gives way to one.
        let hedge = again && self.settings.hedging;
        let give_up_at = if again && !hedge { end.min(now + patience) } else { end };
        let Some(server) = self.servers.get_mut(&to.server) else { return };
        let Some(request) = self.requests.get_mut(id) else { return };
        server.out.push_back((id.clone(), request.attempts.len() as u32, now));
        let busy = server.busy_connections(now);
        server.connections = server.connections.max(busy);
        server.turn = if server.turn.0 == to.turn { (to.turn, server.turn.1 + 1) } else { (to.turn, 1) };
        self.admission.record_attempt(&request.arrival, request.plan);
        self.out += 1;
        let state = AttemptState::InFlight;
        request.attempts.push(Attempt { server: to.server, sent_at: now, state, crowd: to.crowd });
        if hedge {
            self.hedges.insert((micros(now + patience), id.clone()));
            actions.push(Action::SetTimer { token: 0, at: now + patience });
        }
        actions.push(Action::Forward { request: id.clone(), endpoint: to.server, timeout_at: give_up_at });
    }

    fn done(&mut self, done: &AttemptResult, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&done.request) else { return };
        let Some(attempt) = request.attempts.get_mut(done.attempt as usize) else { return };
        if attempt.state != AttemptState::InFlight {
            return;
        }
        attempt.state = if done.outcome.not_executed() {
            AttemptState::NotExecuted
        } else {
            AttemptState::MayHaveExecuted
        };
        let attempt = attempt.clone();
        request.closed |= done.request_closed;
        let (class, plan, arrival) = (request.class, request.plan, request.arrival.clone());
        self.out -= 1;
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.out.retain(|(id, number, _)| *id != done.request || *number != done.attempt);
        }
        self.learn(class, arrival.units, &attempt, done);
        self.admission.record_result(&arrival, plan, done, self.now, &mut self.rng);
        self.settle(&done.request, actions);
    }

    fn settle(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if request.closed {
            return self.close(id, actions);
        }
        if request.out() > 0 {
            return;
        }
        let request = request.clone();
        let end = self.useful_until(&request);
        let free = request.never_ran();
        let more = (request.attempts.len() as u32) < self.settings.max_attempts && !request.streaming;
        let may = more && self.now + MARGIN < end && (free || self.retries >= 1.0);
        let candidate = if may { self.pick(&request) } else { None };
        if let Some(candidate) = candidate.filter(|c| self.now + c.wait < end) {
            self.retries -= if free { 0.0 } else { 1.0 };
            return self.send(id, candidate, actions);
        }
        let answer = if self.may_reject(&request) {
            let retry_after = self.retry_after(request.aim_at, request.arrival.deadline);
            let reason = RejectReason::AttemptsFailed;
            Action::Reject { request: id.clone(), retry_after, reason }
        } else {
            Action::Fail { request: id.clone() }
        };
        actions.push(answer);
        self.requests.remove(id);
    }

    /// Ends a request that has its final answer; attempts still out are withdrawn where that is allowed.
    fn close(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.closed = true;
        for (number, attempt) in request.attempts.iter().enumerate() {
            if self.settings.cancellation && attempt.state == AttemptState::InFlight && !request.streaming {
                actions.push(Action::CancelAttempt { request: id.clone(), attempt: number as u32 });
            }
        }
        if request.out() == 0 {
            self.requests.remove(id);
        }
    }

    /// Callers round times: a timer that comes a little early is the one that was set.
    fn tick(&mut self, actions: &mut Vec<Action>) {
        let now = self.now + MARGIN;
        while let Some(due) = self.hedges.first().filter(|(at, _)| *at <= micros(now)).cloned() {
            self.hedges.remove(&due);
            self.hedge(&due.1, actions);
        }
        if now >= self.sweep_at {
            self.sweep_at = self.now + SWEEP;
            actions.push(Action::SetTimer { token: 0, at: self.sweep_at });
            self.sweep(actions);
        }
    }

    fn hedge(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let most = self.settings.max_attempts as usize;
        let due = |r: &Request| !r.closed && !r.streaming && r.out() == 1 && r.attempts.len() < most;
        let Some(request) = self.requests.get(id).filter(|r| self.retries >= 1.0 && due(r)).cloned() else {
            return;
        };
        let left = request.aim_at - self.now;
        let candidate = self.pick(&request).filter(|c| c.wait < left);
        if let Some(candidate) = candidate.filter(|c| request.attempts.iter().all(|a| a.server != c.server)) {
            self.retries -= 1.0;
            self.send(id, candidate, actions);
        }
    }

    fn sweep(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        self.admission.prune(now);
        let mut ejected = 0;
        self.servers.retain(|_, s| {
            ejected += usize::from(s.on_trial);
            s.state != EndpointStatus::Removed || !s.out.is_empty()
        });
        if now >= self.log_at && (self.refused != StatusSummary::default() || ejected > 0) {
            self.log_at = now + LOG_PERIOD;
            let (customers, servers) = (self.admission.tracked_customers(), self.servers.len());
            let refused = std::mem::take(&mut self.refused);
            actions.push(Action::Log(StatusSummary { customers, endpoints: servers, ejected, ..refused }));
        }
    }
}

fn micros(at: Millis) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}
