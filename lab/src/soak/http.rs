//! The subset of HTTP/1.1 that the clients, endpoints and discovery agents of the soak need.

use std::io;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after which an endless message is broken off, longer than any node should take to close its
/// connection.
const MAX_ENDLESS_DURATION: Duration = Duration::from_secs(4);
/// Minimum size of one write of an endless message, in bytes.
const ENDLESS_WRITE_SIZE: usize = 16 << 10;

/// A complete request or response.
#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line, without its line end.
    pub start_line: String,
    /// The body, empty if the message has no `Content-Length`.
    pub body: Vec<u8>,
    /// When the first byte of the message was received.
    pub received_at: Instant,
    headers: Vec<Header>,
}

#[derive(Clone, Debug)]
struct Header {
    /// In lower case.
    name: String,
    value: String,
}

impl Message {
    /// Creates a message received now, with at most one header, as `name: value`.
    #[cfg(test)]
    pub fn new(start_line: &str, header: &str, body: &str) -> Self {
        let header = header.split_once(": ");
        let header = header.map(|(name, value)| Header { name: name.to_owned(), value: value.to_owned() });
        Self {
            start_line: start_line.to_owned(),
            body: body.as_bytes().to_vec(),
            received_at: Instant::now(),
            headers: header.into_iter().collect(),
        }
    }

    /// Returns the value of the first header of this name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.name == name).map(|header| header.value.as_str())
    }

    /// Returns the status of a response, or 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes_connection(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads a complete message; returns `None` if the connection ends before its first byte.
pub async fn read_message(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    if stream.fill_buf().await?.is_empty() {
        return Ok(None);
    }
    let received_at = Instant::now();
    let start_line = read_start_line(stream).await?;
    let headers = read_headers(stream).await?;
    let mut message = Message { start_line, body: Vec::new(), received_at, headers };
    let length = message.header("content-length").map_or(Ok(0), str::parse).map_err(io::Error::other)?;
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).await?;
    Ok(Some(message))
}

/// Reads the first line that is not empty.
async fn read_start_line(stream: &mut (impl AsyncBufRead + Unpin)) -> io::Result<String> {
    loop {
        let line = read_line(stream).await?;
        if !line.is_empty() {
            return Ok(line);
        }
    }
}

async fn read_headers(stream: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Vec<Header>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(stream).await?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push(Header { name: name.to_ascii_lowercase(), value: value.trim().to_owned() });
        }
    }
}

async fn read_line(stream: &mut (impl AsyncBufRead + Unpin)) -> io::Result<String> {
    let mut line = String::new();
    if stream.read_line(&mut line).await? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// Writes `first` once and `repeated` again and again, as fast as the peer reads, until the peer closes the
/// connection or [`MAX_ENDLESS_DURATION`] is over.
pub async fn write_endlessly<W: AsyncWrite + Unpin>(stream: &mut W, first: &[u8], repeated: &[u8]) {
    let block = repeated.repeat(ENDLESS_WRITE_SIZE.div_ceil(repeated.len()));
    let write = async {
        let mut result = stream.write_all(first).await;
        while result.is_ok() {
            result = stream.write_all(&block).await;
        }
    };
    // Without an error by then, the caller closes the connection.
    let _ = timeout(MAX_ENDLESS_DURATION, write).await;
}
