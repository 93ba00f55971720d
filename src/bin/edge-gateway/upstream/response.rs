//! Reads responses of endpoints, and derives the outcome of the attempt from them.

use super::connect::ConnectError;
use super::read_allowance::ResponseTooLong;
use crate::io::body::{read_body, BodyError, ReserveMemory};
use crate::io::http_error::with_source;
use crate::io::memory_pool::MemoryPool;
use bytes::Bytes;
use edge_gateway::{LoadReport, Outcome};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode};
use serde::Deserialize;
use std::io;

/// Maximum size of the body of a request or a response, in bytes.
pub const MAX_BODY_SIZE: usize = 64 << 10;
/// Highest plausible usage in a usage report, in percent; a higher one is ignored as an error.
const MAX_USAGE_PERCENT: f64 = 100_000.0;
/// Highest plausible number of requests in flight or queued in a load report; a higher one is ignored.
const MAX_REPORTED_REQUESTS: f64 = 100_000.0;
/// Highest plausible utilization in a load report, as a fraction; noise may put it a little over 1.
const MAX_UTILIZATION: f64 = 2.0;
/// Response header whose value `1` states that the endpoint rejected the request without executing it.
const DECLINED_HEADER: &str = "srv-declined";
/// Response header with the usage report: the customer's usage in percent.
const USAGE_HEADER: &str = "api-usage";
/// Response header with the endpoint's load report, a JSON object.
const LOAD_HEADER: &str = "srv-load";

/// The outcome of an attempt, with what the endpoint's response contained if there was one.
pub struct AttemptEnd {
    /// Whether the attempt succeeded, or how it failed.
    pub outcome: Outcome,
    /// Why there is no valid response; `None` if there is one, or if the attempt was aborted or denied.
    pub error: Option<AttemptError>,
    /// The body of the response; empty without a response.
    pub body: Bytes,
    /// The Content-Type of the response, if it has one.
    pub content_type: Option<HeaderValue>,
    /// The customer's usage, in percent; `None` if there is no usable usage report.
    pub usage_percent: Option<f64>,
    /// Whether the response carried a usage report, usable or not.
    pub has_usage_report: bool,
    /// The endpoint's load report; its fields are `None` where they are missing or implausible.
    pub load: LoadReport,
}

impl AttemptEnd {
    /// Creates the end of an attempt that was aborted or denied, or whose endpoint is not on the list.
    pub fn without_response(outcome: Outcome) -> Self {
        Self {
            outcome,
            error: None,
            body: Bytes::new(),
            content_type: None,
            usage_percent: None,
            has_usage_report: false,
            load: LoadReport::default(),
        }
    }

    /// Creates the end of an attempt that got no valid response because of `error`.
    pub fn failed(outcome: Outcome, error: impl Into<AttemptError>) -> Self {
        Self { error: Some(error.into()), ..Self::without_response(outcome) }
    }
}

/// Why an attempt got no valid response, for the log.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// There was no connection to send the request on.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The request was sent, or was about to be.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
}

/// Why an exchange got no complete, valid response.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection was closed or broke before the response was complete.
    #[error("disconnected before the response was complete: {}", with_source(.0))]
    Disconnected(hyper::Error),
    /// The received data is not a response that the node accepts.
    #[error("invalid response: {0}")]
    InvalidResponse(#[from] InvalidResponse),
    /// The node has no memory for the body of the response.
    #[error("no memory left for the response")]
    MemoryExhausted,
    /// The endpoint sends on without end, or far more than a response has.
    #[error(transparent)]
    TooLong(#[from] ResponseTooLong),
}

/// What is wrong with a response.
#[derive(Debug, thiserror::Error)]
pub enum InvalidResponse {
    /// hyper cannot parse the head or a chunk.
    #[error("{}", with_source(.0))]
    Malformed(hyper::Error),
    /// The final response has an informational status.
    #[error("unexpected status {0}")]
    UnexpectedStatus(StatusCode),
    /// The node cannot tell where a body with this encoding ends.
    #[error("Transfer-Encoding is not 'chunked' alone: {0:?}")]
    UnsupportedTransferEncoding(HeaderValue),
    /// The body could have two different ends: at its length, or after its last chunk.
    #[error("Transfer-Encoding and Content-Length are both present")]
    ConflictingLength,
    /// The body is longer than [`MAX_BODY_SIZE`].
    #[error("the body is longer than {MAX_BODY_SIZE} bytes")]
    BodyTooLarge,
}

impl From<hyper::Error> for ExchangeError {
    fn from(error: hyper::Error) -> Self {
        let source = std::error::Error::source(&error).and_then(|e| e.downcast_ref::<io::Error>());
        let inner = source.and_then(io::Error::get_ref);
        if inner.and_then(|e| e.downcast_ref::<ResponseTooLong>()).is_some() {
            return ResponseTooLong.into();
        }
        // hyper reports a malformed chunk as a body error whose source has one of these kinds.
        let is_malformed = |error: &io::Error| {
            matches!(error.kind(), io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)
        };
        if error.is_parse() || source.is_some_and(is_malformed) {
            InvalidResponse::Malformed(error).into()
        } else {
            ExchangeError::Disconnected(error)
        }
    }
}

impl From<BodyError> for ExchangeError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLong(_) => InvalidResponse::BodyTooLarge.into(),
            BodyError::MemoryExhausted => ExchangeError::MemoryExhausted,
            BodyError::Http(error) => error.into(),
        }
    }
}

