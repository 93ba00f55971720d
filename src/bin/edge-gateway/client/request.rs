//! Reads a complete client request: its head, by [`super::request_head`], its body within the limits, and the
//! headers that are forwarded.

use crate::client::connection::REQUEST_TIMEOUT;
use crate::client::request_head::{RequestHeadError, RequestHeadParser};
use crate::dispatcher::{ClientRequest, UpstreamRequest};
use crate::upstream::MAX_BODY;
use bytes::Bytes;
use edge_gateway::{duration_from_millis, Millis};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderName};
use hyper::{HeaderMap, Method, Request, StatusCode};
use std::error::Error;
use tokio::time::{timeout, Instant};

/// Why a request is not passed to the dispatcher. The messages are those that clients get.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// Its body has no stated length.
    #[error("a body needs Content-Length")]
    LengthRequired,
    /// Its head cannot be used.
    #[error(transparent)]
    InvalidHead(#[from] RequestHeadError),
    /// It is a GET with a body.
    #[error("a GET has no body")]
    UnexpectedBody,
    /// Its body is longer than any may be.
    #[error("the body is too large")]
    BodyTooLarge,
    /// Its body was not complete in time.
    #[error("the body did not come in time")]
    BodyTimeout,
    /// Its body cannot be read.
    #[error("the body is malformed")]
    MalformedBody,
    /// Its client has disconnected.
    #[error("the client has left")]
    ClientDisconnected,
    /// A request of the same id is open.
    #[error("a request of this id is open")]
    DuplicateId,
    /// Its connection broke.
    #[error(transparent)]
    Connection(hyper::Error),
}

impl RequestError {
    /// The status of the response to it.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::LengthRequired => StatusCode::LENGTH_REQUIRED,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::DuplicateId => StatusCode::CONFLICT,
            RequestError::InvalidHead(_)
            | RequestError::UnexpectedBody
            | RequestError::MalformedBody
            | RequestError::ClientDisconnected
            | RequestError::Connection(_) => StatusCode::BAD_REQUEST,
        }
    }
}

/// Size of a request as it is usually written, in bytes. One that is written otherwise may be a little
/// shorter or longer.
pub fn estimated_size(request: &Request<Incoming>) -> u64 {
    const REQUEST_LINE: usize = "  HTTP/1.1\r\n".len() + "\r\n".len();
    const HEADER_LINE: usize = ": \r\n".len();
    let request_line = REQUEST_LINE + request.method().as_str().len() + request.uri().to_string().len();
    let headers: usize =
        request.headers().iter().map(|(name, value)| HEADER_LINE + name.as_str().len() + value.len()).sum();
    (request_line + headers) as u64 + request.body().size_hint().exact().unwrap_or(0)
}

/// Reads a complete request, the first byte of which arrived at `reading_since`, and the end of whose head at
/// `received_at`.
///
/// # Errors
/// If the request is invalid, exceeds a limit, or its connection breaks.
pub async fn read_request(
    head_parser: &RequestHeadParser,
    request: Request<Incoming>,
    reading_since: Instant,
    received_at: Millis,
) -> Result<ClientRequest, RequestError> {
    let (parts, body) = request.into_parts();
    // Guards against a second request hidden in a body. hyper drops `Content-Length` where there is a
    // `Transfer-Encoding`, so whether there were both cannot be seen; valid clients send a length.
    if parts.headers.contains_key(header::TRANSFER_ENCODING) {
        return Err(RequestError::LengthRequired);
    }
    let head = head_parser.parse(&parts)?;
    if parts.method == Method::GET && !body.is_end_stream() {
        return Err(RequestError::UnexpectedBody);
    }
    let body = match body.is_end_stream() {
        true => Bytes::new(),
        false => read_body(body, head.timeout, reading_since).await?,
    };
    let upstream_request = UpstreamRequest {
        method: parts.method,
        uri: parts.uri,
        headers: end_to_end_headers(parts.headers),
        body,
    };
    Ok(ClientRequest { deadline: received_at + head.timeout, head, upstream_request })
}

/// Reads a body, for no longer than its client waits for the answer or than a complete request may take.
async fn read_body(
    body: Incoming,
    client_timeout: Millis,
    reading_since: Instant,
) -> Result<Bytes, RequestError> {
    if body.size_hint().lower() > MAX_BODY as u64 {
        return Err(RequestError::BodyTooLarge);
    }
    let time_left =
        duration_from_millis(client_timeout).min(REQUEST_TIMEOUT.saturating_sub(reading_since.elapsed()));
    match timeout(time_left, Limited::new(body, MAX_BODY).collect()).await {
        Err(_) => Err(RequestError::BodyTimeout),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => Err(body_error(error)),
    }
}

fn body_error(error: Box<dyn Error + Send + Sync>) -> RequestError {
    if error.is::<LengthLimitError>() {
        return RequestError::BodyTooLarge;
    }
    match error.downcast::<hyper::Error>() {
        Ok(error) => RequestError::Connection(*error),
        Err(_) => RequestError::MalformedBody,
    }
}

/// The headers that are forwarded: all but the hop-by-hop ones.
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
    // The length is written again from the body.
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
