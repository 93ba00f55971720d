//! The endpoints of the soak. Each serves requests behind a proxy, can be restarted, and can be made to
//! respond with a fault.

use super::http::{read_message, write_endlessly, Message};
use super::oracle::{response_body, Oracle, ReceivedAttempt};
use super::proxy::Proxy;
use super::settings::Parameters;
use rand::Rng;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Maximum number of requests that an endpoint processes concurrently. It rejects further ones.
const MAX_CONCURRENT_REQUESTS: usize = 24;
/// Range of the number drawn for each request, by which faults select the requests that they affect.
const FAULT_DRAWS: Range<u32> = 0..10;
/// Draws for which [`EndpointFault::Fail`] rejects the request.
const REJECTION_DRAWS: Range<u32> = 0..3;
/// Draws for which [`EndpointFault::Fail`] executes the request and responds with status 500.
const ERROR_DRAWS: Range<u32> = 3..6;

/// How an endpoint misbehaves while a fault is injected into it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum EndpointFault {
    /// Requests get a valid response.
    #[default]
    None,
    /// Requests get no response, and their connections stay open.
    Hang,
    /// Some requests get an error or a rejection.
    Fail,
    /// Some requests get an unusual or invalid response, or more bytes than one response.
    InvalidResponse,
    /// Responses have no `Content-Length`; the end of the connection ends them.
    NoContentLength,
}

/// An endpoint and the proxy in front of it.
pub struct Endpoint {
    /// Id on the endpoint list.
    pub id: String,
    /// Zone on the endpoint list.
    pub zone: &'static str,
    /// The proxy that nodes connect to.
    pub proxy: Arc<Proxy>,
    boot_ms: AtomicU64,
    fault: Mutex<EndpointFault>,
    in_flight: AtomicUsize,
    service_time: Duration,
    oracle: Arc<Oracle>,
}

impl Endpoint {
    /// Starts an endpoint that is past its slow start.
    pub async fn start(
        id: String,
        zone: &'static str,
        parameters: &Parameters,
        oracle: Arc<Oracle>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Proxy::start(listener.local_addr()?).await?;
        let endpoint = Arc::new(Self {
            id,
            zone,
            proxy,
            boot_ms: AtomicU64::new(0),
            fault: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            service_time: parameters.service_time,
            oracle,
        });
        tokio::spawn(endpoint.clone().accept(listener));
        Ok(endpoint)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let endpoint = self.clone();
            tokio::spawn(async move { endpoint.serve(stream).await });
        }
    }

    /// Address to which nodes connect.
    pub fn address(&self) -> SocketAddr {
        self.proxy.address
    }

    /// Start of the endpoint's process in Unix time, in milliseconds; 0 if it started long ago.
    pub fn boot_ms(&self) -> u64 {
        self.boot_ms.load(Ordering::SeqCst)
    }

    /// Simulates a restart of the process: resets all connections and begins a new slow start.
    pub async fn restart(&self) -> io::Result<()> {
        self.proxy.close();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        self.boot_ms.store(now, Ordering::SeqCst);
        self.oracle.endpoint_started(&self.id, now);
        self.proxy.open().await
    }

    /// Makes the endpoint respond with this fault from now on.
    pub fn set_fault(&self, fault: EndpointFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    fn fault(&self) -> EndpointFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut stream).await {
            let Some(attempt) = self.parse_attempt(&request) else { return };
            let Some(index) = self.oracle.attempt_received(&attempt) else { return };
            let response = self.respond(&attempt.request).await;
            let written = match &response.content {
                Content::Bytes(bytes) => stream.write_all(bytes).await.is_ok(),
                Content::Endless { first, repeated } => {
                    write_endlessly(&mut stream, first.as_bytes(), repeated.as_bytes()).await;
                    false
                }
                Content::Nothing => {
                    // Keeps the connection open until the node closes it or sends something.
                    let _ = stream.read(&mut [0]).await;
                    false
                }
            };
            self.oracle.attempt_finished(&attempt.request, index, response.is_rejection);
            if !written || response.closes_connection {
                return;
            }
        }
    }

    fn parse_attempt(&self, request: &Message) -> Option<ReceivedAttempt> {
        let is_capped = request.header("api-plan") == Some("capped");
        let terms = request.header("api-terms");
        let units = terms.and_then(|terms| terms.split(',').next()?.strip_prefix("units="));
        Some(ReceivedAttempt {
            request: request.header("req-id")?.to_owned(),
            received_at: request.received_at,
            endpoint: self.id.clone(),
            zone: self.zone.to_owned(),
            boot_ms: self.boot_ms(),
            deadline_ms: parse_deadline(request.header("req-deadline")?)?,
            units: units.and_then(|units| units.parse().ok()).unwrap_or(1.0),
            capped_customer: request.header("cookie").filter(|_| is_capped).map(str::to_owned),
        })
    }

    async fn respond(&self, request: &str) -> Response {
        let (draw, service_time_factor) = {
            let mut rng = rand::rng();
            (rng.random_range(FAULT_DRAWS), 0.5 + rng.random::<f64>())
        };
        let fault = self.fault();
        let rejected_by_fault = fault == EndpointFault::Fail && REJECTION_DRAWS.contains(&draw);
        if self.in_flight.fetch_add(1, Ordering::SeqCst) >= MAX_CONCURRENT_REQUESTS || rejected_by_fault {
            self.in_flight.fetch_sub(1, Ordering::SeqCst);
            return Response::rejection();
        }
        sleep(self.service_time.mul_f64(service_time_factor)).await;
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
        Response::with_fault(fault, draw, &response_body(request, &self.id))
    }
}

