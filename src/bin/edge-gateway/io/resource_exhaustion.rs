//! Failures of system calls because this machine lacks descriptors, memory or ports. They are transient, and
//! say nothing of the peer.

use std::io;
use std::time::Duration;

/// Pause before the next attempt after such a failure: resources are not freed at once.
pub const RESOURCE_EXHAUSTION_PAUSE: Duration = Duration::from_millis(20);

/// Whether an error says that this process or machine has no descriptor, memory or local port to spare.
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL | libc::EAGAIN)
    )
}
