//! Endpoints whose responses are invalid or are followed by data that does not belong to them.

mod support;

use std::sync::Mutex;
use support::*;

/// Returns a valid response whose body is the id of the request.
fn echo_id(request: &HttpMessage) -> Vec<u8> {
    let id = request.header("req-id").expect("request without Req-Id").to_owned();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len()).into_bytes()
}

/// Starts an endpoint that writes these bytes in response to the request `r1`, keeps the connection open, and
/// sends valid responses to all other requests.
fn endpoint_with_first_response(bytes: Vec<u8>) -> StubEndpoint {
    StubEndpoint::start(move |request| match request.request_id() {
        "r1" => Reply::Bytes(bytes.clone()),
        _ => Reply::Bytes(echo_id(request)),
    })
}

#[test]
fn invalid_response_fails_attempt_without_ejection() {
    let ok = "HTTP/1.1 200 OK\r\n";
    let invalid = [
        "\u{1}\u{2}noise\r\n\r\n".to_owned(),
        "ICY 200 OK\r\nContent-Length: 1\r\n\r\nx".to_owned(),
        "HTTP/1.1 OK 200\r\nContent-Length: 1\r\n\r\nx".to_owned(),
        "HTTP/1.1 2x0 OK\r\nContent-Length: 1\r\n\r\nx".to_owned(),
        format!("{ok}Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy"),
        format!("{ok}Content-Length: -1\r\n\r\nx"),
        format!("{ok}Content-Length: 3000000000\r\n\r\n{}", "x".repeat(200_000)),
        format!("{ok}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"),
        format!("{ok}Transfer-Encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"),
        format!("{ok}Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n"),
        format!("{ok}Transfer-Encoding: chunked\r\n\r\n20000\r\n{}", "x".repeat(0x20000)),
        format!("{ok}{}", "X-Pad: pppppppppppppppppppppppp\r\n".repeat(8_000)),
        format!("{ok}X-Pad: {}", "p".repeat(200_000)),
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n".to_owned(),
        "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n".to_owned(),
    ];
    for response in invalid {
        let label = response.get(..60).unwrap_or(&response).to_owned();
        let node_closes_connection = !label.contains(" 400 ");
        let endpoint = endpoint_with_first_response(response.into_bytes());
        let node = Node::with_endpoints(&[endpoint.entry("a")]);
        assert!(node.send(&request("order", "r1")).is_failure(), "{label}");
        wait_out_connection_quarantine();
        // A non-idempotent request would not be forwarded to an endpoint in ejection or probation.
        assert_eq!(node.send(&request("order", "r2")).body, b"r2", "{label}");
        assert_eq!(endpoint.request_count(), 2, "{label}");
        assert_eq!(endpoint.accepted_connections() == 2, node_closes_connection, "{label}");
    }
}

#[test]
fn retries_idempotent_request_after_invalid_response() {
    let count = Mutex::new(0);
    let endpoint = StubEndpoint::start(move |request| {
        let mut count = count.lock().expect("mutex poisoned");
        *count += 1;
        Reply::Bytes(if *count == 1 { b"noise\r\n\r\n".to_vec() } else { echo_id(request) })
    });
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    assert_eq!(node.send(&request("read", "r1")).body, b"r1");
    assert_eq!(endpoint.request_count(), 2);
}

#[test]
fn discards_data_after_response() {
    type TrailingData = fn(&[u8]) -> Vec<u8>;
    let cases: [TrailingData; 3] = [<[u8]>::to_vec, |_| b"noise".to_vec(), |_| vec![0; 100_000]];
    for (number, trailing_data) in cases.into_iter().enumerate() {
        let endpoint = StubEndpoint::start(move |request| {
            let response = echo_id(request);
            let trailing_data = trailing_data(&response);
            Reply::Bytes([response, trailing_data].concat())
        });
        let node = Node::with_endpoints(&[endpoint.entry("a")]);
        let mut client = node.connect();
        for n in 0..10 {
            let id = format!("r{n}");
            assert_eq!(client.send(&request("order", &id)).body, id.as_bytes(), "case {number}");
            wait_out_connection_quarantine();
        }
        // No connection was reused.
        assert_eq!((endpoint.request_count(), endpoint.accepted_connections()), (10, 10), "case {number}");
    }
}

#[test]
fn skips_interim_responses() {
    let endpoint = StubEndpoint::start(|request| {
        let interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
        Reply::Bytes([interim.to_vec(), echo_id(request)].concat())
    });
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    for n in 0..3 {
        let id = format!("r{n}");
        assert_eq!(node.send(&request("order", &id)).body, id.as_bytes());
        wait_out_connection_quarantine();
    }
    assert_eq!(endpoint.accepted_connections(), 1);
}

#[test]
fn ignores_implausible_load_reports() {
    let headers = "Api-Usage: 1e300\r\nSrv-Load: {\"inflight\":1e300,\"util\":1e300}\r\n";
    let endpoint = StubEndpoint::start(move |_| Reply::Response("200 OK", headers, b"x".to_vec()));
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    for number in 0..20 {
        assert_eq!(node.send(&request("read", &format!("r{number}"))).status(), 200);
    }
}

#[test]
fn forwards_response_delimited_by_close() {
    let endpoint =
        StubEndpoint::start(|_| Reply::BytesThenClose(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole"));
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    let response = node.send(&request("order", "r1"));
    assert_eq!((response.status(), &*response.body), (200, &b"whole"[..]));
}

#[test]
fn reset_before_end_of_response_fails() {
    let endpoint =
        StubEndpoint::start(|_| Reply::BytesThenReset(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf"));
    let node = Node::with_endpoints(&[endpoint.entry("a")]);
    for number in 0..20 {
        assert!(node.send(&request("order", &format!("r{number}"))).status() != 200);
    }
}
