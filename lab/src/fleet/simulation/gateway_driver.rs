//! Events of clients and gateways: requests, the actions of gateways, attempts, and restarts of gateways.

use super::scenario::RESTART_GROUPS;
use super::{Simulation, NETWORK_LATENCY};
use crate::deployment::{incoming_request, settings, zone_name};
use crate::fleet::event_queue::ScheduledEvent;
use crate::fleet::simulated_endpoint::AttemptId;
use crate::fleet::statistics::ConnectionKey;
use edge_gateway::{
    Action, AttemptResult, EndpointId, EndpointListKind, EndpointUpdate, Event, Gateway, LoadReport, Millis,
    Outcome, PollBackoff, PollSettings, RequestId,
};
use rand::Rng;
use std::collections::HashMap;
use std::sync::Arc;

/// Name of the only customer.
const CUSTOMER: &str = "c";

/// The process of a gateway, with its clients and its version of the endpoint list.
pub struct SimulatedGateway {
    gateway: Gateway,
    /// How often the process has restarted. Events of an earlier process are ignored.
    pub incarnation: u32,
    /// Request rate of its clients, in requests per second.
    request_rate: f64,
    /// Version of the endpoint list that it has received.
    pub version: usize,
    /// Delays of polls while discovery is unavailable.
    pub backoff: PollBackoff,
    open_requests: HashMap<RequestId, OpenRequest>,
}

/// A request that is not answered yet.
struct OpenRequest {
    attempts: Vec<AttemptId>,
    deadline: Millis,
}

/// An attempt that a gateway has sent to an endpoint.
pub struct Attempt {
    /// Rank of the gateway.
    gateway: u32,
    gateway_incarnation: u32,
    request: RequestId,
    /// Number of the attempt within its request, from 0.
    number: u32,
    /// Endpoint that it was sent to.
    pub endpoint: EndpointId,
    sent_at: Millis,
    /// Whether the gateway has learned the outcome.
    pub finished: bool,
}

impl Simulation {
    pub(super) fn new_gateway(&mut self, rank: u32, incarnation: u32, request_rate: f64) -> SimulatedGateway {
        let settings = settings(self.sizes.gateways, rank, &zone_name(rank, self.sizes.zones));
        let seed = self.rng.random();
        let poll_settings = PollSettings { fleet_size: Some(self.sizes.gateways), notified_after: None };
        SimulatedGateway {
            gateway: Gateway::new(settings, seed).expect("the synthetic settings are valid"),
            incarnation,
            request_rate,
            version: 0,
            backoff: PollBackoff::new(poll_settings, seed),
            open_requests: HashMap::new(),
        }
    }

    /// Delivers the endpoint list to all gateways and schedules their first requests.
    pub(super) fn start_gateways(&mut self) {
        let snapshot = self.endpoint_snapshot();
        for gateway in 0..self.sizes.gateways {
            self.deliver_list(gateway, EndpointListKind::Snapshot, snapshot.clone());
            self.schedule_client_request(gateway);
        }
    }

    fn schedule_client_request(&mut self, gateway: u32) {
        let mean_interval = 1_000.0 / self.gateway(gateway).request_rate;
        let interval = self.draw_exponential(mean_interval);
        self.schedule_after(interval, ScheduledEvent::ClientRequest { gateway });
    }

    pub(super) fn send_client_request(&mut self, gateway: u32) {
        self.schedule_client_request(gateway);
        self.statistics.requests += 1;
        self.last_request += 1;
        let id: RequestId = format!("{:x}", self.last_request).into();
        let request = incoming_request(id.clone(), CUSTOMER.into(), self.now(), 1);
        let open_request = OpenRequest { attempts: Vec::new(), deadline: request.deadline };
        self.gateway(gateway).open_requests.insert(id, open_request);
        self.deliver(gateway, Event::RequestReceived(request));
    }

    pub(super) fn fire_timer(&mut self, gateway: u32, incarnation: u32, token: u64) {
        if self.gateway(gateway).incarnation == incarnation {
            self.deliver(gateway, Event::TimerFired { token });
        }
    }

    pub(super) fn deliver_list(
        &mut self,
        gateway: u32,
        kind: EndpointListKind,
        endpoints: Arc<[EndpointUpdate]>,
    ) {
        self.deliver(gateway, Event::EndpointList { kind, endpoints });
    }

