//! A gateway driven by synthetic events, and the settings and events that most tests start from.
//!
//! Tests change single fields with struct update syntax:
//! `AttemptResult { elapsed: 9.0, ..success("r1") }`.

use edge_gateway::*;

/// Time after which clients give up.
pub const CLIENT_TIMEOUT: Millis = 3_000.0;

/// Settings of gateway 0 of 2, with one class of each idempotency and one plan.
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
        requires_subscription: false,
        clients_mark_retries: true,
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

/// [`settings`] with another quota, in units per second and units.
pub fn settings_with_quota(rate: f64, burst: f64) -> Settings {
    let mut settings = settings();
    settings.plans[0].rate = rate;
    settings.plans[0].burst = burst;
    settings
}

/// A request class with a latency objective of 1 s.
pub fn class(name: &str, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        name: name.into(),
        latency_objective: 1000.0,
        deadline: CLIENT_TIMEOUT,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency,
        idempotency_window: 3000.0,
    }
}

/// Endpoint list entry of a ready endpoint that started long ago.
pub fn endpoint(id: EndpointId) -> EndpointUpdate {
    EndpointUpdate {
        endpoint: id,
        zone: "east".into(),
        cell: 0,
        status: EndpointStatus::Ready,
        started_at: None,
    }
}

/// Endpoint list entry of a ready endpoint that started at 0 and is in slow start.
pub fn endpoint_in_slow_start(id: EndpointId) -> EndpointUpdate {
    EndpointUpdate { started_at: Some(0.0), ..endpoint(id) }
}

/// Endpoint list entries of ready endpoints with ids from 1.
pub fn endpoints(count: u32) -> Vec<EndpointUpdate> {
    (1..=count).map(endpoint).collect()
}

/// A request of the first class and plan, from a customer with a gateway spread of 2.
pub fn incoming(id: &str, customer: &str, now: Millis) -> IncomingRequest {
    IncomingRequest {
        id: id.into(),
        class: "read".into(),
        plan: "basic".into(),
        customer: customer.into(),
        deadline: now + CLIENT_TIMEOUT,
        units: 1.0,
        gateway_spread: 2,
        is_retry: false,
    }
}

/// A successful response after 5 ms to a request's first attempt, which was forwarded to endpoint 1.
pub fn success(request: &str) -> AttemptResult {
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

/// A successful response with a usage report.
pub fn success_with_report(request: &str, usage_percent: f64) -> AttemptResult {
    AttemptResult { usage_percent: Some(usage_percent), has_usage_report: true, ..success(request) }
}

/// A gateway under test. It numbers the requests of [`Harness::receive`].
pub struct Harness {
    gateway: Gateway,
    requests: u32,
}

/// Builds a [`Harness`].
pub struct HarnessBuilder {
    settings: Settings,
    seed: u64,
    started_at: Millis,
    endpoints: Vec<EndpointUpdate>,
}

impl HarnessBuilder {
    /// Sets the seed; 7 by default.
    pub fn seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Sets the time of the first endpoint list; 0 by default.
    pub fn started_at(self, started_at: Millis) -> Self {
        Self { started_at, ..self }
    }

    /// Sets the entries of the first endpoint list; empty by default.
    pub fn endpoints(self, endpoints: Vec<EndpointUpdate>) -> Self {
        Self { endpoints, ..self }
    }

    /// Starts the gateway.
    pub fn build(self) -> Harness {
        self.build_with_actions().0
    }

    /// Starts the gateway, and also returns its actions on the first endpoint list.
    pub fn build_with_actions(self) -> (Harness, Vec<Action>) {
        let gateway = Gateway::new(self.settings, self.seed).expect("valid settings");
        let mut harness = Harness { gateway, requests: 0 };
        let actions = harness.update_endpoints(self.started_at, EndpointListKind::Snapshot, self.endpoints);
        (harness, actions)
    }
}

impl Harness {
    /// Returns a builder of a gateway with these settings.
    pub fn builder(settings: Settings) -> HarnessBuilder {
        HarnessBuilder { settings, seed: 7, started_at: 0.0, endpoints: Vec::new() }
    }

    /// Starts a gateway at 0 with these endpoints.
    pub fn new(settings: Settings, endpoints: Vec<EndpointUpdate>) -> Self {
        Self::builder(settings).endpoints(endpoints).build()
    }

    /// Handles an event, and returns the actions.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(now, event, &mut actions);
        actions
    }

    /// Handles an endpoint list.
    pub fn update_endpoints(
        &mut self,
        now: Millis,
        kind: EndpointListKind,
        endpoints: Vec<EndpointUpdate>,
    ) -> Vec<Action> {
        self.handle(now, Event::EndpointList { kind, endpoints: endpoints.into() })
    }

    /// Handles a new request of a class, and returns its generated id as well.
    pub fn receive(&mut self, now: Millis, class: &str, customer: &str) -> (RequestId, Vec<Action>) {
        self.requests += 1;
        let request = IncomingRequest {
            class: class.into(),
            ..incoming(&format!("r{}", self.requests), customer, now)
        };
        (request.id.clone(), self.receive_request(now, request))
    }

    /// Handles a request.
    pub fn receive_request(&mut self, now: Millis, request: IncomingRequest) -> Vec<Action> {
        self.handle(now, Event::RequestReceived(request))
    }

    /// Handles the end of an attempt at endpoint 1 that took 50 ms.
    pub fn finish(
        &mut self,
        now: Millis,
        request: &RequestId,
        attempt: u32,
        outcome: Outcome,
    ) -> Vec<Action> {
        let request_closed = outcome == Outcome::Success;
        self.finish_attempt(
            now,
            AttemptResult { attempt, outcome, elapsed: 50.0, request_closed, ..success(request) },
        )
    }

    /// Handles the end of an attempt.
    pub fn finish_attempt(&mut self, now: Millis, result: AttemptResult) -> Vec<Action> {
        self.handle(now, Event::AttemptFinished(result))
    }

    /// Fires the housekeeping timer, which has token 0.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        self.handle(now, Event::TimerFired { token: 0 })
    }
}

/// Returns the endpoint that a request is forwarded to, if any.
pub fn forwarded_to(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|action| match action {
        Action::Forward { endpoint, .. } => Some(*endpoint),
        _ => None,
    })
}

/// Returns whether a request is forwarded.
pub fn is_forwarded(actions: &[Action]) -> bool {
    forwarded_to(actions).is_some()
}

/// Returns whether a request is rejected.
pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}
