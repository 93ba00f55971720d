//! Serves the [counters](super::metrics) over HTTP, but only if the environment variable `RELAY_METRICS`
//! contains an address.

use crate::io::listener::listen;
use crate::io::resource_exhaustion::RESOURCE_EXHAUSTION_PAUSE;
use crate::telemetry::metrics::METRICS;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Response;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::env;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The environment variable that contains the address.
const ADDRESS_VARIABLE: &str = "RELAY_METRICS";
/// Timeout of one connection, from accepting it to the end of the response.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Media type of the text format.
const OPEN_METRICS_MEDIA_TYPE: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0");

/// Returns the address in `RELAY_METRICS`; `None` if it is not set or not a socket address.
pub fn address() -> Option<SocketAddr> {
    env::var(ADDRESS_VARIABLE).ok()?.parse().ok()
}

/// Serves the counters at `address`, in response to any request. Logs an error and returns if it cannot
/// listen there.
pub async fn serve(address: SocketAddr) {
    let listener = match listen(address).await {
        Ok(listener) => listener,
        Err(error) => return tracing::error!(%address, %error, "cannot serve metrics"),
    };
    if let Ok(address) = listener.local_addr() {
        tracing::info!(%address, "serving metrics");
    }
    loop {
        match listener.accept().await {
            // One connection at a time: monitoring must not take file descriptors from clients.
            Ok((stream, _)) => respond(stream).await,
            Err(error) => {
                tracing::warn!(%address, %error, "cannot accept a metrics connection");
                sleep(RESOURCE_EXHAUSTION_PAUSE).await;
            }
        }
    }
}

async fn respond(stream: TcpStream) {
    let service = service_fn(|_| async {
        let mut response = Response::new(Full::new(Bytes::from(METRICS.encode())));
        response.headers_mut().insert(CONTENT_TYPE, OPEN_METRICS_MEDIA_TYPE);
        Ok::<_, Infallible>(response)
    });
    let mut http = http1::Builder::new();
    let connection = http.keep_alive(false).serve_connection(TokioIo::new(stream), service);
    // A slow client is disconnected after the timeout, and a failed connection does not concern the node.
    let _ = timeout(CONNECTION_TIMEOUT, connection).await;
}
