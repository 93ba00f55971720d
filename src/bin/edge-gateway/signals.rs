//! The signals that a node heeds.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// What a node is told by signals.
pub struct SignalHandlers {
    terminate: Signal,
    interrupt: Signal,
    hangups: Signal,
}

impl SignalHandlers {
    /// Heeds signals from now on; until then each of them ends the process, so that this comes before all else.
    ///
    /// # Errors
    /// If the system does not let it.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangups: signal(SignalKind::hangup())?,
        })
    }

    /// Splits off what is heard by others; the rest waits for the word to end.
    pub fn split(self) -> (TerminationSignal, Signal) {
        (TerminationSignal { terminate: self.terminate, interrupt: self.interrupt }, self.hangups)
    }
}

/// The word to end.
pub struct TerminationSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl TerminationSignal {
    /// Waits for it.
    pub async fn told(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
