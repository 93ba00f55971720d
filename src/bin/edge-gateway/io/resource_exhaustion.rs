//! Recognizes system calls that fail because this machine lacks file descriptors, memory or local ports. Such
//! failures are transient and are not caused by the peer.

use std::io;
use std::time::Duration;

/// Pause after resource exhaustion before a call is repeated, since resources take some time to be freed.
pub const RESOURCE_EXHAUSTION_PAUSE: Duration = Duration::from_millis(20);

/// Whether an error means that this process or machine has no file descriptor, memory or local port left.
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL | libc::EAGAIN)
    )
}
