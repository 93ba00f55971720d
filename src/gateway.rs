//! The gateway: a state machine that handles events and returns actions.
//!
//! Each submodule implements one stage of a request's life, or one kind of background work.
//! [`AdmissionController`] keeps the quotas, [`LoadBalancer`] the endpoints, and
//! [`attempt_policy`](crate::attempt_policy) the rules on what may be forwarded, retried or rejected.

mod arrival;
mod completion;
mod forwarding;
mod hedging;
mod housekeeping;
mod load_shedding;
mod retry_budget;

use crate::admission::AdmissionController;
use crate::interface::{
    validate, Action, EndpointListKind, EndpointUpdate, Event, Millis, RequestId, Settings, SettingsError,
};
use crate::load_balancing::{Candidate, LoadBalancer};
use crate::request::Request;
use hedging::HedgeSchedule;
use housekeeping::Housekeeping;
use load_shedding::LoadShedder;
use retry_budget::RetryBudget;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Token of the timers for hedging and housekeeping; whichever of the two is due runs when one fires.
const WAKE_UP_TOKEN: u64 = 0;
/// Token of the timer for a new subscription to the endpoint list.
const RESUBSCRIBE_TOKEN: u64 = 1;
/// Delay between a failed subscription to the endpoint list and the next one, in milliseconds.
const RESUBSCRIBE_DELAY: Millis = 1_000.0;
/// Time reserved for the return of a response before its deadline or latency objective, in milliseconds.
const RESPONSE_DELIVERY_MARGIN: Millis = 2.0;

/// The decision logic of one gateway: admission, load balancing, retries and hedging.
pub struct Gateway {
    settings: Arc<Settings>,
    rng: fastrand::Rng,
    /// Latest time of any event; negative infinity before the first one.
    now: Millis,
    started: bool,
    /// Requests that have no final answer yet, or still have attempts in flight.
    requests: BTreeMap<RequestId, Request>,
    admission: AdmissionController,
    load_balancer: LoadBalancer,
    load_shedder: LoadShedder,
    retry_budget: RetryBudget,
    hedge_schedule: HedgeSchedule,
    housekeeping: Housekeeping,
}

impl Gateway {
    /// Creates a gateway that knows no endpoints yet; `seed` seeds its random decisions.
    ///
    /// # Errors
    /// Returns an error that names the offending setting if the settings are invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        validate(&settings)?;
        let settings = Arc::new(settings);
        let mut rng = fastrand::Rng::with_seed(seed);
        Ok(Self {
            admission: AdmissionController::new(Arc::clone(&settings), &mut rng),
            load_balancer: LoadBalancer::new(Arc::clone(&settings)),
            settings,
            rng,
            now: f64::NEG_INFINITY,
            started: false,
            requests: BTreeMap::new(),
            load_shedder: LoadShedder::default(),
            retry_budget: RetryBudget::default(),
            hedge_schedule: HedgeSchedule::default(),
            housekeeping: Housekeeping::default(),
        })
    }

    /// Processes an event that occurs at `now`, and appends the actions to execute to `actions`, in order.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        // Time must not decrease: a clock that steps back would drain or fill token buckets.
        self.now = self.now.max(now);
        if !self.started {
            self.start(actions);
        }
        match event {
            Event::EndpointList { kind, endpoints } => self.update_endpoints(kind, &endpoints, actions),
            Event::RequestReceived(incoming) => self.receive_request(incoming, actions),
            Event::AttemptFinished(result) => self.finish_attempt(&result, actions),
            Event::StreamStarted { request, .. } => {
                self.requests.entry(request).and_modify(|request| request.streaming = true);
            }
            Event::ClientDisconnected { request } => self.close(&request, actions),
            Event::TimerFired { token: WAKE_UP_TOKEN } => {
                self.send_due_hedges(actions);
                self.run_due_housekeeping(actions);
            }
            Event::TimerFired { token: RESUBSCRIBE_TOKEN } if self.settings.requires_subscription => {
                actions.push(Action::Subscribe);
            }
            Event::TimerFired { .. } => {}
        }
    }

    fn start(&mut self, actions: &mut Vec<Action>) {
        self.started = true;
        self.admission.set_started_at(self.now);
        self.load_balancer.set_started_at(self.now);
        self.schedule_housekeeping(actions);
        if self.settings.requires_subscription {
            actions.push(Action::Subscribe);
        }
    }

    fn update_endpoints(
        &mut self,
        kind: EndpointListKind,
        endpoints: &[EndpointUpdate],
        actions: &mut Vec<Action>,
    ) {
        match kind {
            EndpointListKind::Snapshot => self.load_balancer.replace_endpoints(endpoints, self.now),
            EndpointListKind::Delta => self.load_balancer.update_endpoints(endpoints, self.now),
            EndpointListKind::SubscriptionFailed if self.settings.requires_subscription => {
                let at = self.now + RESUBSCRIBE_DELAY;
                actions.push(Action::SetTimer { token: RESUBSCRIBE_TOKEN, at });
            }
            EndpointListKind::SubscriptionFailed => {}
        }
    }

    /// Selects the endpoint for an attempt of a request; `None` if no endpoint can be used.
    fn select_endpoint(&mut self, request: &Request) -> Option<Candidate> {
        // Endpoints that have just failed are not avoided as long as retries can make up for the failures.
        let penalize_failures = self.retry_budget.is_partly_spent();
        self.load_balancer.select(request, penalize_failures, self.now, &mut self.rng)
    }
}
