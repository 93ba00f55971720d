//! The signals that a node handles: SIGTERM and SIGINT shut it down, SIGHUP reloads its configuration.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The installed signal handlers.
pub struct SignalHandlers {
    termination: TerminationSignal,
    hangups: Signal,
}

impl SignalHandlers {
    /// Installs the handlers. Until then each of the signals ends the process, so this comes before all else.
    ///
    /// # Errors
    /// If the system does not allow it.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            termination: TerminationSignal {
                terminate: signal(SignalKind::terminate())?,
                interrupt: signal(SignalKind::interrupt())?,
            },
            hangups: signal(SignalKind::hangup())?,
        })
    }

    /// The termination signal, and SIGHUP.
    pub fn split(self) -> (TerminationSignal, Signal) {
        (self.termination, self.hangups)
    }
}

/// SIGTERM or SIGINT.
pub struct TerminationSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl TerminationSignal {
    /// Waits for either signal. Cancel safe.
    pub async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
