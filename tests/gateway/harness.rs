//! One gateway driven by made-up events, and the settings and events that most tests start from.

use edge_gateway::*;
use std::sync::Arc;

pub fn settings() -> Settings {
    Settings {
        gateways: 2,
        rank: 0,
        zone: "east".into(),
        classes: vec![
            class("read", Idempotency::Idempotent),
            class("edit", Idempotency::WithKey(KeyScope::Cell)),
            class("pay", Idempotency::NotIdempotent),
        ],
        plans: vec![Plan {
            name: "basic".into(),
            rate: 5.0,
            burst: 10.0,
            over_quota_cost: 1.0,
            ..Plan::default()
        }],
        max_attempts: 3,
        hedging: false,
        cancellation: true,
        list_subscription: false,
        retries_marked: true,
        max_retry_after: Some(1000.0),
        usage_report_period: Some(1000.0),
        cross_zone_cost: 0.01,
        handshake_cost: 0.0,
        connect_timeout: 100.0,
        idle_timeout: None,
        slow_start_initial_capacity: 0.2,
        slow_start_duration: 15_000.0,
        overload_threshold: 2.0,
        overload_window: 1000.0,
        ..Settings::default()
    }
}

pub fn class(name: &str, effect: Idempotency) -> RequestClass {
    RequestClass {
        name: name.into(),
        latency_objective: 1000.0,
        deadline: 3000.0,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: effect,
        idempotency_window: 3000.0,
    }
}

pub fn member(server: EndpointId, cell: u32, state: EndpointStatus) -> EndpointUpdate {
    EndpointUpdate { endpoint: server, zone: "east".into(), cell, status: state, started_at: None }
}

pub struct Rig {
    pub gateway: Gateway,
    pub actions: Vec<Action>,
    pub requests: u32,
}

impl Rig {
    pub fn new(settings: Settings, members: Vec<EndpointUpdate>) -> Self {
        let mut rig = Rig { gateway: gateway_of(settings, 7), actions: Vec::new(), requests: 0 };
        rig.list(0.0, EndpointListKind::Snapshot, members);
        rig
    }

    pub fn list(&mut self, now: f64, kind: EndpointListKind, members: Vec<EndpointUpdate>) {
        self.handle(now, Event::EndpointList { kind, endpoints: members.into() });
    }

    pub fn handle(&mut self, now: f64, event: Event) -> Vec<Action> {
        self.actions.clear();
        self.gateway.handle(now, event, &mut self.actions);
        self.actions.clone()
    }

    pub fn arrive(&mut self, now: f64, class: &str, customer: &str) -> (RequestId, Vec<Action>) {
        self.requests += 1;
        let request: RequestId = format!("r{}", self.requests).into();
        let arrival = IncomingRequest {
            request: request.clone(),
            class: class.into(),
            plan: "basic".into(),
            customer: customer.into(),
            deadline: now + 3000.0,
            units: 1.0,
            gateway_spread: 2,
            is_retry: false,
        };
        (request, self.handle(now, Event::RequestReceived(arrival)))
    }

    pub fn done(&mut self, now: f64, request: &RequestId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let done = AttemptResult {
            request: Arc::clone(request),
            attempt,
            endpoint: 1,
            outcome,
            elapsed: 50.0,
            request_closed: outcome == Outcome::Success,
            usage_percent: None,
            has_usage_report: false,
            load: LoadReport::default(),
        };
        self.handle(now, Event::AttemptFinished(done))
    }
}

pub fn gateway_of(settings: Settings, seed: u64) -> Gateway {
    Gateway::new(settings, seed).expect("settings are sound")
}

pub fn sent_to(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|a| match a {
        Action::Forward { endpoint: server, .. } => Some(*server),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn servers(count: u32) -> Vec<EndpointUpdate> {
    (1..=count).map(|id| member(id, 0, EndpointStatus::Ready)).collect()
}

/// A good answer to a request's first attempt.
pub fn answer(request: &str) -> AttemptResult {
    AttemptResult {
        request: request.into(),
        attempt: 0,
        endpoint: 1,
        outcome: Outcome::Success,
        elapsed: 5.0,
        request_closed: true,
        usage_percent: None,
        has_usage_report: false,
        load: LoadReport::default(),
    }
}

/// An arrival of any plan and width, apart from what `Rig::arrive` fixes.
pub fn arrival(request: &str, customer: &str, now: f64, units: f64, width: u32) -> IncomingRequest {
    IncomingRequest {
        request: request.into(),
        class: "read".into(),
        plan: "basic".into(),
        customer: customer.into(),
        deadline: now + 3_000.0,
        units,
        gateway_spread: width,
        is_retry: false,
    }
}

/// Ends an attempt with a meter reading.
pub fn metered(rig: &mut Rig, now: f64, request: &RequestId, percent: f64) {
    let done = AttemptResult {
        request: Arc::clone(request),
        attempt: 0,
        endpoint: 1,
        outcome: Outcome::Success,
        elapsed: 5.0,
        request_closed: true,
        usage_percent: Some(percent),
        has_usage_report: true,
        load: LoadReport::default(),
    };
    rig.handle(now, Event::AttemptFinished(done));
}
