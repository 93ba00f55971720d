//! Counters of what this process has done and why, in the text format of Prometheus.
//!
//! They are served over HTTP where the environment variable `RELAY_METRICS` names an address, and nowhere else.

use crate::answer::Answer;
use crate::io::listener::listen;
use bytes::Bytes;
use edge_gateway::attempt_policy::AttemptDenied;
use edge_gateway::{Outcome, RejectReason};
use http_body_util::Full;
use hyper::header::CONTENT_TYPE;
use hyper::service::service_fn;
use hyper::Response;
use hyper_util::rt::TokioIo;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::LazyLock;
use tokio::net::TcpStream;

/// The counters of this process.
pub static METRICS: LazyLock<Metrics> = LazyLock::new(Metrics::new);

/// One label with its value.
type Label = [(&'static str, &'static str); 1];
type Counters = Family<Label, Counter>;

/// A promise that this node has broken, as far as it can tell itself. None should ever be counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A connection with an open request was ended, and not by its client.
    ClosedOpenRequest,
    /// A request had no answer well past the time at which the last guard answers.
    LateAnswer,
    /// The process ends with requests unanswered.
    UnansweredAtEnd,
}

impl Violation {
    fn name(self) -> &'static str {
        match self {
            Violation::ClosedOpenRequest => "closed_open_request",
            Violation::LateAnswer => "late_answer",
            Violation::UnansweredAtEnd => "unanswered_at_end",
        }
    }
}

/// Why a client's connection was told to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It brought nothing, or not the rest of a request, for too long.
    Timeout,
    /// Others needed its place.
    ConnectionLimit,
    /// The node winds up.
    Shutdown,
}

impl CloseReason {
    fn name(self) -> &'static str {
        match self {
            CloseReason::Timeout => "timeout",
            CloseReason::ConnectionLimit => "connection_limit",
            CloseReason::Shutdown => "shutdown",
        }
    }
}

/// All counters.
pub struct Metrics {
    registry: Registry,
    answers: Counters,
    rejections: Counters,
    attempts: Counters,
    denied: Counters,
    closes: Counters,
    discovery: Counters,
    accept_failures: Counters,
    violations: Counters,
}

impl Metrics {
    fn new() -> Self {
        let mut registry = Registry::with_prefix("edge_gateway");
        let mut family = |name: &str, help: &str| {
            let counters = Counters::default();
            registry.register(name, help, counters.clone());
            counters
        };
        Self {
            answers: family("answers", "Final answers to requests, and clients that left before theirs"),
            rejections: family("rejections", "Rejected requests by reason"),
            attempts: family("attempts", "Attempts by outcome"),
            denied: family("attempts_denied", "Attempts not begun though chosen, by reason"),
            closes: family("closes", "Clients' connections told to close, by reason"),
            discovery: family(
                "discovery",
                "Calls to discovery that ended, by what went wrong, and lists told",
            ),
            accept_failures: family("accept_failures", "Connections that could not be accepted"),
            violations: family("violations", "Promises broken, as far as this node can tell"),
            registry,
        }
    }

    /// A request was answered.
    pub fn answered(&self, answer: &Answer) {
        self.answers.get_or_create(&[("answer", answer.name())]).inc();
    }

    /// A client left before its answer.
    pub fn client_disconnected(&self) {
        self.answers.get_or_create(&[("answer", "client_disconnected")]).inc();
    }

    /// A request was refused.
    pub fn rejected(&self, reason: RejectReason) {
        self.rejections.get_or_create(&[("reason", reason.name())]).inc();
    }

    /// An attempt has ended.
    pub fn attempt_finished(&self, outcome: Outcome) {
        self.attempts.get_or_create(&[("outcome", outcome.name())]).inc();
    }

    /// An attempt was chosen and not begun.
    pub fn attempt_denied(&self, denied: AttemptDenied) {
        self.denied.get_or_create(&[("reason", denied.name())]).inc();
    }

    /// A client's connection was told to close.
    pub fn connection_closing(&self, reason: CloseReason) {
        self.closes.get_or_create(&[("reason", reason.name())]).inc();
    }

    /// Something came of a call to discovery.
    pub fn discovery(&self, what: &'static str) {
        self.discovery.get_or_create(&[("what", what)]).inc();
    }

    /// A connection could not be accepted.
    pub fn accept_failed(&self, kind: &'static str) {
        self.accept_failures.get_or_create(&[("kind", kind)]).inc();
    }

    /// A promise was broken.
    pub fn violation(&self, violation: Violation, what: &str) {
        self.violations.get_or_create(&[("promise", violation.name())]).inc();
        tracing::error!(violation = violation.name(), what, "promise broken");
    }

    /// All counters as text.
    fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Serves the counters at an address, to anyone who asks for anything.
pub async fn serve(address: SocketAddr) {
    let listener = match listen(address).await {
        Ok(listener) => listener,
        Err(error) => return tracing::error!(%address, %error, "counters cannot be served"),
    };
    if let Ok(address) = listener.local_addr() {
        tracing::info!(%address, "counters are served");
    }
    loop {
        match listener.accept().await {
            // One at a time: who counts is not to take descriptors from who is served.
            Ok((stream, _)) => answer(stream).await,
            Err(error) => {
                tracing::warn!(%error, "a connection for counters was not accepted");
                tokio::time::sleep(crate::io::resource_exhaustion::RESOURCE_EXHAUSTION_PAUSE).await;
            }
        }
    }
}

async fn answer(stream: TcpStream) {
    const PATIENCE: std::time::Duration = std::time::Duration::from_secs(1);
    let service = service_fn(|_| async {
        let mut response = Response::new(Full::new(Bytes::from(METRICS.text())));
        let kind = hyper::header::HeaderValue::from_static("application/openmetrics-text; version=1.0.0");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        Ok::<_, Infallible>(response)
    });
    let mut http = hyper::server::conn::http1::Builder::new();
    let connection = http.keep_alive(false).serve_connection(TokioIo::new(stream), service);
    // Who asks for nothing is not waited for.
    let _ = tokio::time::timeout(PATIENCE, connection).await;
}
