//! Settings of other deployments: keys that are left out, and figures that are zero.

use edge_gateway::*;
use serde_json::{json, Value};
use std::sync::Arc;

fn whole() -> Value {
    json!({
        "allowed": {"cancel": true, "connectTimeoutMs": 250, "keepaliveMs": 15000, "maxRetryAfterMs": 2000,
                    "mayProbe": false, "mostTries": 5, "retryAfter": true, "secondCopies": true},
        "az": "north", "balancers": 2, "discovery": "automatic", "rank": 0, "prices": {"crossZone": 0.02},
        "classes": [{"name": "c", "aimMs": 1000, "deadlineMs": 4000, "worth": 2, "lateWorth": 0.2,
                     "effect": "keyed", "keyScope": "zone", "windowMs": 15000}],
        "contracts": [{"name": "p", "refill": 1000, "mostAtOnce": 1000, "parallel": 50, "worthFactor": 1.2,
                       "extraWorth": 0.3, "excessCost": 1, "capRate": 2000, "capDepth": 2000, "tolerance": 4}],
        "domain": {"unitsTop": 4, "usePeriodMs": 1000},
        "rules": {"askEveryMs": 10000, "coldFrom": 0.23, "warmAfterMs": 16000, "fallMultiple": 2.5,
                  "overloadForMs": 1000}})
}

/// How many of 50 requests a gateway sends on, and how many of its answers are refusals.
fn play(settings: &Value) -> (usize, usize) {
    let setup = SettingsDocument::parse(&settings.to_string()).unwrap_or_else(|e| panic!("{e}: {settings}"));
    let settings = setup.settings().expect("they can be read");
    let mut gateway = Gateway::new(settings, 1).expect("they can be acted on");
    let member = |server, started| EndpointUpdate {
        endpoint: server,
        zone: "north".into(),
        cell: 0,
        status: EndpointStatus::Ready,
        started_at: started,
    };
    let members: Arc<[EndpointUpdate]> = vec![member(1, None), member(2, Some(1000.0))].into();
    let mut actions = Vec::new();
    gateway.handle(
        1000.0,
        Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: members },
        &mut actions,
    );
    let (mut sent, mut refused) = (0, 0);
    for n in 0..50 {
        let now = 2000.0 + 20.0 * f64::from(n);
        let request: RequestId = format!("r{n}").into();
        actions.clear();
        let arrival = IncomingRequest {
            request: request.clone(),
            class: "c".into(),
            plan: "p".into(),
            customer: "k".into(),
            deadline: now + 4000.0,
            units: 1.0,
            gateway_spread: 2,
            is_retry: false,
        };
        gateway.handle(now, Event::RequestReceived(arrival), &mut actions);
        for action in std::mem::take(&mut actions) {
            match action {
                Action::Forward { endpoint: server, .. } => {
                    sent += 1;
                    let done = AttemptResult {
                        request: request.clone(),
                        attempt: 0,
                        endpoint: server,
                        outcome: Outcome::Success,
                        elapsed: 5.0,
                        request_closed: true,
                        usage_percent: Some(10.0),
                        has_usage_report: true,
                        load: LoadReport::default(),
                    };
                    gateway.handle(now + 5.0, Event::AttemptFinished(done), &mut actions);
                }
                Action::Reject { .. } => refused += 1,
                _ => {}
            }
        }
        gateway.handle(now + 10.0, Event::TimerFired { token: 0 }, &mut actions);
    }
    (sent, refused)
}

#[test]
fn keys_that_are_left_out_keep_no_gateway_from_serving() {
    assert_eq!(play(&whole()), (50, 0));
    let optional = [
        "/allowed",
        "/az",
        "/prices",
        "/domain",
        "/rules",
        "/classes/0/aimMs",
        "/classes/0/worth",
        "/classes/0/lateWorth",
        "/classes/0/windowMs",
        "/contracts/0/refill",
        "/contracts/0/parallel",
        "/contracts/0/worthFactor",
        "/contracts/0/extraWorth",
        "/contracts/0/excessCost",
        "/contracts/0/capRate",
        "/contracts/0/capDepth",
        "/contracts/0/tolerance",
    ];
    let keys = |group: &str| {
        let names = whole().pointer(group).and_then(Value::as_object).expect("a group").clone();
        names.keys().map(|name| format!("{group}/{name}")).collect::<Vec<_>>()
    };
    let singles = ["/allowed", "/rules", "/domain"].into_iter().flat_map(keys);
    for key in optional.into_iter().map(String::from).chain(singles) {
        let mut settings = whole();
        let (group, name) = key.rsplit_once('/').expect("a key");
        settings.pointer_mut(group).and_then(Value::as_object_mut).expect("a group").remove(name);
        // A ceiling without a depth lets nothing pass.
        let expected = if name == "capDepth" { (0, 50) } else { (50, 0) };
        assert_eq!(play(&settings), expected, "{key}");
    }
}

#[test]
fn figures_that_are_zero_are_no_limit_or_let_nothing_pass() {
    let figures = [
        "/allowed/connectTimeoutMs",
        "/allowed/keepaliveMs",
        "/allowed/maxRetryAfterMs",
        "/allowed/mostTries",
        "/classes/0/aimMs",
        "/classes/0/worth",
        "/classes/0/windowMs",
        "/contracts/0/refill",
        "/contracts/0/mostAtOnce",
        "/contracts/0/parallel",
        "/contracts/0/worthFactor",
        "/contracts/0/excessCost",
        "/contracts/0/capRate",
        "/contracts/0/capDepth",
        "/contracts/0/tolerance",
        "/domain/unitsTop",
        "/domain/usePeriodMs",
        "/rules/askEveryMs",
        "/rules/coldFrom",
        "/rules/warmAfterMs",
        "/rules/fallMultiple",
        "/rules/overloadForMs",
    ];
    for key in figures {
        let mut settings = whole();
        *settings.pointer_mut(key).expect("a figure") = json!(0);
        // A store that holds nothing has nothing to give; here what is beyond the quota does not pay.
        let nothing = key.ends_with("mostAtOnce") || key.ends_with("capDepth");
        assert_eq!(play(&settings), if nothing { (0, 50) } else { (50, 0) }, "{key}");
    }
}
