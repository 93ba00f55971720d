//! One exchange of a request and its response on a connection.
//!
//! This module tracks whether any byte of the request was written. The pool decides what follows from a
//! failed exchange.

use super::connection::PooledConnection;
use super::metered_stream::ByteCounter;
use super::response::{CompleteResponse, ExchangeError};
use crate::io::memory_pool::MemoryPool;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::cell::RefCell;

/// Progress of an attempt; tells whoever aborts the attempt whether its request may have been executed.
#[derive(Default)]
pub struct AttemptProgress {
    /// `None` until the request is about to be written.
    request_offset: RefCell<Option<RequestOffset>>,
}

/// Where the request of an attempt begins among the bytes written to its connection.
struct RequestOffset {
    /// The connection's counter of written bytes, which continues to count.
    bytes_written: ByteCounter,
    /// Value of the counter just before the request was written.
    offset: u64,
}

impl AttemptProgress {
    /// Whether any byte of the request has been written, after which the endpoint may have executed it. The
    /// last byte is not tracked: a request is written in one piece, so this would rarely make a difference.
    pub fn may_have_executed(&self) -> bool {
        let request_offset = self.request_offset.borrow();
        request_offset.as_ref().is_some_and(|request| request.bytes_written.get() > request.offset)
    }

    /// Records that the request is about to be written to a connection.
    pub fn record_request_offset(&self, connection: &PooledConnection) {
        let bytes_written = connection.meter.bytes_written.clone();
        let offset = bytes_written.get();
        *self.request_offset.borrow_mut() = Some(RequestOffset { bytes_written, offset });
    }
}

/// The result of an exchange whose response is complete.
pub struct Exchange {
    /// The endpoint's response, from which the pool derives the outcome of the attempt.
    pub response: CompleteResponse,
    /// Whether the connection was still open when the response was complete.
    pub is_connection_open: bool,
}

/// Sends a request on a connection and reads the response to its end. The body of the response takes its
/// memory from `memory`.
///
/// # Errors
/// If the connection breaks before the response is complete, or the response is invalid.
pub async fn exchange(
    connection: &mut PooledConnection,
    request: Request<Full<Bytes>>,
    memory: &MemoryPool,
) -> Result<Exchange, ExchangeError> {
    let PooledConnection { sender, driver, meter, .. } = connection;
    let response = async {
        meter.allowance.expect_head();
        let response = sender.send_request(request).await?;
        meter.allowance.expect_body();
        CompleteResponse::read(response, memory).await
    };
    tokio::pin!(response);
    tokio::select! {
        biased;
        response = &mut response => {
            return response.map(|response| Exchange { response, is_connection_open: true });
        }
        _ = driver => {}
    }
    // The connection has ended, for example because the response announced it. Data that was received before
    // must still be read.
    response.await.map(|response| Exchange { response, is_connection_open: false })
}
