//! Reads a complete client request: parses its head with [`super::request_head`], reads its body within the
//! limits, and selects the headers to forward.

use crate::client::connection::REQUEST_TIMEOUT;
use crate::client::request_head::{RequestHeadError, RequestHeadParser};
use crate::dispatcher::{ClientRequest, DuplicateRequest, UpstreamRequest};
use crate::io::body::{self, BodyError, ReserveMemory};
use crate::io::memory_pool::{MemoryPool, Reservation};
use crate::upstream::MAX_BODY_SIZE;
use bytes::Bytes;
use edge_gateway::{duration_from_millis, Millis};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderName};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, StatusCode};
use std::future::Future;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// Memory of a head that each connection may take without a reservation, in bytes; more than usual heads
/// take.
const USUAL_HEAD_SIZE: usize = 4 << 10;
/// Memory that each header of a request takes besides the bytes of its name and value.
const MEMORY_PER_HEADER: usize = 128;

/// The reason why a request is not passed to the dispatcher. The message is the body of the response.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The request has a body without `Content-Length`.
    #[error("a body needs Content-Length")]
    LengthRequired,
    /// A header or the method is invalid.
    #[error(transparent)]
    InvalidHead(#[from] RequestHeadError),
    /// The request is a GET with a body.
    #[error("a GET has no body")]
    UnexpectedBody,
    /// The body is longer than [`MAX_BODY_SIZE`].
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body was not complete within [`REQUEST_TIMEOUT`] or the client's deadline.
    #[error("the body did not come in time")]
    BodyTimeout,
    /// There was no memory left for the request, which was read to its end and discarded.
    #[error("refused; nothing was run")]
    MemoryExhausted,
    /// The client disconnected after its request was complete and before it was passed on.
    #[error("the client has left")]
    ClientDisconnected,
    /// Another request has the same id.
    #[error(transparent)]
    DuplicateId(#[from] DuplicateRequest),
    /// The connection broke before the request was complete, so that there is no response.
    #[error(transparent)]
    Connection(hyper::Error),
}

impl From<BodyError> for RequestError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLong(_) => RequestError::BodyTooLarge,
            BodyError::MemoryExhausted => RequestError::MemoryExhausted,
            BodyError::Http(error) => RequestError::Connection(error),
        }
    }
}

impl RequestError {
    /// Whether the connection must be closed behind the response: the request was not read to its end, so
    /// that the start of the next one is unknown.
    pub fn requires_close(&self) -> bool {
        !matches!(self, RequestError::MemoryExhausted)
    }

    /// Returns the status code of the response that reports this error.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::LengthRequired => StatusCode::LENGTH_REQUIRED,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::MemoryExhausted => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::DuplicateId(_) => StatusCode::CONFLICT,
            RequestError::InvalidHead(_)
            | RequestError::UnexpectedBody
            | RequestError::ClientDisconnected
            | RequestError::Connection(_) => StatusCode::BAD_REQUEST,
        }
    }
}

/// Returns the size of a request in bytes as clients usually write it. With other whitespace, for example,
/// the true size may be slightly smaller or larger.
pub fn estimated_size(request: &Request<Incoming>) -> u64 {
    const REQUEST_LINE: usize = "  HTTP/1.1\r\n".len() + "\r\n".len();
    const HEADER_LINE: usize = ": \r\n".len();
    let request_line = REQUEST_LINE + request.method().as_str().len() + request.uri().to_string().len();
    let headers = sum_of_headers(request.headers(), HEADER_LINE);
    (request_line + headers) as u64 + request.body().size_hint().exact().unwrap_or(0)
}

/// Returns the length of all names and values, and `per_header` for each header.
fn sum_of_headers(headers: &HeaderMap, per_header: usize) -> usize {
    headers.iter().map(|(name, value)| per_header + name.as_str().len() + value.len()).sum()
}

/// Reads the rest of a request whose head hyper has read. Its body, and a long head, take their memory from
/// `memory`.
///
/// [`REQUEST_TIMEOUT`] runs from `reading_since`, the client's deadline from `received_at`, when the end of
/// the head arrived.
///
/// # Errors
/// If the request is invalid, exceeds a limit, or its connection breaks.
pub async fn read_request(
    head_parser: &RequestHeadParser,
    memory: &MemoryPool,
    request: Request<Incoming>,
    reading_since: Instant,
    received_at: Millis,
) -> Result<ClientRequest, RequestError> {
    let (parts, body) = request.into_parts();
    // Prevents request smuggling, a second request hidden in a body. hyper removes `Content-Length` if there
    // is a `Transfer-Encoding`, so a request with both cannot be detected; valid clients send a length.
    if parts.headers.contains_key(header::TRANSFER_ENCODING) {
        return Err(RequestError::LengthRequired);
    }
    let head = head_parser.parse(&parts)?;
    if parts.method == Method::GET && !body.is_end_stream() {
        return Err(RequestError::UnexpectedBody);
    }
    let time_left =
        duration_from_millis(head.timeout).min(REQUEST_TIMEOUT.saturating_sub(reading_since.elapsed()));
    let Some(head_memory) = reserve_for_head(memory, &parts) else {
        drop(parts);
        read_within(time_left, body::discard(body, MAX_BODY_SIZE)).await?;
        return Err(RequestError::MemoryExhausted);
    };
    let body = match body.is_end_stream() {
        true => Bytes::new(),
        false => {
            let body = body::read_body(body, MAX_BODY_SIZE, memory, ReserveMemory::AsRead);
            read_within(time_left, body).await?
        }
    };
    let upstream_request = UpstreamRequest {
        method: parts.method,
        uri: parts.uri,
        headers: end_to_end_headers(parts.headers),
        body,
        _head_memory: head_memory,
    };
    Ok(ClientRequest { deadline: received_at + head.timeout, head, upstream_request })
}

/// Reserves the memory of a head beyond [`USUAL_HEAD_SIZE`]; `None` if not as much is left.
fn reserve_for_head(memory: &MemoryPool, head: &Parts) -> Option<Reservation> {
    let headers = sum_of_headers(&head.headers, MEMORY_PER_HEADER);
    let uri = head.uri.path_and_query().map_or(0, |path| path.as_str().len());
    let reservation = memory.try_reserve((headers + uri).saturating_sub(USUAL_HEAD_SIZE));
    if reservation.is_none() {
        memory.record_exhausted();
    }
    reservation
}

/// Reads a body, or discards it, for at most `time_left`.
async fn read_within<T>(
    time_left: Duration,
    body: impl Future<Output = Result<T, BodyError>>,
) -> Result<T, RequestError> {
    match timeout(time_left, body).await {
        Err(_) => Err(RequestError::BodyTimeout),
        Ok(body) => Ok(body?),
    }
}

/// Returns the headers to forward: all except the hop-by-hop headers and `Content-Length`.
fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_options {
        headers.remove(name);
    }
    // `Content-Length` is set again from the body when the request is sent.
    for name in [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers
}