/// A response that has been read to its end.
pub struct CompleteResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl CompleteResponse {
    /// Reads a response to its end. Waits until `memory` has as many bytes left as its body may have.
    ///
    /// # Errors
    /// If the connection ends before the body does, or the response is invalid.
    pub async fn read(response: Response<Incoming>, memory: &MemoryPool) -> Result<Self, ExchangeError> {
        let (parts, body) = response.into_parts();
        check_framing(&parts.headers)?;
        // hyper returns an informational response only for a switch of protocols, which is never requested.
        if parts.status.is_informational() {
            return Err(InvalidResponse::UnexpectedStatus(parts.status).into());
        }
        let body = read_body(body, MAX_BODY_SIZE, memory, ReserveMemory::InAdvance).await?;
        Ok(Self { status: parts.status, headers: parts.headers, body })
    }

    /// Converts the response to the end of its attempt.
    pub fn into_attempt_end(self) -> AttemptEnd {
        let headers = &self.headers;
        // A malformed report is ignored: it is only a hint, and the response itself is complete.
        let usage =
            headers.get(USAGE_HEADER).and_then(|v| v.to_str().ok()).and_then(|v| v.trim().parse().ok());
        let load = headers.get(LOAD_HEADER).and_then(|v| serde_json::from_slice(v.as_bytes()).ok());
        AttemptEnd {
            outcome: self.outcome(),
            error: None,
            usage_percent: usage.filter(|u: &f64| (0.0..=MAX_USAGE_PERCENT).contains(u)),
            has_usage_report: headers.contains_key(USAGE_HEADER),
            load: load.map_or_else(LoadReport::default, LoadHeader::into_report),
            content_type: headers.get(CONTENT_TYPE).cloned(),
            body: self.body,
        }
    }

    fn outcome(&self) -> Outcome {
        let declined = self.headers.get(DECLINED_HEADER).is_some_and(|v| v.as_bytes() == b"1");
        match self.status {
            StatusCode::OK => Outcome::Success,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Outcome::Overloaded,
            // The fault is in the request, not in the endpoint.
            status if status.is_client_error() => Outcome::InvalidResponse,
            _ => Outcome::Error,
        }
    }
}

/// Rejects a response if its headers leave open where its body ends.
fn check_framing(headers: &HeaderMap) -> Result<(), InvalidResponse> {
    let has_length = headers.contains_key(CONTENT_LENGTH);
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    // Without a coding, the body ends at its length or, without one, when the endpoint closes the connection.
    // A reset does not count as that: reading the body fails.
    let Some(first) = codings.next() else { return Ok(()) };
    if has_length {
        return Err(InvalidResponse::ConflictingLength);
    }
    let is_chunked = |coding: &HeaderValue| coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    match codings.next() {
        None if is_chunked(first) => Ok(()),
        None => Err(InvalidResponse::UnsupportedTransferEncoding(first.clone())),
        Some(second) => Err(InvalidResponse::UnsupportedTransferEncoding(second.clone())),
    }
}

/// The fields of the load report that the node uses, by their names in the header.
#[derive(Deserialize)]
struct LoadHeader {
    inflight: Option<f64>,
    queue: Option<f64>,
    util: Option<f64>,
    latency_ms: Option<f64>,
}

impl LoadHeader {
    fn into_report(self) -> LoadReport {
        let plausible = |value: Option<f64>, max: f64| value.filter(|v| (0.0..=max).contains(v));
        LoadReport {
            in_flight: plausible(self.inflight, MAX_REPORTED_REQUESTS),
            queued: plausible(self.queue, MAX_REPORTED_REQUESTS),
            utilization: plausible(self.util, MAX_UTILIZATION),
            service_time: plausible(self.latency_ms, f64::MAX),
        }
    }
}
