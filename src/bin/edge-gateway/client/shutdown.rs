//! Graceful shutdown of the client side. Open connections, and those that arrive during a grace period, are
//! still served, and their clients are told to close them.

use crate::client::Frontend;
use edge_gateway::Millis;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Time after the termination signal during which idle connections stay open: clients still send requests on
/// them, and new connections arrive for up to 0.4 s.
const IDLE_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// Time after [`IDLE_GRACE_PERIOD`] during which new connections are still accepted: a client that sent its
/// request just as its idle connection was closed connects again.
const ACCEPT_GRACE_PERIOD: Duration = Duration::from_millis(150);
/// Idle time after which a connection is closed once [`IDLE_GRACE_PERIOD`] is over; it leaves a connection
/// that was just accepted the time to receive its first request.
const MIN_IDLE_TIME: Duration = Duration::from_millis(50);
/// Interval between two searches for idle connections during shutdown.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// The process manager is expected to kill the process at the earliest this time plus the longest deadline of
/// all classes after its termination signal.
const KILL_DELAY: Millis = 700.0;
/// Maximum of that longest deadline: a longer one does not delay the kill further.
const MAX_AWAITED_DEADLINE: Millis = 3_000.0;
/// Time before the kill that is reserved for writing the last responses.
const RESPONSE_MARGIN: Millis = 200.0;

impl Frontend {
    /// Shuts down gracefully. Clients are served throughout, and told to close their connections. Returns
    /// when `accept_task`, the task of [`accept`](Self::accept), has ended and all connections have closed.
    pub async fn shut_down(&self, accept_task: JoinHandle<()>) {
        self.handler.start_draining();
        self.set_shutdown_deadline();
        sleep(IDLE_GRACE_PERIOD).await;
        self.connections.close_idle(MIN_IDLE_TIME);
        sleep(ACCEPT_GRACE_PERIOD).await;
        self.stop_accepting.notify_one();
        while !accept_task.is_finished() || !self.connections.is_empty() {
            self.connections.close_idle(MIN_IDLE_TIME);
            let _ = timeout(IDLE_CHECK_INTERVAL, self.connections.connection_closed()).await;
        }
    }

    /// Has the dispatcher answer every open request shortly before the process is killed.
    fn set_shutdown_deadline(&self) {
        let awaited_deadline = self.handler.longest_deadline().min(MAX_AWAITED_DEADLINE);
        let deadline = self.dispatcher.now() + awaited_deadline + KILL_DELAY - RESPONSE_MARGIN;
        self.dispatcher.set_shutdown_deadline(deadline);
    }
}
