use super::*;
use crate::clock::Clock;
use crate::upstream::Upstream;
use ivygate::{Gateway, Setup};
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
    let setup = Setup::parse(SETTINGS).expect("settings");
    let (bounds, links) = (setup.bounds(), setup.links());
    let settings = setup.settings().expect("settings");
    let reader = Reader::new(&settings, bounds);
    let gateway = Gateway::new(settings, 1).expect("settings");
    let driver = Driver::new(gateway, Clock::new(), Upstream::new(links, 10), false);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = std::net::TcpStream::connect(listener.local_addr().expect("an address"));
    (Server::new(driver, reader, 10), listener, client.expect("it connects"))
}

fn ask(client: &mut std::net::TcpStream) {
    client.write_all(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n").expect("it is written");
}

/// The first line of an answer, once the server has had the time for it.
async fn status(client: &mut std::net::TcpStream) -> String {
    client.set_nonblocking(true).expect("it can be set");
    let mut text = [0; 1024];
    loop {
        match client.read(&mut text) {
            Ok(read) => {
                let text = String::from_utf8_lossy(&text[..read]).into_owned();
                return text.lines().next().unwrap_or_default().to_owned();
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => yield_now().await,
            Err(error) => return error.to_string(),
        }
    }
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
        server.take(listener.accept().await.expect("it is accepted").0);
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
        server.take(listener.accept().await.expect("it is accepted").0);
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
