//! As much of HTTP/1.1 as the stand-ins need.

use std::io;
use std::time::Instant;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::TcpStream;

/// A message that was read whole.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Its first line.
    pub start: String,
    /// Its headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
    /// When its first byte came.
    pub began: Option<Instant>,
}

impl Message {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The status, if this is an answer.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Whether the connection ends behind it.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads a message; `None` if the connection ends before its first byte.
pub async fn read_message(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    if stream.fill_buf().await?.is_empty() {
        return Ok(None);
    }
    let mut message = Message { began: Some(Instant::now()), ..Message::default() };
    loop {
        let line = read_line(stream).await?;
        if message.start.is_empty() {
            message.start = line;
        } else if line.is_empty() {
            break;
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = message.header("content-length").map_or(Ok(0), str::parse).map_err(io::Error::other)?;
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).await?;
    Ok(Some(message))
}

async fn read_line(stream: &mut (impl AsyncBufRead + Unpin)) -> io::Result<String> {
    let mut line = String::new();
    if stream.read_line(&mut line).await? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}
