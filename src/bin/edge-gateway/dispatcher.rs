//! The only owner of the [`Gateway`]: feeds events in, carries out actions, holds the timers and the table
//! of open requests.
//!
//! All runs on one thread. What an action leads to is queued and handled in order, never from within.

mod message;
mod requests;

use crate::answer::Answer;
use crate::clock::Clock;
use crate::telemetry::metrics::{Violation, METRICS};
use crate::upstream::{AttemptEnd, AttemptProgress, EndpointInstance, UpstreamPool};
use edge_gateway::attempt_policy::AttemptState;
use edge_gateway::{
    Action, AttemptResult, EndpointId, EndpointList, EndpointListKind, EndpointStatus, EndpointUpdate, Event,
    Gateway, Idempotency, IncomingRequest, ListedStatus, Millis, Outcome, RequestId,
};
pub use message::{ClientRequest, UpstreamRequest};
use requests::{micros, Attempt, Listed, Open, State, Timer, TimerKey};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};
use tokio::time::sleep_until;

/// Kept before a client's deadline for the way there and back: the node decides as if it came that much
/// earlier. In milliseconds.
const WAY: Millis = 12.0;
/// When the last guard answers, before the client's deadline: later than any decision, early enough to
/// arrive. In milliseconds.
const GUARD: Millis = 5.0;
/// Until discovery has been heard, a node that has just started is not ready for this long, in milliseconds:
/// its list may be old, and what the agent holds counts as told at once. The agent answers at once, and while
/// discovery is down there is nothing to be told.
const HEAR: Millis = 300.0;
/// The last guard is late from here on, in microseconds: a process that is held up is so by less.
const LATE_ANSWER: u64 = 300_000;
/// Period in which idle connections are looked through, in milliseconds.
const SWEEP: Millis = 500.0;
/// Ties the gateway to clients, app servers, discovery and the clock.
pub struct Dispatcher {
    state: RefCell<State>,
    upstream: UpstreamPool,
    /// Two attempts of a request may be out at once.
    copies: bool,
    clock: Clock,
    /// From when on the node is ready, heard or not, if a server is known.
    ready_at: Cell<Millis>,
    /// A timer became the first.
    sooner: Notify,
}

