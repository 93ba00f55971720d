//! Failures of system calls for lack of descriptors, memory or ports of this machine, which pass by themselves.

use std::io;
use std::time::Duration;

/// Pause before the next try after such a failure: what is missing does not come back at once.
pub const RESOURCE_EXHAUSTION_PAUSE: Duration = Duration::from_millis(20);

/// Whether an error says that this process or machine has no descriptor, memory or local port to spare. It passes by
/// itself.
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL | libc::EAGAIN)
    )
}
