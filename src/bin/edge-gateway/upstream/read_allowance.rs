//! Limits the number of bytes that are read for one response.
//!
//! hyper limits the size of one head, and [`CompleteResponse`](super::response::CompleteResponse) that of the
//! body. Neither limits interim responses and the framing of chunks, which hyper skips.

use super::response::MAX_BODY_SIZE;
use std::cell::Cell;
use std::rc::Rc;

/// Maximum size of the head of a response, in bytes; bounds the memory that an endless head can take. Interim
/// responses count towards it.
pub const MAX_HEAD_SIZE: usize = 32 << 10;
/// Maximum number of bytes read up to the end of a head. Part of the body may come with it in the last read,
/// which is at most [`MAX_HEAD_SIZE`] long.
const MAX_BYTES_OF_HEAD: u64 = 2 * MAX_HEAD_SIZE as u64;
/// Maximum number of bytes read after a head. A body in chunks of one byte takes six times its size.
const MAX_BYTES_OF_BODY: u64 = 8 * MAX_BODY_SIZE as u64;

/// Number of bytes that may still be read for the part of a response that is due; clones share it.
#[derive(Clone, Default)]
pub struct ReadAllowance(Rc<Cell<u64>>);

impl ReadAllowance {
    /// Sets what may be read until the head of the next response is complete.
    pub fn expect_head(&self) {
        self.0.set(MAX_BYTES_OF_HEAD);
    }

    /// Sets what may be read after the head until the body is complete.
    pub fn expect_body(&self) {
        self.0.set(MAX_BYTES_OF_BODY);
    }

    /// Records a read, which may exceed what was left.
    pub fn record_read(&self, bytes: u64) {
        self.0.set(self.0.get().saturating_sub(bytes));
    }

    /// Whether nothing more may be read.
    pub fn is_used_up(&self) -> bool {
        self.0.get() == 0
    }
}

/// The endpoint has sent more than any valid response has, by interim responses or the framing of the body.
#[derive(Debug, thiserror::Error)]
#[error("more data than any valid response has")]
pub struct ResponseTooLong;