/// Parses a deadline with its unit, `u` or `m`, into milliseconds.
fn parse_deadline(value: &str) -> Option<f64> {
    match value.strip_suffix('u') {
        Some(micros) => Some(micros.parse::<f64>().ok()? / 1_000.0),
        None => value.strip_suffix('m')?.parse().ok(),
    }
}

/// What an endpoint writes in response to a request.
enum Content {
    /// These bytes.
    Bytes(Vec<u8>),
    /// The first bytes once, then the repeated ones as fast as the node reads them.
    Endless { first: &'static str, repeated: &'static str },
    /// Nothing: the endpoint hangs.
    Nothing,
}

/// A response of an endpoint.
struct Response {
    content: Content,
    /// Whether the request was rejected without execution.
    is_rejection: bool,
    closes_connection: bool,
}

impl Response {
    fn new(bytes: impl Into<String>) -> Self {
        let content = Content::Bytes(bytes.into().into_bytes());
        Self { content, is_rejection: false, closes_connection: false }
    }

    fn rejection() -> Self {
        let text = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
        Self { is_rejection: true, ..Self::new(text) }
    }

    fn hang() -> Self {
        Self { content: Content::Nothing, is_rejection: false, closes_connection: true }
    }

    /// Returns the response to an executed request under a fault. `draw` selects among the fault's responses.
    fn with_fault(fault: EndpointFault, draw: u32, body: &str) -> Self {
        let length = body.len();
        let valid = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nApi-Usage: 40\r\n\r\n{body}");
        match fault {
            EndpointFault::None => Self::new(valid),
            EndpointFault::Hang => Self::hang(),
            EndpointFault::Fail if ERROR_DRAWS.contains(&draw) => {
                Self::new("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
            }
            EndpointFault::Fail => Self::new(valid),
            EndpointFault::InvalidResponse => Self::invalid(draw, valid),
            EndpointFault::NoContentLength => {
                let text = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}");
                Self { closes_connection: true, ..Self::new(text) }
            }
        }
    }

    fn endless(first: &'static str, repeated: &'static str) -> Self {
        let content = Content::Endless { first, repeated };
        Self { content, is_rejection: false, closes_connection: true }
    }

    /// Returns one of seven unusual or invalid responses for a draw below 7, and otherwise the valid
    /// response.
    fn invalid(draw: u32, valid: String) -> Self {
        Self::new(match draw {
            0 => "noise\r\n\r\n".to_owned(),
            1 => format!("{valid}HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"),
            2 => valid.replace("Api-Usage: 40", "Api-Usage: none"),
            3 => format!("HTTP/1.1 103 Early Hints\r\n\r\n{valid}"),
            4 => "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx".to_owned(),
            5 => return Self::endless("", "HTTP/1.1 103 \r\n\r\n"),
            6 => return Self::endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
            _ => valid,
        })
    }
}
