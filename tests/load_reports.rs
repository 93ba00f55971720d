//! Endpoints whose load reports contradict the number of their requests in flight.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;
use support::*;

/// The time that an endpoint takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(150);

/// Starts one of four nodes, with a latency objective of eight times the service time.
fn start_node(endpoints: &[StubEndpoint]) -> Node {
    let settings = SETTINGS.replace("\"balancers\": 1", "\"balancers\": 4").replace("8000", "1200");
    let entries: Vec<_> =
        endpoints.iter().enumerate().map(|(n, endpoint)| endpoint.entry(&format!("s{n}"))).collect();
    let discovery = StubDiscovery::with_endpoints(&entries);
    Node::start(&NodeConfig::with_list_of(&discovery).settings(&settings).sockets(256))
}

/// Starts an endpoint that responds in time, and reports a high utilization from its ninth request on.
fn highly_utilized_endpoint() -> StubEndpoint {
    let requests = AtomicUsize::new(0);
    StubEndpoint::start(move |_| {
        sleep(SERVICE_TIME);
        let reports_load = requests.fetch_add(1, Ordering::SeqCst) >= 8;
        let headers = if reports_load { "Srv-Load: {\"latency_ms\":150.0,\"util\":0.97}\r\n" } else { "" };
        Reply::Response("200 OK", headers, b"x".to_vec())
    })
}

#[test]
fn uses_idle_endpoints_that_report_high_utilization() {
    let endpoints = [highly_utilized_endpoint(), highly_utilized_endpoint()];
    let node = start_node(&endpoints);
    // Requests are sent one at a time, so that none is in flight when the next one arrives.
    let rejected = (0..32).filter(|n| node.send(&request("read", &format!("r{n}"))).is_rejection()).count();
    assert_eq!(rejected, 0, "rejected for lack of capacity at idle endpoints");
    assert_eq!(endpoints.iter().map(StubEndpoint::request_count).sum::<usize>(), 32);
}

#[test]
fn sheds_load_at_full_endpoints_that_report_low_utilization() {
    let endpoint = StubEndpoint::start(|_| {
        sleep(SERVICE_TIME);
        Reply::Response("200 OK", "Srv-Load: {\"latency_ms\":150.0,\"util\":0.0}\r\n", b"x".to_vec())
    });
    let node = start_node(&[endpoint]);
    for n in 0..8 {
        assert_eq!(node.send(&request("read", &format!("r{n}"))).status(), 200);
    }
    let mut clients = node.connect_many(40);
    for (n, client) in clients.iter_mut().enumerate() {
        client.write(request("read", &format!("c{n}")).as_bytes());
    }
    let read = |mut client: Client| spawn(move || client.read_response().expect("no response"));
    let readers: Vec<_> = clients.into_iter().map(read).collect();
    let responses: Vec<_> =
        readers.into_iter().map(|reader| reader.join().expect("thread panicked")).collect();
    let rejections: Vec<_> = responses.iter().filter(|response| response.is_rejection()).collect();
    assert!(rejections.len() >= 20, "{} of 40 rejected", rejections.len());
    assert!(rejections.iter().all(|response| response.header("retry-after").is_some()));
    assert!(responses.iter().any(|response| response.status() == 200));
}