impl Dispatcher {
    /// A driver with nothing open; `copies` says whether two attempts of a request may be out at once.
    pub fn new(gateway: Gateway, clock: Clock, upstream: UpstreamPool, copies: bool) -> Rc<Self> {
        let state = State::new(gateway);
        let now = clock.now();
        let dispatcher = Rc::new(Self {
            state: RefCell::new(state),
            upstream,
            copies,
            clock,
            ready_at: Cell::new(now + HEAR),
            sooner: Notify::new(),
        });
        dispatcher.set_timer(&mut dispatcher.state.borrow_mut(), now + SWEEP, Timer::Sweep);
        dispatcher
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Whether an app server is known that could serve.
    pub fn is_ready(&self) -> bool {
        let serving = |s: &Listed| s.state == ListedStatus::Serving;
        self.now() >= self.ready_at.get() && self.state.borrow().servers.values().any(serving)
    }

    /// Discovery has told what it has to tell.
    pub fn discovery_responded(&self) {
        self.ready_at.set(f64::NEG_INFINITY);
    }

    /// Takes a request; its one answer comes through the receiver. `None` if a request of the same id is
    /// still open: answering both by one run, or running both, would each break a promise.
    pub fn receive_request(self: &Rc<Self>, ask: ClientRequest) -> Option<oneshot::Receiver<Answer>> {
        let mut state = self.state.borrow_mut();
        let head = ask.head;
        if state.requests.contains_key(&head.id) {
            return None;
        }
        let (answer, receiver) = oneshot::channel();
        let deadline = ask.deadline.min(state.end_at);
        let guard = self.set_timer(&mut state, deadline - GUARD, Timer::Guard(head.id.clone()));
        let deadline = deadline - WAY;
        let open = Open {
            message: Rc::new(ask.upstream_request),
            class: head.class,
            deadline,
            answer: Some(answer),
            attempts: Vec::new(),
            guard,
        };
        state.requests.insert(head.id.clone(), open);
        state.events.push_back(Event::RequestReceived(IncomingRequest {
            request: head.id,
            class: head.class_name,
            plan: head.plan,
            customer: head.customer,
            deadline,
            units: head.units,
            gateway_spread: head.gateway_spread,
            is_retry: head.is_retry,
        }));
        self.work(&mut state);
        Some(receiver)
    }

    /// The node is to end: whatever is open, or comes yet, is answered by then.
    pub fn set_shutdown_deadline(self: &Rc<Self>, end_at: Millis) {
        let mut state = self.state.borrow_mut();
        state.end_at = end_at;
        let waiting = state.requests.iter().filter(|(_, open)| open.answer.is_some());
        let late: Vec<_> = waiting
            .filter(|(_, open)| open.guard.0 > micros(end_at - GUARD))
            .map(|(id, open)| (id.clone(), open.guard))
            .collect();
        for (id, guard) in late {
            state.timers.remove(&guard);
            let guard = self.set_timer(&mut state, end_at - GUARD, Timer::Guard(id.clone()));
            if let Some(open) = state.requests.get_mut(&id) {
                open.guard = guard;
            }
        }
    }

    /// The client has left: nothing is owed any more, and what is out for it is given up.
    pub fn client_disconnected(self: &Rc<Self>, id: &RequestId) {
        let mut state = self.state.borrow_mut();
        let Some(open) = state.requests.get_mut(id) else { return };
        if open.answer.take().is_some() {
            METRICS.client_disconnected();
            tracing::debug!(request = %id, "client left");
            self.leave(&mut state, id);
        }
    }

    /// Requests that wait for their answer.
    pub fn unanswered_requests(&self) -> usize {
        self.state.borrow().requests.values().filter(|open| open.answer.is_some()).count()
    }

    /// Tells the gateway that nothing is owed for a request any more.
    fn leave(self: &Rc<Self>, state: &mut State, id: &RequestId) {
        state.events.push_back(Event::ClientDisconnected { request: id.clone() });
        self.work(state);
        state.drop_if_over(id);
    }

    /// News of the list of app servers.
    pub fn update_endpoints(self: &Rc<Self>, listing: EndpointList) {
        let mut state = self.state.borrow_mut();
        let kind = if listing.is_snapshot { EndpointListKind::Snapshot } else { EndpointListKind::Delta };
        if listing.is_snapshot {
            let named: HashSet<&str> = listing.endpoints.iter().map(|t| t.name.as_str()).collect();
            let gone: Vec<_> =
                state.servers.iter().filter(|(_, s)| !named.contains(&*s.uid)).map(|(id, _)| *id).collect();
            for server in gone {
                self.remove(&mut state, server);
            }
        }
        let mut members = Vec::with_capacity(listing.endpoints.len());
        for target in listing.endpoints {
            let known = state.names.get(target.name.as_str()).copied();
            let gone = target.status == ListedStatus::Deleted;
            let server = match known {
                Some(server) => server,
                None if gone => continue,
                None => state.new_id(&target.name),
            };
            let zone = state.zone(&target.zone);
            members.push(EndpointUpdate {
                endpoint: server,
                zone: zone.clone(),
                cell: target.cell,
                status: match target.status {
                    // Nothing can be sent there.
                    _ if target.address.is_none() => EndpointStatus::Removed,
                    ListedStatus::Serving => EndpointStatus::Ready,
                    ListedStatus::Draining => EndpointStatus::Draining,
                    ListedStatus::Deleted => EndpointStatus::Removed,
                },
                started_at: Some(target.started_at).filter(|ms| *ms > 0.0),
            });
            match target.address {
                Some(address) if !gone => {
                    let place = EndpointInstance { address, started_at: target.started_at };
                    let another = |s: &Listed| s.place != place;
                    if target.status == ListedStatus::Draining
                        || state.servers.get(&server).is_some_and(another)
                    {
                        self.upstream.forget(server);
                    }
                    let uid: Rc<str> = target.name.into();
                    state.names.insert(uid.clone(), server);
                    let cell = target.cell;
                    let listed = Listed { uid, place, zone, cell, state: target.status };
                    state.servers.insert(server, listed);
                }
                _ => self.remove(&mut state, server),
            }
        }
        state.events.push_back(Event::EndpointList { kind, endpoints: members.into() });
        self.work(&mut state);
    }

    fn remove(&self, state: &mut State, server: EndpointId) {
        self.upstream.forget(server);
        if let Some(listed) = state.servers.remove(&server) {
            state.names.remove(&listed.uid);
        }
    }

    /// Fires timers for as long as the node runs.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let first = self.state.borrow().timers.keys().next().copied();
            match first {
                Some((at, _)) => {
                    tokio::select! {
                        () = sleep_until(self.clock.instant(at as f64 / 1000.0)) => self.fire(),
                        () = self.sooner.notified() => {}
                    }
                }
                None => self.sooner.notified().await,
            }
        }
    }

    fn fire(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        let now = micros(self.clock.now());
        // Only what is due now: a timer set meanwhile for a time that has passed fires in the next round.
        let later = state.timers.split_off(&(now + 1, 0));
        for (key, timer) in std::mem::replace(&mut state.timers, later) {
            match timer {
                Timer::Gateway(token) => state.events.push_back(Event::TimerFired { token }),
                Timer::GiveUp(id, number) => self.give_up(&mut state, &id, number, Outcome::Timeout),
                Timer::Guard(id) => {
                    // The last guard: whatever the gateway waits for, a client is answered in time.
                    if state.answer(&id, Answer::DeadlineExceeded) {
                        if now > key.0 + LATE_ANSWER {
                            METRICS.violation(Violation::LateAnswer, &id);
                        }
                        self.leave(&mut state, &id);
                    }
                }
                Timer::Sweep => {
                    self.upstream.sweep();
                    self.set_timer(&mut state, self.clock.now() + SWEEP, Timer::Sweep);
                }
            }
            self.work(&mut state);
        }
    }

    fn set_timer(&self, state: &mut State, at: Millis, timer: Timer) -> TimerKey {
        state.timer_number += 1;
        let key = (micros(at), state.timer_number);
        state.timers.insert(key, timer);
        if state.timers.keys().next() == Some(&key) {
            self.sooner.notify_one();
        }
        key
    }

    /// Feeds queued events to the gateway and carries out what it wants, until neither is left.
    fn work(self: &Rc<Self>, state: &mut State) {
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            state.gateway.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(state, action);
            }
            state.actions = actions;
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Forward { request, endpoint: server, timeout_at: give_up_at } => {
                self.send(state, request, server, give_up_at)
            }
            Action::Reject { request, retry_after, reason } => {
                METRICS.rejected(reason);
                tracing::debug!(%request, reason = reason.name(), "refused");
                state.answer(&request, Answer::Rejected(retry_after));
                state.drop_if_over(&request);
            }
            Action::Fail { request } => {
                state.answer(&request, Answer::Failed);
                state.drop_if_over(&request);
            }
            Action::CancelAttempt { request, attempt } => {
                self.give_up(state, &request, attempt, Outcome::Cancelled)
            }
            Action::SetTimer { token, at } => {
                self.set_timer(state, at, Timer::Gateway(token));
            }
            Action::Log(summary) => tracing::info!("{summary}"),
            // This node's discovery is always subscribed to.
            Action::Subscribe => {}
        }
    }

    fn send(self: &Rc<Self>, state: &mut State, id: RequestId, server: EndpointId, give_up_at: Millis) {
        let now = self.clock.now();
        let State { requests, servers, timer_number, timers, .. } = state;
        let Some(open) = requests.get_mut(&id) else { return };
        let number = open.attempts.len() as u32;
        let give_up_at = if give_up_at > 0.0 { give_up_at.min(open.deadline) } else { open.deadline };
        // An attempt that was given up still holds its connection until its task has ended: to the app servers
        // it is out for as long, and two may not be.
        let given_up = open.attempts.iter_mut().filter(|attempt| attempt.ended());
        let given_up: Vec<_> = given_up.filter_map(|attempt| attempt.task.take()).collect();
        let progress = Rc::new(AttemptProgress::default());
        let listed = servers.get(&server);
        let place = listed.map(|s| s.place);
        let (zone, cell) = listed.map(|s| (s.zone.clone(), s.cell)).unwrap_or_default();
        let attempt = {
            let (dispatcher, id, progress) = (self.clone(), id.clone(), progress.clone());
            let message = open.message.clone();
            let once = open.class.idempotency == Idempotency::NotIdempotent;
            async move {
                for task in given_up {
                    // Whether it ended by itself or was told to is all one.
                    let _ = task.await;
                }
                let end = match place {
                    Some(place) => {
                        let left = || dispatcher.may_write(&id, number, place, give_up_at);
                        let request = || left().map(|left| message.request(left));
                        let keeps = || dispatcher.state.borrow().serves(server, place);
                        dispatcher.upstream.attempt(server, place, &progress, once, request, keeps).await
                    }
                    None => AttemptEnd::bare(Outcome::NotSent),
                };
                dispatcher.attempt_ended(&id, number, end);
            }
        };
        let task = Some(tokio::task::spawn_local(attempt));
        *timer_number += 1;
        let timer = (micros(give_up_at), *timer_number);
        timers.insert(timer, Timer::GiveUp(id, number));
        if timers.keys().next() == Some(&timer) {
            self.sooner.notify_one();
        }
        let state = AttemptState::InFlight;
        open.attempts.push(Attempt { server, sent_at: now, progress, task, timer, state, zone, cell });
    }

    /// The time to tell the server of an attempt whose first byte is about to be written, unless it must not be.
    fn may_write(
        &self,
        id: &RequestId,
        number: u32,
        place: EndpointInstance,
        give_up_at: Millis,
    ) -> Option<Millis> {
        let state = self.state.borrow();
        let permitted = state.permit(id, number, place, give_up_at, self.clock.now(), self.copies);
        if let Err(denied) = permitted {
            METRICS.attempt_denied(denied);
            tracing::debug!(request = %id, attempt = number, reason = %denied, "attempt not begun");
        }
        permitted.ok()
    }

    /// Stops waiting for an attempt and closes its connection.
    fn give_up(&self, state: &mut State, id: &RequestId, number: u32, outcome: Outcome) {
        let Some(attempt) = state.attempt(id, number) else { return };
        if let Some(task) = &attempt.task {
            task.abort();
        }
        // What was never written can't have run: an unsafe request may then be tried again or refused.
        let outcome = if attempt.progress.may_have_run() { outcome } else { Outcome::NotSent };
        self.end(state, id, number, AttemptEnd::bare(outcome));
    }

    fn attempt_ended(self: &Rc<Self>, id: &RequestId, number: u32, end: AttemptEnd) {
        let mut state = self.state.borrow_mut();
        self.end(&mut state, id, number, end);
        self.work(&mut state);
    }

    /// Takes in how an attempt ended, once for each.
    fn end(&self, state: &mut State, id: &RequestId, number: u32, end: AttemptEnd) {
        let now = self.clock.now();
        let Some(attempt) = state.attempt(id, number) else { return };
        let never_ran = end.outcome.not_executed();
        attempt.state = if never_ran { AttemptState::NotExecuted } else { AttemptState::MayHaveExecuted };
        let (server, sent_at, timer) = (attempt.server, attempt.sent_at, attempt.timer);
        state.timers.remove(&timer);
        METRICS.attempt_finished(end.outcome);
        tracing::debug!(request = %id, attempt = number, server, outcome = ?end.outcome, "attempt ended");
        if end.outcome == Outcome::Success {
            state.answer(id, Answer::Served(end.body, end.content_type));
        }
        let closed = state.requests.get(id).is_none_or(|open| open.answer.is_none());
        state.events.push_back(Event::AttemptFinished(AttemptResult {
            request: id.clone(),
            attempt: number,
            endpoint: server,
            outcome: end.outcome,
            elapsed: now - sent_at,
            request_closed: closed,
            usage_percent: end.use_percent,
            has_usage_report: end.metered,
            load: end.load,
        }));
        state.drop_if_over(id);
    }
}
