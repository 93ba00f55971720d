//! Clients that write their requests in pieces, all at the same time, and the background client beside them.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long a client waits for its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between a response of the background client and its next request.
const THINK_TIME: Duration = Duration::from_millis(20);

/// What became of a number of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    /// Requests that were answered with 200.
    pub served: u32,
    /// Requests that were answered with 503.
    pub rejected: u32,
    /// Requests that were answered with another status.
    pub failed: u32,
    /// Requests whose connection ended, or that got no response in time.
    pub unanswered: u32,
    /// The longest time from sending a request to its response.
    pub slowest: Duration,
}

impl Outcomes {
    fn record(&mut self, status: Option<u16>, latency: Duration) {
        let count = match status {
            Some(200) => &mut self.served,
            Some(503) => &mut self.rejected,
            Some(_) => &mut self.failed,
            None => &mut self.unanswered,
        };
        *count += 1;
        self.slowest = self.slowest.max(latency);
    }
}

/// Clients with one long request each.
pub struct ConcurrentClients {
    clients: Vec<(TcpStream, Vec<u8>)>,
    /// Number of bytes that each client has written.
    written: usize,
    started_at: Instant,
}

impl ConcurrentClients {
    /// Connects clients that are about to send a request with a body of this length.
    pub fn connect(node: SocketAddr, count: usize, body_length: usize) -> io::Result<Self> {
        let started_at = Instant::now();
        let connect = |number: usize| {
            let stream = TcpStream::connect(node)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
            Ok((stream, long_request(number, body_length)))
        };
        let clients = (0..count).map(connect).collect::<io::Result<_>>()?;
        Ok(Self { clients, written: 0, started_at })
    }

    /// Writes all requests but for their last bytes, in turn: `max_pieces` pieces of this length at the most,
    /// and the rest at once.
    pub fn write_in_pieces(&mut self, piece_length: usize, max_pieces: usize) -> io::Result<()> {
        let length = self.clients.iter().map(|(_, request)| request.len()).min().unwrap_or(1) - 1;
        for piece in 0..=max_pieces {
            let end = if piece == max_pieces { length } else { length.min(self.written + piece_length) };
            self.write_up_to(end)?;
        }
        Ok(())
    }

    /// Writes the rest of all requests.
    pub fn write_last_byte(&mut self) -> io::Result<()> {
        let length = self.clients.iter().map(|(_, request)| request.len()).min().unwrap_or(0);
        self.write_up_to(length)
    }

    fn write_up_to(&mut self, end: usize) -> io::Result<()> {
        for (stream, request) in &mut self.clients {
            stream.write_all(&request[self.written..end])?;
        }
        self.written = end;
        Ok(())
    }

    /// Number of bytes that all clients have written.
    pub fn bytes_written(&self) -> u64 {
        (self.clients.len() * self.written) as u64
    }

    /// Reads the responses to all requests.
    pub fn read_responses(&mut self) -> Outcomes {
        let mut outcomes = Outcomes::default();
        for (stream, _) in &self.clients {
            outcomes.record(read_status(stream).ok(), self.started_at.elapsed());
        }
        outcomes
    }
}

/// Sends short requests one after another until `ended` is true, one at least.
pub fn send_background_requests(node: SocketAddr, ended: &AtomicBool) -> io::Result<Outcomes> {
    let mut stream = TcpStream::connect(node)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    let mut outcomes = Outcomes::default();
    for number in 0.. {
        let sent_at = Instant::now();
        stream.write_all(head("GET", "book", number, "").as_bytes())?;
        outcomes.record(read_status(&stream).ok(), sent_at.elapsed());
        if ended.load(Ordering::Relaxed) {
            break;
        }
        std::thread::sleep(THINK_TIME);
    }
    Ok(outcomes)
}

/// A request with a long body. Ids and customers differ from those of the background client.
fn long_request(number: usize, body_length: usize) -> Vec<u8> {
    let length = format!("Content-Length: {body_length}\r\n");
    let mut request = head("POST", "pay", 1_000_000 + number, &length).into_bytes();
    request.resize(request.len() + body_length, b'x');
    request
}

fn head(method: &str, class: &str, number: usize, more_headers: &str) -> String {
    format!(
        "{method} /api HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {number:016x}\r\nReq-Kind: {class}\r\n\
         Api-Plan: any\r\nCookie: customer={number:016x}\r\nReq-Deadline: 15000m\r\n{more_headers}\
         Api-Terms: units=1,spread=1,first=0\r\n\r\n"
    )
}

/// Reads a response to its end and returns its status.
fn read_status(stream: &TcpStream) -> io::Result<u16> {
    let mut stream = BufReader::new(stream);
    let mut head = Vec::new();
    let mut body_length = 0;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line.trim_end().is_empty() {
            break;
        }
        if let Some(length) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            body_length = length.trim().parse().map_err(io::Error::other)?;
        }
        head.push(line);
    }
    let read = io::copy(&mut stream.take(body_length), &mut io::sink())?;
    let status = head.first().and_then(|line| line.split(' ').nth(1)).and_then(|status| status.parse().ok());
    match status {
        Some(status) if read == body_length => Ok(status),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}
