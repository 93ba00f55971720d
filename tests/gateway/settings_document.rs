//! Settings documents with missing keys or with values of 0.

use crate::harness::*;
use edge_gateway::*;
use serde_json::{json, Value};

const REQUESTS: u32 = 50;

/// A settings document with all keys.
fn complete_document() -> Value {
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

/// How a gateway answers [`REQUESTS`] requests.
#[derive(Debug, Default, PartialEq)]
struct Answers {
    forwarded: u32,
    rejected: u32,
}

const ALL_FORWARDED: Answers = Answers { forwarded: REQUESTS, rejected: 0 };
const ALL_REJECTED: Answers = Answers { forwarded: 0, rejected: REQUESTS };

/// Sends [`REQUESTS`] requests to a gateway with the settings of a document.
fn run_gateway(document: &Value) -> Answers {
    let document =
        SettingsDocument::parse(&document.to_string()).unwrap_or_else(|error| panic!("{error}: {document}"));
    let settings = document.settings().expect("valid settings");
    let in_north = |endpoint: EndpointUpdate| EndpointUpdate { zone: "north".into(), ..endpoint };
    let starting = EndpointUpdate { started_at: Some(1000.0), ..endpoint(2) };
    let mut harness = Harness::builder(settings)
        .seed(1)
        .started_at(1000.0)
        .endpoints(vec![in_north(endpoint(1)), in_north(starting)])
        .build();
    let mut answers = Answers::default();
    for n in 0..REQUESTS {
        let now = 2000.0 + 20.0 * f64::from(n);
        let id = format!("r{n}");
        let request = IncomingRequest {
            class: "c".into(),
            plan: "p".into(),
            deadline: now + 4000.0,
            ..incoming(&id, "k", now)
        };
        for action in harness.receive_request(now, request) {
            match action {
                Action::Forward { endpoint, .. } => {
                    answers.forwarded += 1;
                    let result = AttemptResult { endpoint, ..success_with_report(&id, 10.0) };
                    harness.finish_attempt(now + 5.0, result);
                }
                Action::Reject { .. } => answers.rejected += 1,
                _ => {}
            }
        }
        harness.tick(now + 10.0);
    }
    answers
}

#[test]
fn serves_with_optional_keys_missing() {
    assert_eq!(run_gateway(&complete_document()), ALL_FORWARDED);
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
    let keys_of = |group: &str| {
        let object =
            complete_document().pointer(group).and_then(Value::as_object).expect("an object").clone();
        object.keys().map(|name| format!("{group}/{name}")).collect::<Vec<_>>()
    };
    let keys_of_groups = ["/allowed", "/rules", "/domain"].into_iter().flat_map(keys_of);
    for key in optional.into_iter().map(String::from).chain(keys_of_groups) {
        let mut document = complete_document();
        let (group, name) = key.rsplit_once('/').expect("a path with a slash");
        document.pointer_mut(group).and_then(Value::as_object_mut).expect("an object").remove(name);
        // A ceiling without a burst admits nothing.
        let expected = if name == "capDepth" { ALL_REJECTED } else { ALL_FORWARDED };
        assert_eq!(run_gateway(&document), expected, "without {key}");
    }
}

#[test]
fn zero_means_no_limit_or_nothing_admitted() {
    let keys = [
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
    for key in keys {
        let mut document = complete_document();
        *document.pointer_mut(key).expect("the key exists") = json!(0);
        // A ceiling without a burst admits nothing. With a quota without a burst, every request is over
        // quota, and its over-quota cost outweighs serving it.
        let admits_nothing = key.ends_with("mostAtOnce") || key.ends_with("capDepth");
        let expected = if admits_nothing { ALL_REJECTED } else { ALL_FORWARDED };
        assert_eq!(run_gateway(&document), expected, "with {key} = 0");
    }
}
