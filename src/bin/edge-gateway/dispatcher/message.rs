//! The forms of a request: as received from a client, as passed to the gateway, and as sent to an endpoint.

use crate::client::request_head::RequestHead;
use crate::io::memory_pool::Reservation;
use bytes::Bytes;
use edge_gateway::{IncomingRequest, Millis};
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Uri};

/// Request header with the time left for an endpoint. The node replaces the value that the client sent.
const DEADLINE_HEADER: &str = "req-deadline";

/// A complete and valid request of a client.
pub struct ClientRequest {
    /// What its head says: id, class, plan, customer, quota terms and timeout.
    pub head: RequestHead,
    /// When the client stops waiting for the answer, in Unix time.
    pub deadline: Millis,
    /// The parts of the request that are forwarded to an endpoint.
    pub upstream_request: UpstreamRequest,
}

/// Converts the head of a request for the gateway. `deadline` is the gateway's deadline for the answer.
pub fn incoming_request(head: RequestHead, deadline: Millis) -> IncomingRequest {
    IncomingRequest {
        id: head.id,
        class: head.class_name,
        plan: head.plan_name,
        customer: head.customer,
        deadline,
        units: head.units,
        gateway_spread: head.gateway_spread,
        is_retry: head.is_retry,
    }
}

/// The parts of a request that are the same in every attempt.
pub struct UpstreamRequest {
    /// The method, as the client sent it.
    pub method: Method,
    /// Path and query, as the client sent them.
    pub uri: Uri,
    /// Headers of the client's request, without those that apply to the client's connection only.
    pub headers: HeaderMap,
    /// The complete body; empty if there is none.
    pub body: Bytes,
    /// The memory of the headers, as far as it is reserved.
    pub _head_memory: Reservation,
}

impl UpstreamRequest {
    /// Returns the request for an attempt that has `time_left` milliseconds until its deadline.
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
