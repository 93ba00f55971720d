//! The operating system process of a node.

use crate::cpu_time;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io;
use std::process::{Child, Command, ExitStatus};
use std::time::Instant;

/// A process that is killed when it is dropped.
pub struct NodeProcess {
    child: Child,
    started_at: Instant,
}

impl NodeProcess {
    /// Starts the process of a command.
    pub fn spawn(command: &mut Command) -> io::Result<Self> {
        let started_at = Instant::now();
        Ok(Self { child: command.spawn()?, started_at })
    }

    /// Whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Whether the process has exited with success.
    pub fn exited_successfully(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(status)) if status.success())
    }

    /// Sends the process a signal; does nothing if it has exited.
    pub fn signal(&self, signal: Signal) {
        // Fails only if the process has exited already.
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Returns the mean fraction of one core that the process has used, or `None` if it cannot be read.
    pub fn cpu_fraction(&self) -> Option<f64> {
        let seconds = cpu_time::of_process(self.child.id()).ok()?;
        Some(seconds / self.started_at.elapsed().as_secs_f64().max(1.0))
    }

    /// Kills the process if it has not exited, and returns its exit status.
    pub fn kill_and_wait(&mut self) -> io::Result<ExitStatus> {
        let _ = self.child.kill();
        self.child.wait()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.kill_and_wait();
    }
}
