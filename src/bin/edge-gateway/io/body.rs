//! Reads the body of a message into one buffer.
//!
//! hyper hands out a body in pieces, each of which keeps alive the read buffer that it was cut from. The
//! pieces are copied one by one and released, so that a body takes memory by its length, whatever the number
//! of its pieces.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Why a body could not be read to its end.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than the maximum.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// The connection failed, or the framing of the body is malformed.
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

/// Reads a body of at most `max_length` bytes to its end. Trailers are discarded.
///
/// # Errors
/// If the body is longer, its framing is malformed, or the connection fails before its end. A body whose
/// announced length is too long is not read at all.
pub async fn read_body(mut body: Incoming, max_length: usize) -> Result<Bytes, BodyError> {
    let announced_length = body.size_hint();
    if announced_length.lower() > max_length as u64 {
        return Err(BodyError::TooLong(max_length));
    }
    let expected_length =
        announced_length.exact().and_then(|length| usize::try_from(length).ok()).unwrap_or(max_length);
    let mut buffer = BodyBuffer { bytes: Vec::new(), expected_length, max_length };
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            buffer.append(&data)?;
        }
    }
    Ok(buffer.into_bytes())
}

/// The part of a body that has been read.
struct BodyBuffer {
    bytes: Vec<u8>,
    /// The announced length of the body; its maximum length if none was announced.
    expected_length: usize,
    max_length: usize,
}

impl BodyBuffer {
    fn append(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let length = self.bytes.len() + data.len();
        if length > self.max_length {
            return Err(BodyError::TooLong(self.max_length));
        }
        if length > self.bytes.capacity() {
            // The buffer doubles, so that few pieces are moved, but does not exceed the expected length.
            let capacity = (2 * self.bytes.capacity()).min(self.expected_length).max(length);
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.bytes.into()
    }
}
