//! Writes and reads HTTP messages for clients, stub endpoints and the stub discovery agent.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request or response that was read from a connection.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// The request line or status line.
    pub start_line: String,
    /// The headers in order, with their names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Returns the first value of a header. The name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns the status of a response, or 0 if the status line has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Whether a response is a rejection: the request was not executed and the client can safely retry it.
    pub fn is_rejection(&self) -> bool {
        matches!(self.status(), 429 | 503)
    }

    /// Whether a response is a failure: the request may have been executed.
    pub fn is_failure(&self) -> bool {
        self.status() >= 400 && !self.is_rejection()
    }

    /// Returns the id of a request, or an empty string if it has none.
    pub fn request_id(&self) -> &str {
        self.header("req-id").unwrap_or_default()
    }

    /// Returns the deadline that a forwarded request gives its endpoint, in milliseconds.
    pub fn deadline_ms(&self) -> f64 {
        let deadline = self.header("req-deadline").and_then(|deadline| deadline.strip_suffix('u'));
        deadline.and_then(|deadline| deadline.parse::<f64>().ok()).expect("no Req-Deadline in microseconds")
            / 1_000.0
    }
}

/// Reads one message. Returns `None` if the connection ends or fails before the message is complete.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> Option<HttpMessage> {
    let mut message = HttpMessage::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
            return None;
        }
        let line = line.trim_end();
        if message.start_line.is_empty() {
            message.start_line = line.to_owned();
        } else if line.is_empty() {
            break;
        } else {
            let (name, value) = line.split_once(':')?;
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length =
        message.header("content-length").map_or(0, |l| l.parse().expect("Content-Length is not a number"));
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Formats a request of the plan `large` with a deadline of 15 s; see [`request_with`].
pub fn request(class: &str, id: &str) -> String {
    request_with(class, id, "large", "15000m")
}

/// Formats a request, with a body and an idempotency key if its class has them. `deadline` is the value of
/// `Req-Deadline`, unit included.
pub fn request_with(class: &str, id: &str, plan: &str, deadline: &str) -> String {
    let (method, key, body) = match class {
        "read" => ("GET", "", ""),
        "edit" => ("POST", "Idempotency-Key: k1\r\n", "body"),
        _ => ("POST", "", "body"),
    };
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /api?q=1 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nApi-Plan: {plan}\r\n\
         Cookie: customer=00000000b4d65521\r\nReq-Deadline: {deadline}\r\n{key}{length}\
         Api-Terms: units=1,spread=1,first=0\r\n\r\n{body}"
    )
}

/// Formats a request of class `read` from a customer with this number.
pub fn request_of_customer(number: u64) -> String {
    let request = request("read", &format!("id{number}"));
    request.replace("00000000b4d65521", &format!("{:016x}", 0x1_0000_0000 + number))
}

/// A health check of the node.
pub const HEALTH_CHECK: &[u8] = b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n";
