//! Injection of faults, with one function for each kind.

use super::Fault;
use crate::soak::discovery::AgentFault;
use crate::soak::endpoint::EndpointFault;
use crate::soak::endpoint_list::EndpointState;
use crate::soak::environment::Environment;
use crate::soak::proxy::NetworkFault;
use fault_injection::InjectionPoint;
use rand::rngs::StdRng;
use rand::Rng;
use std::io;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Minimum number of endpoints that keep serving while others are replaced.
const MIN_SERVING_ENDPOINTS: usize = 6;
/// Time for which a replaced endpoint drains before it is removed.
const DRAIN_TIME: Duration = Duration::from_millis(1_500);
/// Range of the time from an endpoint's restart until it is published on the list, in milliseconds.
const RESTART_NOTIFICATION_DELAY_MS: Range<u64> = 0..500;
/// Maximum nominal duration of a pause. A node must tolerate 150 ms; scheduling delays lengthen a pause.
const MAX_PAUSE: Duration = Duration::from_millis(130);
/// Range of the number of signals that follow the first one of a reload.
const EXTRA_SIGNALS: Range<u32> = 0..4;
/// Failures per thousand system calls that open or accept a connection.
const CONNECTION_CALL_FAILURES_PER_THOUSAND: u32 = 150;
/// Failures per thousand other system calls, which are more frequent.
const FREQUENT_CALL_FAILURES_PER_THOUSAND: u32 = 60;
/// Idle connections that are opened to one node, more than it has file descriptors for clients.
const IDLE_CONNECTIONS_PER_NODE: usize = 350;
/// Time within which an idle connection must be established. Otherwise the node is considered full.
const IDLE_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// Injects one fault and returns when it is over. Faults without a duration of their own last `duration`.
pub async fn inject(
    environment: Arc<Environment>,
    fault: Fault,
    duration: Duration,
    rng: StdRng,
) -> io::Result<()> {
    let behavior = &environment.clients.behavior;
    let mut injection = Injection { environment: &environment, duration, rng };
    match fault {
        Fault::Endpoints(fault) => injection.endpoint_fault(fault).await,
        Fault::Network(fault) => injection.network_fault(fault).await,
        Fault::EndpointsUnreachable => injection.endpoints_unreachable().await,
        Fault::EndpointsRestart => injection.endpoints_restart().await,
        Fault::EndpointsReplaced => injection.endpoints_replaced().await,
        Fault::Agents(fault) => injection.agent_fault(fault).await,
        Fault::NodesRestart => injection.nodes_restart().await,
        Fault::NodesKilled => injection.nodes_killed().await,
        Fault::NodesReload => injection.nodes_reload().await,
        Fault::NodesPaused => injection.nodes_paused().await,
        Fault::SystemCalls(point, value) => injection.system_calls(point, value).await,
        Fault::WallClock(offset_ms) => injection.wall_clock(offset_ms),
        Fault::IdleConnections => injection.idle_connections().await,
        Fault::ClientsDisconnect => injection.client_behavior(&behavior.disconnect_early).await,
        Fault::ClientsSurge => injection.client_behavior(&behavior.surge).await,
        Fault::ClientsWriteSlowly => injection.client_behavior(&behavior.write_slowly).await,
    }
}

/// What an injection acts on, how long it lasts, and the generator of its random choices.
struct Injection<'a> {
    environment: &'a Environment,
    duration: Duration,
    rng: StdRng,
}

