//! The runtime's budget for one poll of a task, used up by the bytes that the task transfers.
//!
//! The runtime counts its own calls only, each as one unit. Without this, a task whose peer always has data
//! would never yield.

use std::task::{Context, Poll};
use tokio::task::coop::{has_budget_remaining, poll_proceed};

/// Number of bytes read or written that use up one unit of the budget. A poll has 128 units.
const BYTES_PER_UNIT: usize = 256;

/// Pending if the budget for this poll of the task is used up. The task is polled again after the others.
pub fn poll_remaining(cx: &mut Context<'_>) -> Poll<()> {
    // Dropping the unit returns it to the budget. `consume` takes the units of the transfer.
    poll_proceed(cx).map(drop)
}

/// Uses up the part of the budget that a transfer of this many bytes takes, or what is left of it.
pub fn consume(cx: &mut Context<'_>, bytes: usize) {
    for _ in 0..bytes.div_ceil(BYTES_PER_UNIT) {
        if !has_budget_remaining() {
            return;
        }
        if let Poll::Ready(unit) = poll_proceed(cx) {
            unit.made_progress();
        }
    }
}
