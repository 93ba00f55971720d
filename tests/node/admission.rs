//! Quotas and ceilings of customers.

use crate::support::*;
use std::time::Instant;

#[test]
fn rejects_over_quota_with_retry_after() {
    let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    let responses: Vec<_> =
        (0..4).map(|n| node.send(&request_with("read", &format!("r{n}"), "small", "15000m"))).collect();
    assert_eq!(responses[0].status(), 200);
    let rejection = responses.last().expect("no responses");
    assert!(rejection.is_rejection());
    let retry_after = rejection.header("retry-after").map(str::parse::<f64>);
    assert!(
        matches!(retry_after, Some(Ok(seconds)) if seconds > 0.0 && seconds <= 2.0),
        "Retry-After within 2 s expected: {retry_after:?}"
    );
    assert!(endpoint.request_count() < 4);
}

#[test]
fn keeps_ceiling() {
    const RATE: f64 = 2.0;
    const BURST: f64 = 4.0;
    let ceiling_plan = format!(
        r#""contracts": [{{"name": "capped", "refill": 1000, "mostAtOnce": 10000, "worthFactor": 1,
                          "capRate": {RATE}, "capDepth": {BURST}}},"#
    );
    let settings = SETTINGS.replace("\"contracts\": [", &ceiling_plan);
    let endpoint = StubEndpoint::start(|_| Reply::ok("x"));
    let discovery = StubDiscovery::with_endpoints(&[endpoint.entry("a")]);
    let started = Instant::now();
    let node = Node::start(&NodeConfig::with_list_of(&discovery).settings(&settings).sockets(128));
    let status = |n: usize| node.send(&request_with("read", &format!("r{n}"), "capped", "15000m")).status();
    // The token bucket starts empty, because the node may have used up the ceiling before a restart.
    wait_until("a request is admitted", || status(0) == 200);
    let admitted = (1..200).filter(|n| status(*n) == 200).count() + 1;
    let limit = BURST + RATE * started.elapsed().as_secs_f64();
    assert!(admitted as f64 <= limit + 1.0, "{admitted} admitted, the ceiling allows {limit}");
}
