//! One HTTP call of a discovery agent, on a connection of its own.

use super::error::CallError;
use crate::io::resilient_stream::ResilientStream;
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

/// A call whose response has begun. Dropping it closes its connection.
pub struct Call {
    body: Incoming,
    /// Time from the start of the call to the head of its response.
    pub response_time: Duration,
    _connection: ConnectionTask,
}

/// Why the body of a response brought nothing more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// Nothing was received in time.
    TimedOut,
    /// The body has ended, or its connection broke.
    Ended,
}

/// The task that drives a connection; aborted when this is dropped.
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Call {
    /// Calls an agent. `response_timeout` is for the connection and the head of the response together.
    ///
    /// # Errors
    /// If there is no response in time, or its status is not success.
    pub async fn start(
        agent: SocketAddr,
        path: String,
        response_timeout: Duration,
    ) -> Result<Self, CallError> {
        let call = timeout(response_timeout, Self::send(agent, path)).await;
        call.unwrap_or(Err(CallError::Disconnected))
    }

    async fn send(agent: SocketAddr, path: String) -> Result<Self, CallError> {
        let started_at = Instant::now();
        let stream = TcpStream::connect(agent).await.map_err(|_| CallError::Disconnected)?;
        stream.set_nodelay(true).map_err(|_| CallError::Disconnected)?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(ResilientStream::new(stream)));
        let (mut sender, connection) = handshake.await.map_err(|_| CallError::Disconnected)?;
        let connection = ConnectionTask(tokio::task::spawn_local(connection).abort_handle());
        let request = Request::get(path).header("host", agent.to_string());
        let request = request.body(Empty::<Bytes>::new()).map_err(|_| CallError::Disconnected)?;
        let response = sender.send_request(request).await.map_err(|_| CallError::Disconnected)?;
        if response.status() != StatusCode::OK {
            return Err(CallError::Rejected);
        }
        let response_time = started_at.elapsed();
        Ok(Self { body: response.into_body(), response_time, _connection: connection })
    }

    /// The next chunk of the body.
    ///
    /// # Errors
    /// If there is none by the deadline.
    pub async fn read_chunk(&mut self, deadline: Instant) -> Result<Bytes, ReadError> {
        loop {
            let frame = timeout_at(deadline, self.body.frame()).await.map_err(|_| ReadError::TimedOut)?;
            let frame = frame.ok_or(ReadError::Ended)?.map_err(|_| ReadError::Ended)?;
            if let Ok(data) = frame.into_data() {
                return Ok(data);
            }
        }
    }
}
