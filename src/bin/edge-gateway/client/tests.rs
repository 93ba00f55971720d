use super::connection::{Connection, ConnectionState};
use super::listener::spawn_connection;
use super::*;
use crate::clock::Clock;
use crate::descriptor_budget::DescriptorBudget;
use crate::dispatcher::DispatcherLimits;
use crate::memory_budget::{MemoryBudget, MessageMemory};
use crate::telemetry::metrics::CloseReason;
use crate::upstream::UpstreamPool;
use edge_gateway::{Gateway, SettingsDocument};
use std::io::{ErrorKind, Read, Write};
use tokio::task::{yield_now, LocalSet};

const SETTINGS: &str = r#"{
    "allowed": {"cancel": true, "mayProbe": false, "mostTries": 5, "retryAfter": true, "secondCopies": false},
    "az": "a", "balancers": 1, "discovery": "automatic", "rank": 0, "prices": {},
    "classes": [{"name": "read", "aimMs": 1000, "deadlineMs": 2000, "worth": 2, "effect": "safe"}],
    "contracts": [{"name": "large", "worthFactor": 1}],
    "rules": {"coldFrom": 0.2, "warmAfterMs": 9000, "fallMultiple": 2, "overloadForMs": 1000}}"#;

const READINESS_CHECK: &[u8] = b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n";

/// Creates a frontend, its listener, and a client that has connected to the listener.
async fn connected_frontend() -> (Rc<Frontend>, TcpListener, std::net::TcpStream) {
    let document = SettingsDocument::parse(SETTINGS).expect("settings");
    let (limits, connection_settings) = (document.request_limits(), document.connection_settings());
    let settings = document.settings().expect("settings");
    let head_parser = RequestHeadParser::new(&settings, limits);
    let gateway = Gateway::new(settings, 1).expect("settings");
    let memory = MessageMemory::new(MemoryBudget::new(64 << 20, DescriptorBudget::new(64)));
    let limits = DispatcherLimits { hedging: false, max_endpoints: 1024 };
    let pool = UpstreamPool::new(connection_settings, 10, memory.responses.clone());
    let dispatcher = Dispatcher::new(gateway, Clock::new(), pool, memory.clone(), limits);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = std::net::TcpStream::connect(listener.local_addr().expect("an address"));
    (
        Frontend::new(dispatcher, head_parser, memory.requests, 10),
        listener,
        client.expect("the client connects"),
    )
}

/// Accepts the client in the backlog and has the frontend serve it.
async fn accept_connection(frontend: &Frontend, listener: &TcpListener) -> Rc<Connection> {
    let (stream, address) = listener.accept().await.expect("the connection is accepted");
    spawn_connection(&frontend.connections, &frontend.handler, stream, Some(address), None);
    frontend.connections.open_connections().first().expect("an open connection").clone()
}

fn send(client: &mut std::net::TcpStream, bytes: &[u8]) {
    client.write_all(bytes).expect("the client writes");
}

async fn wait_for_state(connection: &Connection, state: ConnectionState) {
    while connection.state() != state {
        yield_now().await;
    }
}

/// Returns the next part of a response, letting the frontend run until it arrives. Empty if the connection
/// has closed.
async fn read_some(client: &mut std::net::TcpStream) -> String {
    client.set_nonblocking(true).expect("the socket is set non-blocking");
    let mut text = [0; 1024];
    loop {
        match client.read(&mut text) {
            Ok(read) => return String::from_utf8_lossy(&text[..read]).into_owned(),
            Err(error) if error.kind() == ErrorKind::WouldBlock => yield_now().await,
            Err(error) => return error.to_string(),
        }
    }
}

/// Reads part of a response and returns its first line.
async fn read_status_line(client: &mut std::net::TcpStream) -> String {
    read_some(client).await.lines().next().unwrap_or_default().to_owned()
}

