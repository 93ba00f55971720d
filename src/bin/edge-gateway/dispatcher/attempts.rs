//! Starts, aborts and finishes the attempts of pending requests.
//!
//! Each attempt runs in its own task, which reports its outcome to the dispatcher. The gateway decides
//! whether to make an attempt and selects the endpoint. The upstream pool sends the request and reads the
//! response.

use super::message::UpstreamRequest;
use super::timers::{Timer, TimerKey};
use super::{Dispatcher, State};
use crate::answer::Answer;
use crate::telemetry::metrics::METRICS;
use crate::telemetry::slow_polls::{time_polls, TaskKind};
use crate::upstream::{AttemptEnd, AttemptProgress, EndpointInstance};
use edge_gateway::attempt_policy::{
    check_start, AttemptContext, AttemptDenied, AttemptState, EarlierAttempt,
};
use edge_gateway::{AttemptResult, EndpointId, Event, Idempotency, Millis, Outcome, RequestId};
use std::rc::Rc;
use std::sync::Arc;
use tokio::task::JoinHandle;

/// Identifies an attempt among those of all pending requests.
#[derive(Clone, Debug)]
pub struct AttemptId {
    /// The id of the request that the attempt belongs to.
    pub request: RequestId,
    /// Index among the attempts of that request, in the order in which they were started, from 0.
    pub index: u32,
}

/// An attempt of a pending request, in flight or finished.
pub struct Attempt {
    endpoint: EndpointId,
    /// When the attempt was started, before it waits for earlier tasks or a connection.
    sent_at: Millis,
    progress: Rc<AttemptProgress>,
    /// The task that runs the attempt; `None` once a later attempt waits for the end of the task.
    task: Option<JoinHandle<()>>,
    /// The timer that aborts the attempt.
    timeout_timer: TimerKey,
    /// Whether the attempt is in flight, and once it is not, whether its request may have been executed.
    state: AttemptState,
    /// The zone of the endpoint; empty if the endpoint was not on the list.
    zone: Arc<str>,
    /// The cell of the endpoint; 0 if the endpoint was not on the list.
    cell: u32,
}

impl Attempt {
    /// Whether the attempt has an outcome, even if its task has not ended and still holds its connection.
    pub fn has_finished(&self) -> bool {
        self.state != AttemptState::InFlight
    }

    /// Whether the attempt has finished and its request may have been executed.
    pub fn may_have_been_executed(&self) -> bool {
        self.state == AttemptState::MayHaveExecuted
    }
}

/// What the task of an attempt needs to run it.
struct AttemptTask {
    id: AttemptId,
    endpoint: EndpointId,
    /// The endpoint's process when the attempt was started; `None` if the endpoint was not on the list.
    instance: Option<EndpointInstance>,
    /// When the attempt times out, in Unix time.
    timeout_at: Millis,
    upstream_request: Rc<UpstreamRequest>,
    idempotency: Idempotency,
    progress: Rc<AttemptProgress>,
    /// Tasks of finished attempts of the same request. The attempt starts when they have ended.
    earlier_tasks: Vec<JoinHandle<()>>,
}

impl Dispatcher {
    /// Starts an attempt of a pending request. It times out at `timeout_at`, or at the request's deadline if
    /// that is earlier or `timeout_at` is 0.
    pub(super) fn start_attempt(
        self: &Rc<Self>,
        state: &mut State,
        request_id: RequestId,
        endpoint: EndpointId,
        timeout_at: Millis,
    ) {
        let now = self.clock.now();
        let State { requests, endpoints, timers, .. } = state;
        let Some(request) = requests.get_mut(&request_id) else { return };
        let id = AttemptId { request: request_id, index: request.attempts.len() as u32 };
        let timeout_at = if timeout_at > 0.0 { timeout_at.min(request.deadline) } else { request.deadline };
        // An aborted attempt keeps its connection until its task ends. Until then the endpoint sees it as in
        // flight, and the new attempt must not overlap with it.
        let finished = request.attempts.iter_mut().filter(|attempt| attempt.has_finished());
        let earlier_tasks = finished.filter_map(|attempt| attempt.task.take()).collect();
        let progress = Rc::new(AttemptProgress::default());
        let listed = endpoints.get(endpoint);
        let (zone, cell) = listed.map(|listed| (listed.zone.clone(), listed.cell)).unwrap_or_default();
        let task = self.clone().run_attempt(AttemptTask {
            id: id.clone(),
            endpoint,
            instance: listed.map(|listed| listed.instance),
            timeout_at,
            upstream_request: request.upstream_request.clone(),
            idempotency: request.class.idempotency,
            progress: progress.clone(),
            earlier_tasks,
        });
        let task = Some(tokio::task::spawn_local(time_polls(TaskKind::Attempt, task)));
        let timeout_timer = timers.set(timeout_at, Timer::AttemptTimeout(id));
        let state = AttemptState::InFlight;
        request.attempts.push(Attempt {
            endpoint,
            sent_at: now,
            progress,
            task,
            timeout_timer,
            state,
            zone,
            cell,
        });
    }

