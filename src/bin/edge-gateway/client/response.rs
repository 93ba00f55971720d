//! Builds the responses to clients.

use crate::answer::Answer;
use crate::client::request::RequestError;
use bytes::Bytes;
use edge_gateway::Millis;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// A response to a client, whose complete body is in memory.
pub type FullResponse = Response<Full<Bytes>>;

/// Returns a response with the text as its body, and without a Content-Type.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> FullResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Returns the response to a request that was not passed to the dispatcher.
pub fn error_response(error: &RequestError) -> FullResponse {
    text_response(error.status(), error.to_string())
}

/// Returns the response for the dispatcher's answer.
pub fn answer_response(answer: Answer) -> FullResponse {
    match answer {
        Answer::Served(body, content_type) => {
            let mut response = Response::new(Full::new(body));
            if let Some(content_type) = content_type {
                response.headers_mut().insert(header::CONTENT_TYPE, content_type);
            }
            response
        }
        Answer::Rejected(retry_after) => {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused; nothing was run");
            if let Some(value) = retry_after_value(retry_after) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
            response
        }
        Answer::DeadlineExceeded => text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        Answer::Failed => text_response(StatusCode::BAD_GATEWAY, "failed"),
    }
}

/// Returns the value of `Retry-After`: seconds with three decimals, rounded up to a millisecond. `None` if
/// `retry_after` is not positive: the response has no such header then.
fn retry_after_value(retry_after: Millis) -> Option<HeaderValue> {
    let retry_after = Some(retry_after.ceil()).filter(|retry_after| *retry_after > 0.0)?;
    HeaderValue::try_from(format!("{:.3}", retry_after / 1000.0)).ok()
}
