//! One exchange of a request and its response on a connection.
//!
//! Owns the knowledge of whether any byte of a request was written. What follows from a failed exchange is
//! left to the pool.

use super::connection::{ByteCounter, PooledConnection};
use super::response::{CompleteResponse, ExchangeError};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::cell::RefCell;

/// How far an attempt has come, for whoever aborts it.
#[derive(Default)]
pub struct AttemptProgress {
    write_start: RefCell<Option<WriteStart>>,
}

/// Where the bytes of an attempt begin among those of its connection.
struct WriteStart {
    bytes_written: ByteCounter,
    bytes_before: u64,
}

impl AttemptProgress {
    /// Whether any byte of the request has been written: from then on it may have been executed. A request is
    /// written in one piece, so that little is lost by not knowing whether its last byte was.
    pub fn may_have_executed(&self) -> bool {
        let write_start = self.write_start.borrow();
        write_start.as_ref().is_some_and(|start| start.bytes_written.get() > start.bytes_before)
    }

    /// The request is about to be written to a connection.
    pub fn record_write_start(&self, connection: &PooledConnection) {
        let bytes_written = connection.bytes_written.clone();
        let bytes_before = bytes_written.get();
        *self.write_start.borrow_mut() = Some(WriteStart { bytes_written, bytes_before });
    }
}

/// What an exchange brought.
pub struct Exchange {
    /// The response.
    pub response: CompleteResponse,
    /// Whether the connection was still open when the response was complete.
    pub is_connection_open: bool,
}

/// Writes a request and reads its response.
///
/// # Errors
/// If there is no complete, valid response.
pub async fn exchange(
    connection: &mut PooledConnection,
    request: Request<Full<Bytes>>,
) -> Result<Exchange, ExchangeError> {
    let PooledConnection { sender, driver, .. } = connection;
    let response = async {
        let response = sender.send_request(request).await?;
        CompleteResponse::read(response).await
    };
    tokio::pin!(response);
    tokio::select! {
        biased;
        response = &mut response => {
            return response.map(|response| Exchange { response, is_connection_open: true });
        }
        _ = driver => {}
    }
    // The connection has ended, as it does when the response says so. What was received is still to be read.
    response.await.map(|response| Exchange { response, is_connection_open: false })
}
