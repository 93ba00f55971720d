//! Requests as they pass through the dispatcher: from a client, to the gateway and to an endpoint.

use crate::client::request_head::RequestHead;
use bytes::Bytes;
use edge_gateway::{IncomingRequest, Millis};
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Uri};

/// The header that tells an endpoint how much time is left; its value is set by this node alone.
const DEADLINE_HEADER: &str = "req-deadline";

/// A client's request, read and validated.
pub struct ClientRequest {
    /// What its head says.
    pub head: RequestHead,
    /// When the client gives up.
    pub deadline: Millis,
    /// The request as it is forwarded to an endpoint.
    pub upstream_request: UpstreamRequest,
}

/// A request as the gateway is notified of it, with the deadline for its answer.
pub fn incoming_request(head: RequestHead, deadline: Millis) -> IncomingRequest {
    IncomingRequest {
        id: head.id,
        class: head.class_name,
        plan: head.plan,
        customer: head.customer,
        deadline,
        units: head.units,
        gateway_spread: head.gateway_spread,
        is_retry: head.is_retry,
    }
}

/// A request as it is forwarded to an endpoint.
pub struct UpstreamRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers, without those that belong to the client's connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl UpstreamRequest {
    /// The request for one attempt, which has `time_left` milliseconds.
    pub fn with_deadline(&self, time_left: Millis) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let microseconds = format!("{}u", (time_left * 1000.0) as u64);
        if let Ok(deadline) = HeaderValue::try_from(microseconds) {
            request.headers_mut().insert(DEADLINE_HEADER, deadline);
        }
        request
    }
}
