//! Handlers of the signals: SIGTERM and SIGINT shut the node down, SIGHUP reloads its configuration.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The installed signal handlers.
pub struct SignalHandlers {
    termination: TerminationSignal,
    hangups: Signal,
}

impl SignalHandlers {
    /// Installs the handlers. Must be called before anything else, since without them each of the signals
    /// kills the process.
    ///
    /// # Errors
    /// If the system refuses to install a handler.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            termination: TerminationSignal {
                terminate: signal(SignalKind::terminate())?,
                interrupt: signal(SignalKind::interrupt())?,
            },
            hangups: signal(SignalKind::hangup())?,
        })
    }

    /// Splits the handlers into those of SIGTERM and SIGINT, and that of SIGHUP.
    pub fn split(self) -> (TerminationSignal, Signal) {
        (self.termination, self.hangups)
    }
}

/// The handlers of SIGTERM and SIGINT.
pub struct TerminationSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl TerminationSignal {
    /// Waits until either signal is received. This method is cancel safe.
    pub async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
