//! Sends simulated events to one gateway and prints the actions that an embedding program would carry out.

use edge_gateway::{
    Action, AttemptResult, EndpointId, EndpointListKind, EndpointStatus, EndpointUpdate, Event, Gateway,
    Idempotency, IncomingRequest, LoadReport, Millis, Outcome, Plan, RequestClass, RequestId, Settings,
    SettingsError,
};
use std::sync::Arc;

/// Time that endpoints take to respond.
const RESPONSE_TIME: Millis = 20.0;
/// Time between two requests of the customer: it sends five times as many as its quota allows.
const REQUEST_INTERVAL: Millis = 100.0;

/// The settings of a single gateway with one class and a plan of two units a second.
fn settings() -> Settings {
    Settings {
        gateways: 1,
        rank: 0,
        zone: "east".into(),
        classes: vec![RequestClass {
            name: "read".into(),
            latency_objective: 500.0,
            deadline: 2_000.0,
            priority_weight: 1.0,
            late_weight: 0.0,
            idempotency: Idempotency::Idempotent,
            idempotency_window: 0.0,
        }],
        plans: vec![Plan {
            name: "basic".into(),
            rate: 2.0,
            burst: 4.0,
            over_quota_cost: 0.5,
            ..Plan::default()
        }],
        max_attempts: 3,
        hedging: false,
        cancellation: true,
        requires_subscription: false,
        clients_mark_retries: false,
        max_retry_after: Some(1_000.0),
        usage_report_period: Some(1_000.0),
        cross_zone_cost: 0.0,
        handshake_cost: 0.0,
        connect_timeout: 100.0,
        idle_timeout: None,
        slow_start_initial_capacity: 0.2,
        slow_start_duration: 10_000.0,
        overload_threshold: 2.0,
        overload_window: 1_000.0,
        ..Settings::default()
    }
}

/// A ready endpoint in the gateway's zone.
fn endpoint(id: EndpointId) -> EndpointUpdate {
    EndpointUpdate {
        endpoint: id,
        zone: "east".into(),
        cell: 0,
        status: EndpointStatus::Ready,
        started_at: None,
    }
}

/// A request of the customer `acme`.
fn incoming_request(id: &RequestId, now: Millis) -> IncomingRequest {
    IncomingRequest {
        id: id.clone(),
        class: "read".into(),
        plan: "basic".into(),
        customer: "acme".into(),
        deadline: now + 2_000.0,
        units: 1.0,
        gateway_spread: 1,
        is_retry: false,
    }
}

/// The result of a first attempt that succeeded.
fn success(request: &RequestId, endpoint: EndpointId) -> AttemptResult {
    AttemptResult {
        request: request.clone(),
        attempt: 0,
        endpoint,
        outcome: Outcome::Success,
        elapsed: RESPONSE_TIME,
        request_closed: true,
        usage_percent: None,
        has_usage_report: false,
        load: LoadReport::default(),
    }
}

fn main() -> Result<(), SettingsError> {
    let mut gateway = Gateway::new(settings(), 42)?;
    let mut actions = Vec::new();
    let endpoint_list = Event::EndpointList {
        kind: EndpointListKind::Snapshot,
        endpoints: Arc::from([endpoint(1), endpoint(2)]),
    };
    gateway.handle(0.0, endpoint_list, &mut actions);
    // The gateway admits a burst at first, then about two requests a second.
    for number in 0..30_u32 {
        let now = f64::from(number) * REQUEST_INTERVAL;
        let request: RequestId = format!("r{number}").into();
        actions.clear();
        gateway.handle(now, Event::RequestReceived(incoming_request(&request, now)), &mut actions);
        for action in std::mem::take(&mut actions) {
            println!("{now:6.0} ms  {action:?}");
            // A real program would forward the request; here the endpoint responds after a fixed time.
            if let Action::Forward { endpoint, .. } = action {
                let finished = Event::AttemptFinished(success(&request, endpoint));
                gateway.handle(now + RESPONSE_TIME, finished, &mut actions);
            }
        }
    }
    Ok(())
}
