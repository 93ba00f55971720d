//! Drives one gateway from a made-up list of events, as an operator's own gateway would.

use edge_gateway::*;
use std::sync::Arc;

fn main() -> Result<(), SettingsError> {
    let settings = Settings {
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
        list_subscription: false,
        retries_marked: false,
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
    };
    let mut gateway = Gateway::new(settings, 42)?;
    let mut actions = Vec::new();
    let member = |server| EndpointUpdate {
        endpoint: server,
        zone: "east".into(),
        cell: 0,
        status: EndpointStatus::Ready,
        started_at: None,
    };
    gateway.handle(
        0.0,
        Event::EndpointList {
            kind: EndpointListKind::Snapshot,
            endpoints: Arc::from([member(1), member(2)]),
        },
        &mut actions,
    );
    // One customer asks every 100 ms, five times its rate: the burst passes, then about two a second.
    for i in 0..30_u32 {
        let now = f64::from(i) * 100.0;
        let request: RequestId = format!("r{i}").into();
        let arrival = IncomingRequest {
            request: request.clone(),
            class: "read".into(),
            plan: "basic".into(),
            customer: "acme".into(),
            deadline: now + 2_000.0,
            units: 1.0,
            gateway_spread: 1,
            is_retry: false,
        };
        actions.clear();
        gateway.handle(now, Event::RequestReceived(arrival), &mut actions);
        for action in std::mem::take(&mut actions) {
            println!("{now:6.0} ms  {action:?}");
            // A real gateway would send the attempt; here it is answered after 20 ms.
            if let Action::Forward { endpoint: server, .. } = action {
                let done = AttemptResult {
                    request: request.clone(),
                    attempt: 0,
                    endpoint: server,
                    outcome: Outcome::Success,
                    elapsed: 20.0,
                    request_closed: true,
                    usage_percent: None,
                    has_usage_report: false,
                    load: LoadReport::default(),
                };
                gateway.handle(now + 20.0, Event::AttemptFinished(done), &mut actions);
            }
        }
    }
    Ok(())
}
