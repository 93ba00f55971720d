//! Reads the body of a message into one buffer.
//!
//! hyper hands out a body in pieces, each of which keeps alive the read buffer that it was cut from. The
//! pieces are copied one by one and released, so that a body takes memory by its length, whatever the number
//! of its pieces. The memory is reserved in a [pool](MemoryPool), and held until the body is dropped.

use crate::io::memory_pool::{MemoryPool, Reservation};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Why a body could not be read to its end.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than the maximum.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// There was no memory left for the body, which was read to its end and discarded.
    #[error("no memory left for the body")]
    MemoryExhausted,
    /// The connection failed, or the framing of the body is malformed.
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

/// When the memory of a body is reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveMemory {
    /// As the body is read, so that a peer that announces a long body and sends little of it takes little. If
    /// no memory is left, the body is discarded.
    AsRead,
    /// Before the body is read, for its whole length. If no memory is left, the body is not read until there
    /// is.
    InAdvance,
}

/// Reads a body of at most `max_length` bytes to its end. Trailers are discarded.
///
/// # Errors
/// If the body is longer, its framing is malformed, the connection fails before its end, or there is no
/// memory left. A body whose announced length is too long is not read at all.
pub async fn read_body(
    mut body: Incoming,
    max_length: usize,
    memory: &MemoryPool,
    reserve: ReserveMemory,
) -> Result<Bytes, BodyError> {
    check_announced_length(&body, max_length)?;
    let expected_length =
        body.size_hint().exact().and_then(|length| usize::try_from(length).ok()).unwrap_or(max_length);
    let reservation = match reserve {
        ReserveMemory::AsRead => memory.reserve(0).await,
        ReserveMemory::InAdvance => memory.reserve(expected_length).await,
    };
    let mut buffer = BodyBuffer { bytes: Vec::new(), memory, reservation, expected_length, max_length };
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if let Err(error) = buffer.append(&data) {
            drop((buffer, data));
            if matches!(error, BodyError::MemoryExhausted) {
                discard(body, max_length).await?;
            }
            return Err(error);
        }
    }
    Ok(buffer.into_bytes())
}

/// Reads the rest of a body without keeping it.
///
/// # Errors
/// If its announced length is more than `max_length`, its framing is malformed, or the connection fails
/// before its end.
pub async fn discard(mut body: Incoming, max_length: usize) -> Result<(), BodyError> {
    check_announced_length(&body, max_length)?;
    while let Some(frame) = body.frame().await {
        frame?;
    }
    Ok(())
}

fn check_announced_length(body: &Incoming, max_length: usize) -> Result<(), BodyError> {
    if body.size_hint().lower() > max_length as u64 {
        return Err(BodyError::TooLong(max_length));
    }
    Ok(())
}

/// The part of a body that has been read.
struct BodyBuffer<'a> {
    bytes: Vec<u8>,
    memory: &'a MemoryPool,
    /// Memory for the capacity of `bytes` at least.
    reservation: Reservation,
    /// The announced length of the body; its maximum length if none was announced.
    expected_length: usize,
    max_length: usize,
}

impl BodyBuffer<'_> {
    fn append(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let length = self.bytes.len() + data.len();
        if length > self.max_length {
            return Err(BodyError::TooLong(self.max_length));
        }
        if length > self.bytes.capacity() {
            let capacity = self.reserve_capacity(length)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Reserves memory for at least `length` bytes, and returns for how many. The buffer doubles, so that few
    /// bytes are moved, but does not exceed the expected length.
    fn reserve_capacity(&mut self, length: usize) -> Result<usize, BodyError> {
        let doubled = (2 * self.bytes.capacity()).min(self.expected_length).max(length);
        let granted =
            [doubled, length].into_iter().find(|bytes| self.reservation.try_grow(self.memory, *bytes));
        granted.ok_or_else(|| {
            self.memory.record_exhausted();
            BodyError::MemoryExhausted
        })
    }

    fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.reservation.shrink(self.bytes.len());
        self.reservation.attach_to(self.bytes)
    }
}
