//! The dispatcher owns the [`Gateway`], passes events to it and executes the actions that it returns.
//!
//! It connects clients, upstream connections, discovery and the clock. Timers, pending requests, attempts and
//! endpoints have a module each. Everything runs on one thread. An event that results from an action is
//! queued and handled after the current one.

mod attempts;
mod endpoints;
mod executed_requests;
mod message;
mod requests;
mod timers;

use crate::answer::Answer;
use crate::clock::Clock;
use crate::memory_budget::MessageMemory;
use crate::telemetry::metrics::{Violation, METRICS};
use crate::upstream::UpstreamPool;
use attempts::AttemptId;
use edge_gateway::{Action, EndpointList, Event, Gateway, Millis, Outcome, RequestId};
use endpoints::EndpointTable;
use message::incoming_request;
pub use message::{ClientRequest, UpstreamRequest};
pub use requests::DuplicateRequest;
use requests::{PendingRequest, RequestTable};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use timers::{Timer, TimerKey, TimerQueue, UnixMicros};
use tokio::sync::oneshot;
use tokio::time::sleep_until;

/// Time in milliseconds by which the gateway's deadline for a request precedes the client's. It lets the
/// request and the answer cross the network.
const DEADLINE_MARGIN: Millis = 12.0;
/// Time in milliseconds by which the deadline guard precedes the client's deadline. The guard is the timer
/// that answers a request if the gateway has not: after the gateway's deadline, but in time for the client.
const DEADLINE_GUARD_MARGIN: Millis = 5.0;
/// How late a deadline guard may fire, in microseconds; a longer delay violates an invariant. Stalls of the
/// process are shorter.
const MAX_GUARD_DELAY_US: u64 = 300_000;
/// How long a new node waits for the first response of discovery before it is ready, in milliseconds. Its
/// cached list may be old, but the node is expected to use the agent's list from its start. An available
/// agent responds at once; from an unavailable one there is nothing to wait for.
const STARTUP_GRACE_PERIOD: Millis = 300.0;
/// Interval between two checks of the idle upstream connections for their timeout, in milliseconds.
const IDLE_SWEEP_PERIOD: Millis = 500.0;

/// Passes events to the gateway and executes its actions, on the node's only thread.
pub struct Dispatcher {
    state: RefCell<State>,
    upstream: UpstreamPool,
    /// Adapted to the number of endpoints.
    memory: MessageMemory,
    /// Whether two attempts of a request may be in flight at once.
    hedging: bool,
    clock: Clock,
    /// When the startup grace period ends; negative infinity once discovery has responded.
    startup_grace_ends_at: Cell<Millis>,
}

/// What the configuration allows the dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct DispatcherLimits {
    /// Whether two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// Maximum number of endpoints on the list.
    pub max_endpoints: usize,
}

/// The part of the dispatcher that handling an event may change.
struct State {
    gateway: Gateway,
    requests: RequestTable,
    timers: TimerQueue,
    endpoints: EndpointTable,
    /// Time by which every request is answered, even if its client would wait longer; infinite until the node
    /// shuts down.
    shutdown_deadline: Millis,
    /// Events that the gateway has not handled yet, in order of arrival.
    events: VecDeque<Event>,
    /// Buffer for the actions of one event. Empty between events; kept to reuse its allocation.
    actions: Vec<Action>,
}

