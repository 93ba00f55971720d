//! The one owner of the [`Gateway`]: feeds it events and executes the actions that it returns.
//!
//! Ties clients, upstream connections, discovery and the clock together. Its tables are modules of their own:
//! timers, pending requests with their attempts, endpoints. All of it runs on one thread. Events that an
//! action leads to are queued and handled in order, never from within the handling of another.

mod attempts;
mod endpoints;
mod message;
mod requests;
mod timers;

use crate::answer::Answer;
use crate::clock::Clock;
use crate::telemetry::metrics::{Violation, METRICS};
use crate::upstream::UpstreamPool;
use attempts::AttemptId;
use edge_gateway::{Action, EndpointList, Event, Gateway, Millis, Outcome, RequestId};
use endpoints::EndpointTable;
use message::incoming_request;
pub use message::{ClientRequest, UpstreamRequest};
use requests::{PendingRequest, RequestTable};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use timers::{Timer, TimerKey, TimerQueue, UnixMicros};
use tokio::sync::oneshot;
use tokio::time::sleep_until;

/// Kept before a client's deadline for the way of the request and of the answer: the node decides as if the
/// deadline were that much earlier. In milliseconds.
const DEADLINE_MARGIN: Millis = 12.0;
/// How long before the client's deadline the deadline guard answers, in milliseconds: later than any
/// decision, early enough for the answer to arrive.
const DEADLINE_GUARD_MARGIN: Millis = 5.0;
/// A deadline guard that expires later than this, in microseconds, violates an invariant. A process that is
/// held up is so for less.
const MAX_GUARD_DELAY_US: u64 = 300_000;
/// Until discovery has responded, a node that has just started is not ready for this long, in milliseconds:
/// its list may be old, and it counts as notified at once of what the agent holds. The agent responds at
/// once, and while discovery is down there is nothing to be notified of.
const STARTUP_GRACE_PERIOD: Millis = 300.0;
/// Period in which idle upstream connections are checked for their timeout, in milliseconds.
const IDLE_SWEEP_PERIOD: Millis = 500.0;

/// The owner of the gateway, on the node's one thread.
pub struct Dispatcher {
    state: RefCell<State>,
    upstream: UpstreamPool,
    /// Whether two attempts of a request may be in flight at once.
    hedging: bool,
    clock: Clock,
    /// When the startup grace period ends.
    startup_grace_ends_at: Cell<Millis>,
}

/// What changes with the events.
struct State {
    gateway: Gateway,
    requests: RequestTable,
    timers: TimerQueue,
    endpoints: EndpointTable,
    /// When everything has to be answered, however long clients would wait.
    shutdown_deadline: Millis,
    /// Events that the gateway has not handled yet.
    events: VecDeque<Event>,
    /// Empty between two events; kept for its memory.
    actions: Vec<Action>,
}

impl State {
    fn new(gateway: Gateway) -> Self {
        Self {
            gateway,
            requests: RequestTable::default(),
            timers: TimerQueue::default(),
            endpoints: EndpointTable::default(),
            shutdown_deadline: f64::INFINITY,
            events: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Gives an answer that the gateway has decided on.
    fn answer_request(&mut self, id: &RequestId, answer: Answer) {
        let State { requests, timers, .. } = self;
        requests.send_answer(id, answer, timers);
        requests.remove_if_finished(id, timers);
    }
}

impl Dispatcher {
    /// A dispatcher with no pending request; `hedging` says whether two attempts of a request may be in
    /// flight at once.
    pub fn new(gateway: Gateway, clock: Clock, upstream: UpstreamPool, hedging: bool) -> Rc<Self> {
        let mut state = State::new(gateway);
        let now = clock.now();
        state.timers.set(now + IDLE_SWEEP_PERIOD, Timer::IdleSweep);
        Rc::new(Self {
            state: RefCell::new(state),
            upstream,
            hedging,
            clock,
            startup_grace_ends_at: Cell::new(now + STARTUP_GRACE_PERIOD),
        })
    }

    /// The present time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Whether the node may be sent requests: an endpoint serves, and discovery has responded or the startup
    /// grace period is over.
    pub fn is_ready(&self) -> bool {
        self.now() >= self.startup_grace_ends_at.get() && self.state.borrow().endpoints.has_serving()
    }

    /// Discovery has responded, which ends the startup grace period.
    pub fn discovery_responded(&self) {
        self.startup_grace_ends_at.set(f64::NEG_INFINITY);
    }

    /// Accepts a request; its one answer comes through the receiver. `None` if a request of the same id is
    /// pending: answering both by one execution, or executing both, would each be wrong.
    pub fn receive_request(self: &Rc<Self>, request: ClientRequest) -> Option<oneshot::Receiver<Answer>> {
        let mut state = self.state.borrow_mut();
        let ClientRequest { head, deadline, upstream_request } = request;
        if state.requests.contains(&head.id) {
            return None;
        }
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
        Some(receiver)
    }

    /// The node shuts down: requests that are pending, or are still received, are answered by this deadline.
    pub fn set_shutdown_deadline(self: &Rc<Self>, deadline: Millis) {
        let mut state = self.state.borrow_mut();
        let State { requests, timers, shutdown_deadline, .. } = &mut *state;
        *shutdown_deadline = deadline;
        requests.advance_deadline_guards(deadline - DEADLINE_GUARD_MARGIN, timers);
    }

    /// The client of a request has disconnected: no answer is owed, and the gateway cancels what is in flight
    /// for it.
    pub fn client_disconnected(self: &Rc<Self>, id: &RequestId) {
        let mut state = self.state.borrow_mut();
        let Some(request) = state.requests.get_mut(id) else { return };
        if request.answer_sender.take().is_some() {
            METRICS.client_disconnected();
            tracing::debug!(request = %id, "client disconnected");
            self.close_request(&mut state, id);
        }
    }

    /// Number of requests whose clients wait for an answer.
    pub fn unanswered_requests(&self) -> usize {
        self.state.borrow().requests.count_unanswered()
    }

    /// Applies the endpoint list or a change of it.
    pub fn update_endpoints(self: &Rc<Self>, list: EndpointList) {
        let mut state = self.state.borrow_mut();
        let event = state.endpoints.update(list, |endpoint| self.upstream.close_idle(endpoint));
        state.events.push_back(event);
        self.process_events(&mut state);
    }

    /// Fires timers as they expire, for as long as the node runs.
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
        // A timer that is set meanwhile for a time that has passed fires in the next round.
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
                        METRICS.violation(Violation::LateAnswer, &request);
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

    /// Notifies the gateway that no answer is owed for a request any more.
    fn close_request(self: &Rc<Self>, state: &mut State, id: &RequestId) {
        state.events.push_back(Event::ClientDisconnected { request: id.clone() });
        self.process_events(state);
        state.requests.remove_if_finished(id, &mut state.timers);
    }

    /// Feeds queued events to the gateway and executes its actions, until neither is left.
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
                METRICS.rejected(reason);
                tracing::debug!(%request, reason = reason.name(), "rejected");
                state.answer_request(&request, Answer::Rejected(retry_after));
            }
            Action::Fail { request } => state.answer_request(&request, Answer::Failed),
            Action::CancelAttempt { request, attempt: index } => {
                self.abort_attempt(state, &AttemptId { request, index }, Outcome::Cancelled);
            }
            Action::SetTimer { token, at } => {
                state.timers.set(at, Timer::Gateway(token));
            }
            Action::Log(summary) => tracing::info!("{summary}"),
            // This node's discovery is always subscribed.
            Action::Subscribe => {}
        }
    }
}