impl Injection<'_> {
    async fn endpoint_fault(&mut self, fault: EndpointFault) -> io::Result<()> {
        let endpoints = self.environment.draw_endpoints(&mut self.rng);
        endpoints.iter().for_each(|endpoint| endpoint.set_fault(fault));
        sleep(self.duration).await;
        endpoints.iter().for_each(|endpoint| endpoint.set_fault(EndpointFault::None));
        Ok(())
    }

    async fn network_fault(&mut self, fault: NetworkFault) -> io::Result<()> {
        let endpoints = self.environment.draw_endpoints(&mut self.rng);
        endpoints.iter().for_each(|endpoint| endpoint.proxy.set_fault(fault));
        sleep(self.duration).await;
        endpoints.iter().for_each(|endpoint| endpoint.proxy.set_fault(NetworkFault::None));
        Ok(())
    }

    async fn agent_fault(&mut self, fault: AgentFault) -> io::Result<()> {
        let nodes = self.environment.draw_nodes(&mut self.rng);
        // A node may switch to its other agent meanwhile. The fault must end at the agents where it began.
        let agents: Vec<_> = nodes.iter().map(|node| node.agent().clone()).collect();
        agents.iter().for_each(|agent| agent.set_fault(fault));
        sleep(self.duration).await;
        agents.iter().for_each(|agent| agent.set_fault(AgentFault::None));
        Ok(())
    }

    async fn endpoints_unreachable(&mut self) -> io::Result<()> {
        let endpoints = self.environment.draw_endpoints(&mut self.rng);
        endpoints.iter().for_each(|endpoint| endpoint.proxy.close());
        sleep(self.duration).await;
        for endpoint in endpoints {
            endpoint.proxy.open().await?;
        }
        Ok(())
    }

    async fn endpoints_restart(&mut self) -> io::Result<()> {
        for endpoint in self.environment.draw_endpoints(&mut self.rng) {
            endpoint.restart().await?;
            sleep(Duration::from_millis(self.rng.random_range(RESTART_NOTIFICATION_DELAY_MS))).await;
            self.environment.endpoints.publish_restart(&endpoint.id);
        }
        Ok(())
    }

    async fn endpoints_replaced(&mut self) -> io::Result<()> {
        let list = &self.environment.endpoints;
        let mut replaced = self.environment.draw_endpoints(&mut self.rng);
        let max_replaced = list.serving().len().saturating_sub(MIN_SERVING_ENDPOINTS);
        replaced.truncate(max_replaced);
        for endpoint in &replaced {
            list.set_state(&endpoint.id, EndpointState::Draining);
            let successor = self.environment.new_endpoint().await?;
            successor.restart().await?;
            list.add(successor);
        }
        sleep(DRAIN_TIME).await;
        for endpoint in &replaced {
            list.set_state(&endpoint.id, EndpointState::Removed);
            // The processes of the others outlive their entries on the list.
            if self.rng.random_ratio(1, 2) {
                endpoint.proxy.close();
            }
        }
        Ok(())
    }

    async fn nodes_restart(&mut self) -> io::Result<()> {
        for node in self.environment.draw_nodes(&mut self.rng) {
            node.restart(self.rng.random()).await?;
        }
        Ok(())
    }

    async fn nodes_killed(&mut self) -> io::Result<()> {
        for node in self.environment.draw_nodes(&mut self.rng) {
            node.kill_and_restart(self.duration / 4).await?;
        }
        Ok(())
    }

    async fn nodes_reload(&mut self) -> io::Result<()> {
        for node in self.environment.draw_nodes(&mut self.rng) {
            node.reload(self.rng.random_range(EXTRA_SIGNALS)).await?;
        }
        Ok(())
    }

    async fn nodes_paused(&mut self) -> io::Result<()> {
        for node in self.environment.draw_nodes(&mut self.rng) {
            node.pause(MAX_PAUSE.mul_f64(self.rng.random())).await;
        }
        Ok(())
    }

    async fn system_calls(&mut self, point: InjectionPoint, value: i32) -> io::Result<()> {
        let opens_connections =
            matches!(point, InjectionPoint::Socket | InjectionPoint::Connect | InjectionPoint::Accept);
        let failures_per_thousand = if opens_connections {
            CONNECTION_CALL_FAILURES_PER_THOUSAND
        } else {
            FREQUENT_CALL_FAILURES_PER_THOUSAND
        };
        let nodes = self.environment.draw_nodes(&mut self.rng);
        for node in &nodes {
            node.faults.set_failure_rate(point, failures_per_thousand, value)?;
        }
        sleep(self.duration).await;
        for node in &nodes {
            node.faults.set_failure_rate(point, 0, 0)?;
        }
        Ok(())
    }

    fn wall_clock(&mut self, offset_ms: i64) -> io::Result<()> {
        for node in self.environment.draw_nodes(&mut self.rng) {
            node.faults.set_wall_clock_offset(offset_ms)?;
        }
        Ok(())
    }

    async fn idle_connections(&mut self) -> io::Result<()> {
        let mut idle = Vec::new();
        for node in self.environment.draw_nodes(&mut self.rng) {
            for _ in 0..IDLE_CONNECTIONS_PER_NODE {
                let connected = timeout(IDLE_CONNECT_TIMEOUT, TcpStream::connect(node.address)).await;
                let Ok(Ok(stream)) = connected else { break };
                idle.push(stream);
            }
        }
        sleep(self.duration).await;
        Ok(())
    }

    async fn client_behavior(&self, behavior: &AtomicBool) -> io::Result<()> {
        behavior.store(true, Ordering::Relaxed);
        sleep(self.duration).await;
        behavior.store(false, Ordering::Relaxed);
        Ok(())
    }
}
