//! Limits the memory that the messages of one direction take together.
//!
//! Whoever is about to hold a part of a message reserves its bytes, and lets the reservation go with them.
//! Without such a limit, the peers would decide how much memory the node takes: each may keep a connection
//! open with a message that is incomplete, or that it does not read.

use crate::telemetry::metrics::{MessageKind, METRICS};
use bytes::Bytes;
use prometheus_client::metrics::gauge::Gauge;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Memory of which parts can be reserved; clones share it.
#[derive(Clone)]
pub struct MemoryPool {
    /// One permit for each byte that is not reserved.
    semaphore: Arc<Semaphore>,
    /// Number of bytes, reserved or not.
    capacity: Rc<Cell<usize>>,
    kind: MessageKind,
    /// Number of reserved bytes, for the metrics.
    reserved: Gauge,
}

impl MemoryPool {
    /// Creates a pool of `capacity` bytes for messages of this kind.
    pub fn new(kind: MessageKind, capacity: usize) -> Self {
        let capacity = capacity.min(Semaphore::MAX_PERMITS);
        Self {
            semaphore: Arc::new(Semaphore::new(capacity)),
            capacity: Rc::new(Cell::new(capacity)),
            kind,
            reserved: METRICS.message_memory(kind),
        }
    }

    /// Changes the capacity. Memory that is reserved stays so: if the new capacity is lower, only what is
    /// free is taken away.
    pub fn resize(&self, capacity: usize) {
        let current = self.capacity.get();
        let capacity = capacity.min(Semaphore::MAX_PERMITS);
        if capacity >= current {
            self.semaphore.add_permits(capacity - current);
            self.capacity.set(capacity);
        } else {
            let removed = self.semaphore.forget_permits(current - capacity);
            self.capacity.set(current - removed);
        }
    }

    /// Records that a message was held back, rejected or discarded for lack of memory.
    pub fn record_exhausted(&self) {
        METRICS.record_exhausted_message_memory(self.kind);
    }

    /// Reserves this many bytes, or returns `None` if not as many are free.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let permits = u32::try_from(bytes).ok()?;
        let permit = self.semaphore.clone().try_acquire_many_owned(permits).ok()?;
        Some(Reservation::new(permit, self.reserved.clone()))
    }

    /// Reserves this many bytes, or the whole pool if it is smaller, as soon as they are free. Calls are
    /// served in their order.
    ///
    /// # Cancel safety
    /// Dropping the future reserves nothing.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        if let Some(reservation) = self.try_reserve(bytes) {
            return reservation;
        }
        self.record_exhausted();
        loop {
            let permits = bytes.min(self.capacity.get());
            let permits = u32::try_from(permits).unwrap_or(u32::MAX);
            // The semaphore is never closed, which would be the only error.
            if let Ok(permit) = self.semaphore.clone().acquire_many_owned(permits).await {
                return Reservation::new(permit, self.reserved.clone());
            }
        }
    }
}

/// A number of reserved bytes, which dropping this returns to their pool.
pub struct Reservation {
    permit: OwnedSemaphorePermit,
    reserved: Gauge,
}

impl Reservation {
    fn new(permit: OwnedSemaphorePermit, reserved: Gauge) -> Self {
        reserved.inc_by(permit.num_permits() as i64);
        Self { permit, reserved }
    }

    /// Number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.permit.num_permits()
    }

    /// Reserves more bytes of the same pool, until there are `bytes` of them. Returns whether as many were
    /// free; if not, nothing has changed.
    pub fn try_grow(&mut self, pool: &MemoryPool, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes());
        let Some(permits) = u32::try_from(missing).ok() else { return false };
        let Ok(permit) = pool.semaphore.clone().try_acquire_many_owned(permits) else { return false };
        self.permit.merge(permit);
        self.reserved.inc_by(missing as i64);
        true
    }

    /// Returns all but `bytes` to the pool.
    pub fn shrink(&mut self, bytes: usize) {
        let excess = self.bytes().saturating_sub(bytes);
        if let Some(permit) = self.permit.split(excess) {
            self.reserved.dec_by(excess as i64);
            drop(permit);
        }
    }

    /// Attaches the reservation to the bytes that it was made for, until the last clone of them is dropped.
    pub fn attach_to(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.reserved.dec_by(self.bytes() as i64);
    }
}

/// Bytes with the reservation of their memory.
struct ReservedBytes {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
