//! Failures of system calls that tell of a want of this machine for a moment, and of nobody else's fault.

use std::io;

/// Whether an error says that this process or machine has no descriptor, memory or local port to spare. It passes by
/// itself.
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL | libc::EAGAIN)
    )
}