impl State {
    fn new(gateway: Gateway, max_endpoints: usize) -> Self {
        Self {
            gateway,
            requests: RequestTable::default(),
            timers: TimerQueue::default(),
            endpoints: EndpointTable::new(max_endpoints),
            shutdown_deadline: f64::INFINITY,
            events: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Answers a request as the gateway has decided, and removes it if none of its attempts is in flight.
    fn answer_request(&mut self, id: &RequestId, answer: Answer, now: Millis) {
        let State { requests, timers, .. } = self;
        requests.send_answer(id, answer, timers);
        requests.remove_if_finished(id, timers, now);
    }
}

impl Dispatcher {
    /// Creates a dispatcher with no pending request and no endpoint. `memory` is adapted to the number of
    /// endpoints.
    pub fn new(
        gateway: Gateway,
        clock: Clock,
        upstream: UpstreamPool,
        memory: MessageMemory,
        limits: DispatcherLimits,
    ) -> Rc<Self> {
        let mut state = State::new(gateway, limits.max_endpoints);
        let now = clock.now();
        state.timers.set(now + IDLE_SWEEP_PERIOD, Timer::IdleSweep);
        Rc::new(Self {
            state: RefCell::new(state),
            upstream,
            memory,
            hedging: limits.hedging,
            clock,
            startup_grace_ends_at: Cell::new(now + STARTUP_GRACE_PERIOD),
        })
    }

    /// The current time of the node's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Whether the node is ready for requests: at least one endpoint is serving, and either discovery has
    /// responded or the startup grace period is over.
    pub fn is_ready(&self) -> bool {
        self.now() >= self.startup_grace_ends_at.get() && self.state.borrow().endpoints.has_serving()
    }

    /// Ends the startup grace period. Called when discovery has responded.
    pub fn end_startup_grace_period(&self) {
        self.startup_grace_ends_at.set(f64::NEG_INFINITY);
    }

    /// Accepts a request and returns the receiver of its only answer.
    ///
    /// # Errors
    /// If another request with the same id is pending or must not be executed again.
    pub fn receive_request(
        self: &Rc<Self>,
        request: ClientRequest,
    ) -> Result<oneshot::Receiver<Answer>, DuplicateRequest> {
        let mut state = self.state.borrow_mut();
        let ClientRequest { head, deadline, upstream_request } = request;
        state.requests.check_id(&head.id, self.clock.now())?;
        let (answer_sender, receiver) = oneshot::channel();
        let deadline = deadline.min(state.shutdown_deadline);
        let guard = Timer::DeadlineGuard(head.id.clone());
        let deadline_guard = state.timers.set(deadline - DEADLINE_GUARD_MARGIN, guard);
        let deadline = deadline - DEADLINE_MARGIN;
        let pending = PendingRequest {
            upstream_request: Rc::new(upstream_request),
            class: head.class.clone(),
            deadline,
            answer_sender: Some(answer_sender),
            attempts: Vec::new(),
            deadline_guard,
        };
        state.requests.insert(head.id.clone(), pending);
        state.events.push_back(Event::RequestReceived(incoming_request(head, deadline)));
        self.process_events(&mut state);
        Ok(receiver)
    }

    /// Sets the time by which all requests, pending and later ones, are answered. Called when the node shuts
    /// down.
    pub fn set_shutdown_deadline(self: &Rc<Self>, deadline: Millis) {
        let mut state = self.state.borrow_mut();
        let State { requests, timers, shutdown_deadline, .. } = &mut *state;
        *shutdown_deadline = deadline;
        requests.advance_deadline_guards(deadline - DEADLINE_GUARD_MARGIN, timers);
    }

    /// Closes a request whose client has disconnected: it gets no answer, and the gateway cancels its
    /// attempts in flight. Returns whether the request was open.
    pub fn client_disconnected(self: &Rc<Self>, id: &RequestId) -> bool {
        let mut state = self.state.borrow_mut();
        let Some(request) = state.requests.get_mut(id) else { return false };
        let was_open = request.answer_sender.take().is_some();
        if was_open {
            METRICS.record_client_disconnect();
            tracing::debug!(request = %id, "client disconnected");
            self.close_request(&mut state, id);
        }
        was_open
    }

    /// Number of requests whose clients are waiting for an answer.
    pub fn unanswered_requests(&self) -> usize {
        self.state.borrow().requests.count_unanswered()
    }

    /// Applies a snapshot or a delta of the endpoint list.
    pub fn update_endpoints(self: &Rc<Self>, list: EndpointList) {
        let mut state = self.state.borrow_mut();
        let event = state.endpoints.update(list, |endpoint| self.upstream.close_idle(endpoint));
        self.memory.adapt_to_endpoints(state.endpoints.len());
        state.events.push_back(event);
        self.process_events(&mut state);
    }

    /// Fires timers as they expire; never returns.
    pub async fn run_timers(self: Rc<Self>) {
        let wakeup = self.state.borrow().timers.wakeup();
        loop {
            let next_expiry = self.state.borrow().timers.next_expiry();
            match next_expiry {
                Some(at) => {
                    tokio::select! {
                        () = sleep_until(self.clock.instant_at(at.to_millis())) => self.fire_expired_timers(),
                        () = wakeup.notified() => {}
                    }
                }
                None => wakeup.notified().await,
            }
        }
    }

    fn fire_expired_timers(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        let now = UnixMicros::from_millis(self.clock.now());
        // A timer that is set in this loop fires in the next call, even if its time has already passed.
        for (key, timer) in state.timers.take_expired(now) {
            self.fire_timer(&mut state, key, timer, now);
            self.process_events(&mut state);
        }
    }

    fn fire_timer(self: &Rc<Self>, state: &mut State, key: TimerKey, timer: Timer, now: UnixMicros) {
        match timer {
            Timer::Gateway(token) => state.events.push_back(Event::TimerFired { token }),
            Timer::AttemptTimeout(attempt) => self.abort_attempt(state, &attempt, Outcome::Timeout),
            Timer::DeadlineGuard(request) => {
                if state.requests.send_answer(&request, Answer::DeadlineExceeded, &mut state.timers) {
                    if key.is_overdue(now, MAX_GUARD_DELAY_US) {
                        METRICS.record_violation(Violation::LateAnswer, &request);
                    }
                    self.close_request(state, &request);
                }
            }
            Timer::IdleSweep => {
                self.upstream.close_expired();
                state.timers.set(self.clock.now() + IDLE_SWEEP_PERIOD, Timer::IdleSweep);
            }
        }
    }

    /// Notifies the gateway that a request no longer needs an answer, and removes it if it is finished.
    fn close_request(self: &Rc<Self>, state: &mut State, id: &RequestId) {
        state.events.push_back(Event::ClientDisconnected { request: id.clone() });
        self.process_events(state);
        state.requests.remove_if_finished(id, &mut state.timers, self.clock.now());
    }

    /// Passes queued events to the gateway and executes its actions until no event is left.
    fn process_events(self: &Rc<Self>, state: &mut State) {
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            state.gateway.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.execute(state, action);
            }
            state.actions = actions;
        }
    }

    fn execute(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Forward { request, endpoint, timeout_at } => {
                self.start_attempt(state, request, endpoint, timeout_at);
            }
            Action::Reject { request, retry_after, reason } => {
                METRICS.record_rejection(reason.name());
                tracing::debug!(
                    %request,
                    class = state.requests.get(&request).map(|pending| pending.class.name.as_str()),
                    reason = reason.name(),
                    retry_after,
                    "rejected"
                );
                state.answer_request(&request, Answer::Rejected(retry_after), self.clock.now());
            }
            Action::Fail { request } => state.answer_request(&request, Answer::Failed, self.clock.now()),
            Action::CancelAttempt { request, attempt: index } => {
                self.abort_attempt(state, &AttemptId { request, index }, Outcome::Cancelled);
            }
            Action::SetTimer { token, at } => {
                state.timers.set(at, Timer::Gateway(token));
            }
            Action::Log(summary) => tracing::info!("{summary}"),
            // Discovery follows the endpoint list all the time, without being asked to.
            Action::Subscribe => {}
        }
    }
}