    /// Delivers an event to a gateway and performs the resulting actions.
    fn deliver(&mut self, gateway: u32, event: Event) {
        let now = self.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.gateway(gateway).gateway.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(gateway, action);
        }
        self.actions = actions;
    }

    fn perform(&mut self, gateway: u32, action: Action) {
        match action {
            Action::Forward { request, endpoint, timeout_at } => {
                self.send_attempt(gateway, request, endpoint, timeout_at);
            }
            Action::Reject { request, .. } => {
                self.gateway(gateway).open_requests.remove(&request);
                self.statistics.rejected += 1;
            }
            Action::Fail { request } => {
                self.gateway(gateway).open_requests.remove(&request);
                self.statistics.failed += 1;
            }
            Action::CancelAttempt { request, attempt } => self.cancel_attempt(gateway, &request, attempt),
            Action::SetTimer { token, at } => {
                let incarnation = self.gateway(gateway).incarnation;
                self.queue.schedule(at, ScheduledEvent::TimerFired { gateway, incarnation, token });
            }
            Action::Subscribe | Action::Log(_) => {}
        }
    }

    /// Sends an attempt to an endpoint. It times out at `timeout_at` or at the deadline of the request,
    /// whichever comes first. A `timeout_at` of 0 or less stands for the deadline.
    fn send_attempt(&mut self, rank: u32, request: RequestId, endpoint: EndpointId, timeout_at: Millis) {
        let now = self.now();
        let id = AttemptId(self.last_attempt.0 + 1);
        let gateway = self.gateway(rank);
        let gateway_incarnation = gateway.incarnation;
        let Some(open_request) = gateway.open_requests.get_mut(&request) else { return };
        let number = open_request.attempts.len() as u32;
        open_request.attempts.push(id);
        let deadline = open_request.deadline;
        let timeout_at = if timeout_at > 0.0 { timeout_at.min(deadline) } else { deadline };
        self.last_attempt = id;
        self.attempts.insert(
            id,
            Attempt {
                gateway: rank,
                gateway_incarnation,
                request,
                number,
                endpoint,
                sent_at: now,
                finished: false,
            },
        );
        self.statistics.connections.insert(ConnectionKey { gateway: rank, endpoint }, now);
        self.schedule_after(NETWORK_LATENCY, ScheduledEvent::AttemptArrived { attempt: id });
        let timeout = ScheduledEvent::AttemptFinished { attempt: id, outcome: Outcome::Timeout };
        self.queue.schedule(timeout_at, timeout);
    }

    fn cancel_attempt(&mut self, gateway: u32, request: &RequestId, number: u32) {
        let open_request = self.gateway(gateway).open_requests.get(request);
        let attempt = open_request.and_then(|open| open.attempts.get(number as usize)).copied();
        if let Some(attempt) = attempt {
            let cancelled = ScheduledEvent::AttemptFinished { attempt, outcome: Outcome::Cancelled };
            self.schedule_after(0.0, cancelled);
        }
    }

    /// Delivers the outcome of an attempt to its gateway. If the attempt has finished before its timeout
    /// event, that event only removes it.
    pub(super) fn finish_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        let now = self.now();
        let Some(attempt) = self.attempts.get_mut(&id).filter(|attempt| !attempt.finished) else {
            if outcome == Outcome::Timeout {
                self.attempts.remove(&id);
            }
            return;
        };
        attempt.finished = true;
        let (rank, incarnation) = (attempt.gateway, attempt.gateway_incarnation);
        let in_flight = self.endpoints[attempt.endpoint as usize].in_flight() as f64;
        let result = attempt.result(outcome, now, in_flight);
        if self.gateway(rank).incarnation != incarnation {
            return;
        }
        let succeeded = outcome == Outcome::Success;
        if succeeded && self.gateway(rank).open_requests.remove(&result.request).is_some() {
            self.statistics.served += 1;
        }
        self.deliver(rank, Event::AttemptFinished(result));
    }

    /// Restarts the gateways of one group. Their requests in flight are lost and count as failed.
    pub(super) fn restart_gateways(&mut self, group: u32) {
        let snapshot = self.endpoint_snapshot();
        for rank in (0..self.sizes.gateways).filter(|rank| rank % RESTART_GROUPS == group) {
            let old = self.gateway(rank);
            let (incarnation, request_rate) = (old.incarnation + 1, old.request_rate);
            let mut gateway = self.new_gateway(rank, incarnation, request_rate);
            gateway.version = self.discovery.version();
            let old = std::mem::replace(self.gateway(rank), gateway);
            self.statistics.failed += old.open_requests.len() as u64;
            self.count_discovery_exchange(snapshot.len());
            self.deliver_list(rank, EndpointListKind::Snapshot, snapshot.clone());
        }
    }
}

impl Attempt {
    fn result(&self, outcome: Outcome, now: Millis, endpoint_in_flight: f64) -> AttemptResult {
        let succeeded = outcome == Outcome::Success;
        AttemptResult {
            request: self.request.clone(),
            attempt: self.number,
            endpoint: self.endpoint,
            outcome,
            elapsed: now - self.sent_at,
            request_closed: succeeded,
            usage_percent: None,
            has_usage_report: false,
            load: LoadReport { in_flight: succeeded.then_some(endpoint_in_flight), ..LoadReport::default() },
        }
    }
}
