//! An endpoint that accepts no connection until it is released.

use super::client::Client;
use super::configuration::{config, SETTINGS};
use super::http::request_with;
use super::node::Node;
use super::sockets::connects;
use super::stub_discovery::{listing, target, Discovery};
use super::wait::{until, PATIENCE};
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// An app server that takes no connection until it is released: its listener's queue is full.
pub struct Blocked {
    pub address: SocketAddr,
    listener: TcpListener,
    filling: Vec<TcpStream>,
}

impl Blocked {
    pub fn new() -> Self {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(0).expect("it listens");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("an address");
        let mut filling = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
            filling.push(stream);
        }
        Self { address, listener, filling }
    }

    /// Takes the connection that waits, and gives how much was written to it first of all: 0 if it was closed.
    pub fn release(self) -> std::thread::JoinHandle<usize> {
        std::thread::spawn(move || {
            let ours: Vec<_> = self.filling.iter().map(|s| s.local_addr().expect("an address")).collect();
            for stream in self.listener.incoming() {
                let mut stream = stream.expect("it is accepted");
                if !ours.contains(&stream.peer_addr().expect("an address")) {
                    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out can be set");
                    return stream.read(&mut [0; 64]).unwrap_or(0);
                }
            }
            0
        })
    }
}

/// A node whose only server, `a`, does not take its connection yet, with settings that leave time for that, and
/// a client whose request waits for it.
pub fn waiting(allowed: &str) -> (Blocked, Discovery, Node, Client) {
    let blocked = Blocked::new();
    let list = listing(1, true, &[target("a", blocked.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let settings = SETTINGS.replace("\"connectTimeoutMs\": 1000", "\"connectTimeoutMs\": 60000");
    let settings =
        settings.replace("\"cancel\": true", allowed).replace("\"aimMs\": 8000", "\"aimMs\": 40000");
    let node = Node::start(&config(discovery.address, &list, &settings, 1024));
    until("discovery is watched", || discovery.watched.load(Ordering::SeqCst) > 0);
    let mut client = node.client();
    client.write(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(client.read().map(|answer| answer.status()), Some(200));
    // Its time and the connection's are longer than any test waits.
    client.write(request_with("order", "r1", "large", "40000m").as_bytes());
    until("the node connects", || connects(blocked.address));
    (blocked, discovery, node, client)
}
