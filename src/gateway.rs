//! The gateway: takes in events and returns actions.
//!
//! This module dispatches events to what handles them, a file for each part in the life of a request. It
//! leaves quotas to [`AdmissionController`], endpoints to [`LoadBalancer`], and the rules on what may be
//! forwarded, retried or rejected to [`attempt_policy`](crate::attempt_policy).

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

/// Token of timers for hedges and housekeeping: what is due when one expires is looked up.
const WAKE_UP_TOKEN: u64 = 0;
/// Token of the timer after which the gateway subscribes to the endpoint list again.
const RESUBSCRIBE_TOKEN: u64 = 1;
/// Delay before a new subscription after one has failed, in milliseconds.
const RESUBSCRIBE_DELAY: Millis = 1_000.0;
/// Time that is kept free before a deadline or a latency objective for the way back, in milliseconds.
const RESPONSE_DELIVERY_MARGIN: Millis = 2.0;

/// The decisions of one gateway.
pub struct Gateway {
    settings: Arc<Settings>,
    rng: fastrand::Rng,
    now: Millis,
    started: bool,
    /// Requests that are open or have attempts in flight.
    requests: BTreeMap<RequestId, Request>,
    admission: AdmissionController,
    load_balancer: LoadBalancer,
    load_shedder: LoadShedder,
    retry_budget: RetryBudget,
    hedge_schedule: HedgeSchedule,
    housekeeping: Housekeeping,
}

impl Gateway {
    /// A gateway that knows its settings and nothing else.
    ///
    /// # Errors
    /// If the settings cannot be acted on; the error says which.
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

    /// Takes in one event and appends what is to be done to `actions`, in order.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        // A clock that steps back must not drain or fill token buckets.
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
        self.admission.start(self.now);
        self.load_balancer.start(self.now);
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

    /// The endpoint for an attempt of a request, if any can be used.
    fn select_endpoint(&mut self, request: &Request) -> Option<Candidate> {
        // An endpoint that has just failed is tried again as long as a failure can be made good by a retry.
        let penalize_failures = self.retry_budget.is_partly_spent();
        self.load_balancer.select(request, penalize_failures, self.now, &mut self.rng)
    }
}