    /// Makes an attempt and reports its outcome. Aborting the task of this future closes the connection.
    async fn run_attempt(self: Rc<Self>, mut task: AttemptTask) {
        for earlier_task in std::mem::take(&mut task.earlier_tasks) {
            // Until the task has ended, the endpoint sees its attempt as in flight. Its result only says
            // whether it was aborted.
            let _ = earlier_task.await;
        }
        let end = match task.instance {
            Some(instance) => self.send_upstream(&task, instance).await,
            None => AttemptEnd::without_response(Outcome::NotSent),
        };
        let mut state = self.state.borrow_mut();
        self.finish_attempt(&mut state, &task.id, end);
        self.process_events(&mut state);
    }

    async fn send_upstream(&self, task: &AttemptTask, instance: EndpointInstance) -> AttemptEnd {
        let request = || {
            let time_left = self.check_before_sending(task, instance)?;
            Some(task.upstream_request.with_deadline(time_left))
        };
        let keep_connection = || self.state.borrow().endpoints.is_serving(task.endpoint, instance);
        self.upstream
            .attempt(task.endpoint, instance, &task.progress, task.idempotency, request, keep_connection)
            .await
    }

    /// Checks immediately before the first byte is written whether the attempt may still start. Returns the
    /// time left for it, or counts and logs the denial and returns `None`.
    fn check_before_sending(&self, task: &AttemptTask, instance: EndpointInstance) -> Option<Millis> {
        let state = self.state.borrow();
        let time_left = state.check_attempt(task, instance, self.clock.now(), self.hedging);
        if let Err(denied) = time_left {
            METRICS.record_denied_attempt(denied);
            let AttemptId { request, index } = &task.id;
            tracing::debug!(
                %request,
                attempt = index,
                endpoint = task.endpoint,
                endpoint_name = state.endpoints.get(task.endpoint).map(|listed| &*listed.name),
                reason = %denied,
                "attempt denied"
            );
        }
        time_left.ok()
    }

    /// Aborts an attempt in flight, which closes its connection, and finishes it with `outcome`, or with
    /// [`Outcome::NotSent`] if no byte was written.
    pub(super) fn abort_attempt(&self, state: &mut State, id: &AttemptId, outcome: Outcome) {
        let Some(attempt) = state.requests.attempt_in_flight(id) else { return };
        if let Some(task) = &attempt.task {
            task.abort();
        }
        // A request of which no byte was written cannot have been executed. It may be retried or rejected
        // even if it is not idempotent.
        let outcome = if attempt.progress.may_have_executed() { outcome } else { Outcome::NotSent };
        self.finish_attempt(state, id, AttemptEnd::without_response(outcome));
    }

    /// Records the outcome of an attempt, and answers its request if the attempt succeeded. Does nothing if
    /// the attempt has already finished.
    fn finish_attempt(&self, state: &mut State, id: &AttemptId, end: AttemptEnd) {
        let now = self.clock.now();
        let State { requests, timers, endpoints, events, .. } = state;
        let Some(attempt) = requests.attempt_in_flight(id) else { return };
        let not_executed = end.outcome.not_executed();
        attempt.state = if not_executed { AttemptState::NotExecuted } else { AttemptState::MayHaveExecuted };
        let (endpoint, sent_at) = (attempt.endpoint, attempt.sent_at);
        timers.cancel(attempt.timeout_timer);
        METRICS.record_attempt(end.outcome);
        let AttemptId { request, index } = id;
        tracing::debug!(
            %request,
            attempt = index,
            endpoint,
            endpoint_name = endpoints.get(endpoint).map(|listed| &*listed.name),
            outcome = ?end.outcome,
            error = end.error.as_ref().map(tracing::field::display),
            "attempt finished"
        );
        if end.outcome == Outcome::Success {
            requests.send_answer(request, Answer::Served(end.body, end.content_type), timers);
        }
        events.push_back(Event::AttemptFinished(AttemptResult {
            request: request.clone(),
            attempt: *index,
            endpoint,
            outcome: end.outcome,
            elapsed: now - sent_at,
            request_closed: !requests
                .get(request)
                .is_some_and(super::requests::PendingRequest::awaits_answer),
            usage_percent: end.usage_percent,
            has_usage_report: end.has_usage_report,
            load: end.load,
        }));
        requests.remove_if_finished(request, timers, now);
    }
}

impl State {
    /// Returns the time left for an attempt, or why it must not start now in the current state of its request
    /// and its endpoint.
    fn check_attempt(
        &self,
        task: &AttemptTask,
        instance: EndpointInstance,
        now: Millis,
        hedging: bool,
    ) -> Result<Millis, AttemptDenied> {
        let index = task.id.index as usize;
        let request = self.requests.get(&task.id.request).ok_or(AttemptDenied::RequestClosed)?;
        let attempt = request.attempts.get(index).ok_or(AttemptDenied::RequestClosed)?;
        let others = request.attempts.iter().enumerate().filter(|(other_index, _)| *other_index != index);
        let others: Vec<&Attempt> = others.map(|(_, other)| other).collect();
        let states: Vec<AttemptState> = others.iter().map(|other| other.state).collect();
        let earlier = others.iter().find(|other| other.state != AttemptState::NotExecuted);
        check_start(&AttemptContext {
            awaiting_response: request.awaits_answer(),
            endpoint_available: self.endpoints.is_serving(task.endpoint, instance),
            time_left: task.timeout_at - now,
            class: &request.class,
            hedging,
            other_attempts: &states,
            earlier_attempt: earlier.map(|earlier| EarlierAttempt {
                sent_at: earlier.sent_at,
                same_zone: earlier.zone == attempt.zone,
                same_cell: earlier.cell == attempt.cell,
            }),
            now,
        })
    }
}
