//! Graceful shutdown of the client side: open connections and those still to come are served, and told to
//! close.

use crate::client::Frontend;
use edge_gateway::Millis;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Idle connections are kept this long after the termination signal: clients go on using open connections,
/// and new ones come for up to 0.4 s.
const IDLE_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// New connections are accepted for this much longer, for clients whose request has crossed the close of an
/// idle one.
const ACCEPT_GRACE_PERIOD: Duration = Duration::from_millis(150);
/// From then on connections are closed that have been idle for this long; it is the time of a connection just
/// accepted for its first request to arrive.
const MIN_IDLE_TIME: Duration = Duration::from_millis(50);
/// Period in which idle connections are looked for.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// The process is killed this long after the signal, plus the longest time that a client waits ...
const KILL_DELAY: Millis = 700.0;
/// ... which counts for no more than this.
const MAX_CLIENT_WAIT: Millis = 3_000.0;
/// Time before the kill for the last responses to be written.
const RESPONSE_MARGIN: Millis = 200.0;

impl Frontend {
    /// Shuts down gracefully: serves whoever comes or stays, and tells them to connect elsewhere. Returns
    /// when `accepting`, the task of [`accept`](Self::accept), has ended and all connections have closed.
    pub async fn shut_down(&self, accepting: JoinHandle<()>) {
        self.handler.start_draining();
        self.set_shutdown_deadline();
        sleep(IDLE_GRACE_PERIOD).await;
        self.connections.close_idle(MIN_IDLE_TIME);
        sleep(ACCEPT_GRACE_PERIOD).await;
        self.stop_accepting.notify_one();
        while !accepting.is_finished() || !self.connections.is_empty() {
            self.connections.close_idle(MIN_IDLE_TIME);
            let _ = timeout(IDLE_CHECK_INTERVAL, self.connections.connection_closed()).await;
        }
    }

    /// Has every open request answered before the process is killed.
    fn set_shutdown_deadline(&self) {
        let client_wait = self.handler.longest_deadline().min(MAX_CLIENT_WAIT);
        let deadline = self.dispatcher.now() + client_wait + KILL_DELAY - RESPONSE_MARGIN;
        self.dispatcher.set_shutdown_deadline(deadline);
    }
}
