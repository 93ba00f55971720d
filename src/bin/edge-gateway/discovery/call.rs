//! One HTTP call to a discovery agent, on its own connection.

use super::error::{BodyEnd, CallError, CallFailure};
use crate::io::resilient_stream::ResilientStream;
use crate::telemetry::slow_polls::{time_polls, TaskKind};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Instant};

/// A call whose response head has been received. Dropping it closes the connection.
pub struct Call {
    body: Incoming,
    /// Time from the start of the call to the head of the response.
    pub response_time: Duration,
    _connection: ConnectionTask,
}

/// Why no further chunk of a response body could be read.
#[derive(Debug)]
pub enum ReadError {
    /// No chunk was received by the deadline.
    TimedOut,
    /// The body has ended, or the connection failed.
    Ended(BodyEnd),
}

/// Aborts the task that drives a connection when this is dropped.
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Call {
    /// Requests `path` from an agent. `response_timeout` covers connecting and receiving the response head.
    ///
    /// # Errors
    /// If there is no response within the timeout, or its status is not 200.
    pub async fn start(
        agent: SocketAddr,
        path: String,
        response_timeout: Duration,
    ) -> Result<Self, CallError> {
        let call = timeout(response_timeout, Self::send(agent, path)).await;
        call.unwrap_or_else(|_| Err(CallFailure::Timeout(response_timeout).into()))
    }

    /// Connects to an agent, requests `path` and waits for the response head, without a timeout.
    async fn send(agent: SocketAddr, path: String) -> Result<Self, CallError> {
        let started_at = Instant::now();
        let stream = TcpStream::connect(agent).await.map_err(CallFailure::Connect)?;
        stream.set_nodelay(true).map_err(CallFailure::Connect)?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(ResilientStream::new(stream)));
        let (mut sender, connection) = handshake.await.map_err(CallFailure::Connection)?;
        let connection = time_polls(TaskKind::DiscoveryConnection, connection);
        let connection = ConnectionTask(tokio::task::spawn_local(connection).abort_handle());
        let request = Request::get(path).header("host", agent.to_string());
        let request = request.body(Empty::<Bytes>::new()).map_err(CallFailure::Request)?;
        let response = sender.send_request(request).await.map_err(CallFailure::Connection)?;
        if response.status() != StatusCode::OK {
            return Err(CallError::Rejected(response.status()));
        }
        let response_time = started_at.elapsed();
        Ok(Self { body: response.into_body(), response_time, _connection: connection })
    }

    /// Reads the next chunk of the body.
    ///
    /// # Errors
    /// If the body has ended, the connection failed, or no chunk was received by the deadline.
    pub async fn read_chunk(&mut self, deadline: Instant) -> Result<Bytes, ReadError> {
        loop {
            let frame = timeout_at(deadline, self.body.frame()).await.map_err(|_| ReadError::TimedOut)?;
            let frame = frame.ok_or(ReadError::Ended(BodyEnd::Complete))?;
            let frame = frame.map_err(|error| ReadError::Ended(BodyEnd::Failed(error)))?;
            if let Ok(data) = frame.into_data() {
                return Ok(data);
            }
        }
    }
}
