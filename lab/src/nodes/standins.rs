//! Stand-ins that speak the protocols of discovery, endpoints and clients.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;

/// Time between two heartbeats on a watch. A heartbeat is an empty line.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// How long a client waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Stack size of a thread. It is small because every connection of every node process has a thread.
const STACK_BYTES: usize = 128 << 10;

/// Starts a detached thread.
pub fn spawn_thread(work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().stack_size(STACK_BYTES).spawn(work).map(drop)
}

/// Reads an HTTP message, and returns its start line, or `None` if the connection was closed.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let (mut start_line, mut body_length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if start_line.is_empty() {
            start_line = line.to_owned();
        } else if line.is_empty() {
            break;
        } else if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            body_length = value.trim().parse().map_err(io::Error::other)?;
        }
    }
    io::copy(&mut stream.by_ref().take(body_length), &mut io::sink())?;
    Ok(Some(start_line))
}

/// A stand-in for an endpoint that responds immediately.
pub struct Endpoint {
    /// Listen address.
    pub address: SocketAddr,
}

impl Endpoint {
    /// Starts an endpoint on a free port. It runs until the program exits.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        spawn_thread(move || {
            for stream in listener.incoming().flatten() {
                // The connection is closed if no thread can be started for it.
                let _ = spawn_thread(move || drop(serve(stream)));
            }
        })?;
        Ok(Self { address })
    }
}

fn serve(stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    while read_message(&mut stream)?.is_some() {
        stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")?;
    }
    Ok(())
}

/// A response other than 200 to a request, or none.
#[derive(Debug, Error)]
#[error("expected 200 as the response to request {number}, got {status_line:?}")]
pub struct UnexpectedResponse {
    number: u64,
    /// `None` if the connection was closed.
    status_line: Option<String>,
}

/// Sends a request whose id is `number`, and waits for its response. A status other than 200 is an error.
pub fn send_request(stream: &mut TcpStream, number: u64) -> io::Result<()> {
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    let request = format!(
        "GET /api HTTP/1.1\r\nHost: service.internal\r\n\
         Req-Id: {number:016x}\r\nReq-Kind: book\r\nApi-Plan: any\r\n\
         Cookie: customer=00000000b4d65521\r\nReq-Deadline: 1500m\r\n\
         Api-Terms: units=1,spread=1,first=0\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let status_line = read_message(&mut BufReader::new(stream.try_clone()?))?;
    match status_line.as_deref().and_then(|line| line.split(' ').nth(1)) {
        Some("200") => Ok(()),
        _ => Err(io::Error::other(UnexpectedResponse { number, status_line })),
    }
}

/// Returns whether the node at an address reports that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let check = || -> io::Result<Option<String>> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n")?;
        read_message(&mut BufReader::new(stream))
    };
    check().ok().flatten().is_some_and(|line| line.contains(" 200"))
}

/// A stand-in for discovery. Polls always get the initial endpoint list; only watches get changes.
pub struct Discovery {
    /// Listen address.
    pub address: SocketAddr,
    state: Arc<DiscoveryState>,
}

struct DiscoveryState {
    list: String,
    watches: Mutex<Vec<TcpStream>>,
    bytes_written: AtomicU64,
}

impl Discovery {
    /// Starts discovery on a free port with the endpoint list as JSON. It runs until the program exits.
    pub fn start(list: String) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state =
            Arc::new(DiscoveryState { list, watches: Mutex::default(), bytes_written: AtomicU64::new(0) });
        let accepting_state = state.clone();
        spawn_thread(move || {
            for stream in listener.incoming().flatten() {
                let state = accepting_state.clone();
                let _ = spawn_thread(move || drop(state.serve(stream)));
            }
        })?;
        let weak_state = Arc::downgrade(&state);
        spawn_thread(move || loop {
            std::thread::sleep(HEARTBEAT_INTERVAL);
            let Some(state) = weak_state.upgrade() else { break };
            state.push_line("");
        })?;
        Ok(Self { address, state })
    }

    /// Total bytes written to all nodes.
    pub fn bytes_written(&self) -> u64 {
        self.state.bytes_written.load(Ordering::Relaxed)
    }

    /// Writes a line to every open watch.
    pub fn push_line(&self, line: &str) {
        self.state.push_line(line);
    }
}

impl DiscoveryState {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut stream = BufReader::new(stream);
        let Some(request_line) = read_message(&mut stream)? else { return Ok(()) };
        let mut stream = stream.into_inner();
        if request_line.contains("stream=1") {
            self.write(&mut stream, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")?;
            self.watches.lock().unwrap_or_else(PoisonError::into_inner).push(stream);
            return Ok(());
        }
        let response_head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", self.list.len());
        self.write(&mut stream, response_head.as_bytes())?;
        self.write(&mut stream, self.list.as_bytes())
    }

    fn write(&self, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        stream.write_all(bytes)?;
        self.bytes_written.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Ok(())
    }

    fn push_line(&self, line: &str) {
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        let mut watches = self.watches.lock().unwrap_or_else(PoisonError::into_inner);
        // A watch whose connection is closed is removed.
        watches.retain_mut(|stream| self.write(stream, chunk.as_bytes()).is_ok());
    }
}