#[tokio::test]
async fn connection_in_the_backlog_is_accepted_before_the_listener_closes() {
    let test = async {
        let (frontend, listener, first) = connected_frontend().await;
        let address = listener.local_addr().expect("an address");
        let accepting = tokio::task::spawn_local(frontend.clone().accept(listener));
        // Once the first client is accepted, the backlog is empty and tokio has registered that.
        while frontend.connections.is_empty() {
            yield_now().await;
        }
        yield_now().await;
        // From here on no task runs until the stop is notified, so tokio is unaware of the second client.
        let mut second = std::net::TcpStream::connect(address).expect("the client connects");
        send(&mut second, READINESS_CHECK);
        frontend.stop_accepting.notify_one();
        accepting.await.expect("the accept task does not panic");
        assert_eq!(frontend.connections.open_connections().len(), 2);
        assert_eq!(read_status_line(&mut second).await, "HTTP/1.1 503 Service Unavailable");
        drop(first);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn idle_connection_with_an_unread_request_is_not_closed() {
    let test = async {
        let (frontend, listener, mut client) = connected_frontend().await;
        let connection = accept_connection(&frontend, &listener).await;
        send(&mut client, READINESS_CHECK);
        assert_eq!(read_status_line(&mut client).await, "HTTP/1.1 503 Service Unavailable");
        // From here on no task runs until the close is requested, so the request is still unread then.
        send(&mut client, READINESS_CHECK);
        connection.request_close(CloseReason::Shutdown);
        assert_eq!(read_status_line(&mut client).await, "HTTP/1.1 503 Service Unavailable");
        // Without an unread request the connection closes.
        connection.request_close(CloseReason::Shutdown);
        assert_eq!(read_status_line(&mut client).await, "");
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn partial_request_whose_rest_is_unread_is_not_cut_off() {
    let test = async {
        let (frontend, listener, mut client) = connected_frontend().await;
        let connection = accept_connection(&frontend, &listener).await;
        let (beginning, rest) = READINESS_CHECK.split_at(10);
        send(&mut client, beginning);
        wait_for_state(&connection, ConnectionState::Reading).await;
        // From here on no task runs until the close is requested, so the rest is still unread then.
        send(&mut client, rest);
        connection.request_close(CloseReason::Shutdown);
        assert_eq!(read_status_line(&mut client).await, "HTTP/1.1 503 Service Unavailable");
        // A connection with a partial request and no unread data closes.
        send(&mut client, beginning);
        wait_for_state(&connection, ConnectionState::Reading).await;
        connection.request_close(CloseReason::Shutdown);
        assert_eq!(read_status_line(&mut client).await, "");
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn evicted_connection_answers_all_pipelined_requests() {
    const REQUESTS: usize = 3;
    let test = async {
        let (frontend, listener, mut client) = connected_frontend().await;
        // An endpoint that never responds, so that requests end at their deadlines.
        let unresponsive = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let endpoint = unresponsive.local_addr().expect("an address");
        let target = format!(r#"{{"uid":"s","endpoint":"{endpoint}","az":"a","state":"SERVING"}}"#);
        let list = format!(r#"{{"rev":1,"all":true,"targets":[{target}]}}"#);
        frontend.dispatcher.update_endpoints(serde_json::from_str(&list).expect("a list"));
        tokio::task::spawn_local(frontend.dispatcher.clone().run_timers());
        let connection = accept_connection(&frontend, &listener).await;
        let request = |number: usize| {
            format!(
                "GET /api HTTP/1.1\r\nHost: h\r\nReq-Id: r{number}\r\nReq-Kind: read\r\nApi-Plan: large\r\n\
                 Cookie: customer=0000000000000001\r\nReq-Deadline: 400m\r\n\
                 Api-Terms: units=1,spread=1,first=0\r\n\r\n"
            )
        };
        let pipelined: String = (0..REQUESTS).map(request).collect();
        send(&mut client, pipelined.as_bytes());
        wait_for_state(&connection, ConnectionState::InRequest).await;
        // The connection is evicted as if it had been selected before its requests were read.
        connection.evict();
        let mut responses = String::new();
        while responses.matches("HTTP/1.1 5").count() < REQUESTS {
            let more = read_some(&mut client).await;
            assert!(more.contains("HTTP/1.1"), "got {more:?} after {responses:?}");
            responses.push_str(&more);
        }
    };
    LocalSet::new().run_until(test).await;
}
