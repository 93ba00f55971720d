use super::*;
use crate::clock::Clock;
use crate::upstream::UpstreamPool;
use edge_gateway::{Gateway, SettingsDocument};
use std::io::{Read, Write};
use tokio::task::{yield_now, LocalSet};

const SETTINGS: &str = r#"{
    "allowed": {"cancel": true, "mayProbe": false, "mostTries": 5, "retryAfter": true, "secondCopies": false},
    "az": "a", "balancers": 1, "discovery": "automatic", "rank": 0, "prices": {},
    "classes": [{"name": "read", "aimMs": 1000, "deadlineMs": 2000, "worth": 2, "effect": "safe"}],
    "contracts": [{"name": "large", "worthFactor": 1}],
    "rules": {"coldFrom": 0.2, "warmAfterMs": 9000, "fallMultiple": 2, "overloadForMs": 1000}}"#;

/// A server, its listener, and a client that has connected to it.
async fn server() -> (Rc<Server>, TcpListener, std::net::TcpStream) {
    let setup = SettingsDocument::parse(SETTINGS).expect("settings");
    let (bounds, links) = (setup.request_limits(), setup.connection_settings());
    let settings = setup.settings().expect("settings");
    let reader = RequestHeadParser::new(&settings, bounds);
    let gateway = Gateway::new(settings, 1).expect("settings");
    let dispatcher = Dispatcher::new(gateway, Clock::new(), UpstreamPool::new(links, 10), false);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = std::net::TcpStream::connect(listener.local_addr().expect("an address"));
    (Server::new(dispatcher, reader, 10), listener, client.expect("it connects"))
}

fn ask(client: &mut std::net::TcpStream) {
    client.write_all(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n").expect("it is written");
}

/// What comes next of an answer, once the server has had the time for it; nothing at the connection's end.
async fn read_some(client: &mut std::net::TcpStream) -> String {
    client.set_nonblocking(true).expect("it can be set");
    let mut text = [0; 1024];
    loop {
        match client.read(&mut text) {
            Ok(read) => return String::from_utf8_lossy(&text[..read]).into_owned(),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => yield_now().await,
            Err(error) => return error.to_string(),
        }
    }
}

/// The first line of an answer.
async fn status(client: &mut std::net::TcpStream) -> String {
    read_some(client).await.lines().next().unwrap_or_default().to_owned()
}

#[tokio::test]
async fn a_connection_that_only_the_kernel_knows_of_is_taken_before_the_listener_is_closed() {
    let test = async {
        let (server, listener, first) = server().await;
        let address = listener.local_addr().expect("an address");
        let accepting = tokio::task::spawn_local(server.clone().accept(listener));
        // The queue is empty then, and tokio knows it.
        while server.clients.borrow().is_empty() {
            yield_now().await;
        }
        yield_now().await;
        // From here on nothing is polled before the word to stop.
        let mut second = std::net::TcpStream::connect(address).expect("it connects");
        ask(&mut second);
        server.stop.notify_one();
        accepting.await.expect("no panic");
        assert_eq!(server.clients.borrow().len(), 2);
        assert_eq!(status(&mut second).await, "HTTP/1.1 503 Service Unavailable");
        drop(first);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn an_idle_connection_is_not_closed_over_a_request_that_only_the_kernel_knows_of() {
    let test = async {
        let (server, listener, mut client) = server().await;
        server.take(listener.accept().await.expect("it is accepted").0, None);
        ask(&mut client);
        assert_eq!(status(&mut client).await, "HTTP/1.1 503 Service Unavailable");
        let known = server.clients.borrow().values().next().expect("a client").clone();
        // From here on nothing is polled before the word to close.
        ask(&mut client);
        known.close.notify_one();
        assert_eq!(status(&mut client).await, "HTTP/1.1 503 Service Unavailable");
        // Without one it closes.
        known.close.notify_one();
        assert_eq!(status(&mut client).await, "");
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_request_is_not_cut_off_over_its_end_that_only_the_kernel_knows_of() {
    let test = async {
        let (server, listener, mut client) = server().await;
        server.take(listener.accept().await.expect("it is accepted").0, None);
        let request = b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n";
        client.write_all(&request[..10]).expect("it is written");
        let known = server.clients.borrow().values().next().expect("a client").clone();
        while known.phase.get() != Phase::Reading {
            yield_now().await;
        }
        // From here on nothing is polled before the word to close.
        client.write_all(&request[10..]).expect("it is written");
        known.close.notify_one();
        assert_eq!(status(&mut client).await, "HTTP/1.1 503 Service Unavailable");
        // Half of one with nothing behind it is closed.
        client.write_all(&request[..10]).expect("it is written");
        while known.phase.get() != Phase::Reading {
            yield_now().await;
        }
        known.close.notify_one();
        assert_eq!(status(&mut client).await, "");
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn the_word_to_close_does_not_cost_requests_that_came_together_their_answers() {
    const REQUESTS: usize = 3;
    let test = async {
        let (server, listener, mut client) = server().await;
        // A booking server that says nothing.
        let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let endpoint = silent.local_addr().expect("an address");
        let target = format!(r#"{{"uid":"s","endpoint":"{endpoint}","az":"a","state":"SERVING"}}"#);
        let list = format!(r#"{{"rev":1,"all":true,"targets":[{target}]}}"#);
        server.dispatcher.update_endpoints(serde_json::from_str(&list).expect("a list"));
        tokio::task::spawn_local(server.dispatcher.clone().run_timers());
        server.take(listener.accept().await.expect("it is accepted").0, None);
        let request = |number: usize| {
            format!(
                "GET /api HTTP/1.1\r\nHost: h\r\nReq-Id: r{number}\r\nReq-Kind: read\r\nApi-Plan: large\r\n\
                 Cookie: customer=0000000000000001\r\nReq-Deadline: 400m\r\n\
                 Api-Terms: units=1,spread=1,first=0\r\n\r\n"
            )
        };
        let all: String = (0..REQUESTS).map(request).collect();
        client.write_all(all.as_bytes()).expect("it is written");
        let known = server.clients.borrow().values().next().expect("a client").clone();
        while known.phase.get() != Phase::Open {
            yield_now().await;
        }
        // It was chosen to make room before the request was seen.
        known.leaving.set(true);
        known.close.notify_one();
        let mut answers = String::new();
        while answers.matches("HTTP/1.1 5").count() < REQUESTS {
            let more = read_some(&mut client).await;
            assert!(more.contains("HTTP/1.1"), "{more:?} behind {answers}");
            answers.push_str(&more);
        }
    };
    LocalSet::new().run_until(test).await;
}
