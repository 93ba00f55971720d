//! An endpoint that sends the responses that a test chooses.

use super::http::{read_message, HttpMessage};
use super::sockets::write_endlessly;
use super::stub_discovery::list_entry;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier, Mutex, MutexGuard};
use std::time::Duration;

/// How a stub endpoint replies to a request.
pub enum Reply {
    /// Responds with this status, additional header lines and body.
    Response(&'static str, &'static str, Vec<u8>),
    /// Writes these bytes and reads the next request.
    Bytes(Vec<u8>),
    /// Writes these bytes and closes the connection.
    BytesThenClose(&'static [u8]),
    /// Writes these bytes and resets the connection.
    BytesThenReset(&'static [u8]),
    /// Writes the first bytes once and the second ones again and again until the peer closes the connection.
    Endless(&'static str, &'static str),
    /// Writes these bytes, waits twice at the barrier, and writes the rest. The test waits there as well, and
    /// can look at the node in between.
    Paused(Vec<u8>, Arc<Barrier>, &'static [u8]),
    /// Writes nothing and waits until the peer closes the connection.
    Silence,
    /// Closes the connection without a response.
    Close,
    /// Responds with status 200 and the body `late` after this delay.
    Delayed(Duration),
}

impl Reply {
    /// Returns a response with status 200.
    pub fn ok(body: &str) -> Self {
        Reply::Response("200 OK", "", body.as_bytes().to_vec())
    }

    /// Returns the response of an overloaded endpoint, which has not executed the request.
    pub fn overloaded() -> Self {
        Reply::Response("503 Service Unavailable", "Srv-Declined: 1\r\n", Vec::new())
    }
}

/// What an endpoint does with a connection after a reply.
#[derive(PartialEq)]
enum AfterReply {
    KeepOpen,
    Close,
}

/// An endpoint on threads of the test, which records its requests and counts its connections.
#[derive(Clone)]
pub struct StubEndpoint {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<HttpMessage>>>,
    accepted: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
}

impl StubEndpoint {
    /// Starts an endpoint that replies to each request with the result of `reply`.
    pub fn start(reply: impl Fn(&HttpMessage) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port");
        let endpoint = Self {
            address: listener.local_addr().expect("failed to get the local address"),
            requests: Arc::default(),
            accepted: Arc::default(),
            open: Arc::default(),
        };
        let (acceptor, reply) = (endpoint.clone(), Arc::new(reply));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (endpoint, reply) = (acceptor.clone(), reply.clone());
                endpoint.accepted.fetch_add(1, Ordering::SeqCst);
                endpoint.open.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    endpoint.serve(stream, &*reply);
                    endpoint.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        endpoint
    }

    fn serve(&self, stream: TcpStream, reply: &dyn Fn(&HttpMessage) -> Reply) {
        let mut stream = BufReader::new(stream);
        let peer = stream.get_ref().peer_addr().map(|peer| peer.to_string()).unwrap_or_default();
        while let Some(mut request) = read_message(&mut stream) {
            // Tells the test which connection the request used.
            request.headers.push(("peer".to_owned(), peer.clone()));
            self.requests().push(request.clone());
            if write_reply(&mut stream, reply(&request)) == AfterReply::Close {
                return;
            }
        }
    }

    /// Returns the requests received so far, in order.
    pub fn requests(&self) -> MutexGuard<'_, Vec<HttpMessage>> {
        self.requests.lock().expect("mutex poisoned")
    }

    pub fn request_count(&self) -> usize {
        self.requests().len()
    }

    /// Returns how many connections were accepted so far, including those that were closed since.
    pub fn accepted_connections(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Returns how many connections are open.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Returns the endpoint's entry in an endpoint list, as a ready endpoint in the node's own zone.
    pub fn entry(&self, uid: &str) -> String {
        self.entry_in_zone(uid, "north")
    }

    /// Returns the endpoint's entry in an endpoint list, as a ready endpoint in this zone.
    pub fn entry_in_zone(&self, uid: &str, zone: &str) -> String {
        list_entry(uid, self.address, zone, "SERVING")
    }

    /// Returns the endpoint's entry in an endpoint list, with this state and in the node's own zone.
    pub fn entry_with_state(&self, uid: &str, state: &str) -> String {
        list_entry(uid, self.address, "north", state)
    }
}

fn write_reply(stream: &mut BufReader<TcpStream>, reply: Reply) -> AfterReply {
    match reply {
        Reply::Response(status, headers, body) => write_response(stream, status, headers, &body),
        Reply::Bytes(bytes) => write_or_close(stream, &bytes),
        Reply::BytesThenClose(bytes) => {
            let _ = stream.get_mut().write_all(bytes);
            AfterReply::Close
        }
        Reply::BytesThenReset(bytes) => {
            let _ = stream.get_mut().write_all(bytes);
            let socket = socket2::SockRef::from(stream.get_ref());
            socket.set_linger(Some(Duration::ZERO)).expect("failed to set linger");
            AfterReply::Close
        }
        Reply::Endless(first, repeated) => {
            write_endlessly(stream.get_mut(), first, repeated);
            AfterReply::Close
        }
        Reply::Paused(bytes, barrier, rest) => {
            let _ = stream.get_mut().write_all(&bytes);
            barrier.wait();
            barrier.wait();
            write_or_close(stream, rest)
        }
        Reply::Silence => {
            let _ = stream.read(&mut [0]);
            AfterReply::Close
        }
        Reply::Close => AfterReply::Close,
        Reply::Delayed(delay) => {
            std::thread::sleep(delay);
            write_response(stream, "200 OK", "", b"late")
        }
    }
}

fn write_response(stream: &mut BufReader<TcpStream>, status: &str, headers: &str, body: &[u8]) -> AfterReply {
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n", body.len());
    write_or_close(stream, &[head.as_bytes(), body].concat())
}

fn write_or_close(stream: &mut BufReader<TcpStream>, bytes: &[u8]) -> AfterReply {
    match stream.get_mut().write_all(bytes) {
        Ok(()) => AfterReply::KeepOpen,
        Err(_) => AfterReply::Close,
    }
}
