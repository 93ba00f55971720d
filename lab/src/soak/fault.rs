//! Troubles: what befalls servers, the network, discovery, nodes and clients, drawn so that several overlap.

use super::client::Crowd;
use super::discovery::{Mood, Roster, Standing};
use super::endpoint::{Manner, Server};
use super::node::Node;
use super::oracle::Oracle;
use super::proxy::Weather;
use super::settings::{Rules, ZONES};
use fault_injection::{errno, Point};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::Rng;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Fewest servers that are left serving.
const SERVING_LEAST: usize = 6;
/// Grace that a server that drains has before its process ends.
const DRAINING: Duration = Duration::from_millis(1_500);

/// A node may be held up for 150 ms; this machine adds some to what it is told.
const HELD_UP: Duration = Duration::from_millis(130);
/// Idle connections of a crowd at one node: more than its clients may hold.
const CROWD: usize = 350;
/// A connection of the crowd that does not come up in this time is not waited for.
const CROWD_PATIENCE: Duration = Duration::from_millis(50);

/// Kinds of trouble.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Some servers answer badly.
    Manner(Manner),
    /// The network before some servers fails.
    Weather(Weather),
    /// Some servers cannot be reached, and their connections are reset.
    ServersUnreachable,
    /// Some servers restart and are cold.
    ServersRestart,
    /// Some servers drain and are replaced by new ones.
    ServersReplaced,
    /// Some agents answer badly.
    Mood(Mood),
    /// Some nodes are told to end and started again.
    NodesRestart,
    /// Some nodes are killed and started again.
    NodesKilled,
    /// Some nodes are moved to another agent, by one signal or several.
    NodesReload,
    /// Some nodes are held up.
    NodesHeldUp,
    /// Calls of some nodes fail at a point with an error.
    Calls(Point, i32),
    /// The wall clock of some nodes steps by so many milliseconds.
    WallClock(i64),
    /// Clients that say nothing fill the descriptors of some nodes.
    IdleCrowd,
    /// Clients leave early.
    ClientsLeave,
    /// Clients ask more often.
    ClientsSurge,
    /// Clients write slowly.
    ClientsSlow,
}

/// All that may be drawn.
pub const TROUBLES: &[Trouble] = &[
    Trouble::Manner(Manner::Hanging),
    Trouble::Manner(Manner::Failing),
    Trouble::Manner(Manner::Spoilt),
    Trouble::Manner(Manner::WithoutLength),
    Trouble::Weather(Weather::ResetRequests),
    Trouble::Weather(Weather::ResetAnswers),
    Trouble::Weather(Weather::EndAnswers),
    Trouble::Weather(Weather::Delay(Duration::from_millis(400))),
    Trouble::Weather(Weather::Silence),
    Trouble::Weather(Weather::CloseIdle(Duration::from_millis(40))),
    Trouble::ServersUnreachable,
    Trouble::ServersRestart,
    Trouble::ServersReplaced,
    Trouble::Mood(Mood::Silent),
    Trouble::Mood(Mood::Slow(Duration::from_millis(300))),
    Trouble::Mood(Mood::Slow(Duration::from_millis(700))),
    Trouble::Mood(Mood::Resets),
    Trouble::Mood(Mood::Refuses),
    Trouble::NodesRestart,
    Trouble::NodesKilled,
    Trouble::NodesReload,
    Trouble::NodesHeldUp,
    Trouble::Calls(Point::Receive, errno::EINTR),
    Trouble::Calls(Point::Send, errno::EINTR),
    Trouble::Calls(Point::ShortReceive, 9),
    Trouble::Calls(Point::ShortSend, 9),
    Trouble::Calls(Point::Accept, errno::ECONNABORTED),
    Trouble::Calls(Point::Accept, errno::ENFILE),
    Trouble::Calls(Point::Accept, errno::EINTR),
    Trouble::Calls(Point::Socket, errno::ENFILE),
    Trouble::Calls(Point::Socket, errno::ENOBUFS),
    Trouble::Calls(Point::Connect, errno::EADDRNOTAVAIL),
    Trouble::Calls(Point::Connect, errno::ENETUNREACH),
    Trouble::Calls(Point::Connect, errno::ETIMEDOUT),
    Trouble::Calls(Point::Connect, errno::EHOSTUNREACH),
    Trouble::Calls(Point::Log, errno::ENOSPC),
    Trouble::Calls(Point::Open, errno::ENFILE),
    Trouble::Calls(Point::Read, errno::EIO),
    Trouble::WallClock(3_600_000),
    Trouble::WallClock(-3_600_000),
    Trouble::WallClock(4_000),
    Trouble::WallClock(-4_000),
    Trouble::IdleCrowd,
    Trouble::ClientsLeave,
    Trouble::ClientsSurge,
    Trouble::ClientsSlow,
];

/// All that troubles befall.
pub struct World {
    /// The list of servers.
    pub roster: Arc<Roster>,
    /// The nodes and their clients.
    pub crowd: Arc<Crowd>,
    /// Who sees all.
    pub oracle: Arc<Oracle>,
    /// Figures of the rules.
    pub rules: Rules,
    /// Servers started so far.
    pub servers: AtomicU64,
}

impl World {
    /// A server that is not on the list yet.
    pub async fn server(&self) -> io::Result<Arc<Server>> {
        let number = self.servers.fetch_add(1, Ordering::Relaxed);
        let zone = ZONES[number as usize % ZONES.len()];
        Server::start(format!("s-{number:04}"), zone, &self.rules, self.oracle.clone()).await
    }

    fn some_servers(&self, rng: &mut StdRng) -> Vec<Arc<Server>> {
        let serving = self.roster.serving();
        let most = (serving.len() / 3).max(1);
        serving.choose_multiple(rng, rng.clone().random_range(1..=most)).cloned().collect()
    }

    fn some_nodes(&self, rng: &mut StdRng) -> Vec<Arc<Node>> {
        let nodes = &self.crowd.nodes;
        let most = (nodes.len() / 3).max(1);
        nodes.choose_multiple(rng, rng.clone().random_range(1..=most)).cloned().collect()
    }

    /// Plays one trouble for a time, from its beginning to its end.
    pub async fn befall(
        self: Arc<Self>,
        trouble: Trouble,
        time: Duration,
        mut rng: StdRng,
    ) -> io::Result<()> {
        match trouble {
            Trouble::Manner(manner) => {
                let servers = self.some_servers(&mut rng);
                servers.iter().for_each(|server| server.set(manner));
                sleep(time).await;
                servers.iter().for_each(|server| server.set(Manner::Good));
            }
            Trouble::Weather(weather) => {
                let servers = self.some_servers(&mut rng);
                servers.iter().for_each(|server| server.proxy.set(weather));
                sleep(time).await;
                servers.iter().for_each(|server| server.proxy.set(Weather::Fair));
            }
            Trouble::ServersUnreachable => {
                let servers = self.some_servers(&mut rng);
                servers.iter().for_each(|server| server.proxy.close());
                sleep(time).await;
                for server in servers {
                    server.proxy.open().await?;
                }
            }
            Trouble::ServersRestart => {
                for server in self.some_servers(&mut rng) {
                    server.restart().await?;
                    sleep(Duration::from_millis(rng.random_range(0..500))).await;
                    self.roster.restarted(&server.uid);
                }
            }
            Trouble::ServersReplaced => self.replace_servers(&mut rng).await?,
            Trouble::Mood(mood) => {
                let nodes = self.some_nodes(&mut rng);
                let agents: Vec<_> = nodes.iter().map(|node| node.agent().clone()).collect();
                agents.iter().for_each(|agent| agent.set(mood));
                sleep(time).await;
                agents.iter().for_each(|agent| agent.set(Mood::Well));
            }
            Trouble::NodesRestart => {
                for node in self.some_nodes(&mut rng) {
                    node.restart(rng.random()).await?;
                }
            }
            Trouble::NodesKilled => {
                for node in self.some_nodes(&mut rng) {
                    node.kill_and_start(time / 4).await?;
                }
            }
            Trouble::NodesReload => {
                for node in self.some_nodes(&mut rng) {
                    node.reload(rng.random_range(0..4)).await?;
                }
            }
            Trouble::NodesHeldUp => {
                for node in self.some_nodes(&mut rng) {
                    node.hold_up(HELD_UP.mul_f64(rng.random())).await;
                }
            }
            Trouble::Calls(point, value) => {
                let rare = matches!(point, Point::Socket | Point::Connect | Point::Accept);
                let rate = if rare { 150 } else { 60 };
                let nodes = self.some_nodes(&mut rng);
                for node in &nodes {
                    node.faults.fail_often(point, rate, value)?;
                }
                sleep(time).await;
                for node in &nodes {
                    node.faults.fail_often(point, 0, 0)?;
                }
            }
            Trouble::WallClock(step) => {
                for node in self.some_nodes(&mut rng) {
                    node.faults.step_wall_clock(step)?;
                }
            }
            Trouble::IdleCrowd => self.idle_crowd(time, &mut rng).await,
            Trouble::ClientsLeave => self.for_a_while(&self.crowd.habits.leaving, time).await,
            Trouble::ClientsSurge => self.for_a_while(&self.crowd.habits.surge, time).await,
            Trouble::ClientsSlow => self.for_a_while(&self.crowd.habits.slow, time).await,
        }
        Ok(())
    }

    async fn for_a_while(&self, habit: &std::sync::atomic::AtomicBool, time: Duration) {
        habit.store(true, Ordering::Relaxed);
        sleep(time).await;
        habit.store(false, Ordering::Relaxed);
    }

    async fn idle_crowd(&self, time: Duration, rng: &mut StdRng) {
        let mut idle = Vec::new();
        for node in self.some_nodes(rng) {
            for _ in 0..CROWD {
                // A node that takes no more is full.
                let connected = timeout(CROWD_PATIENCE, TcpStream::connect(node.address)).await;
                let Ok(Ok(stream)) = connected else { break };
                idle.push(stream);
            }
        }
        sleep(time).await;
    }

    async fn replace_servers(&self, rng: &mut StdRng) -> io::Result<()> {
        let leaving = self.some_servers(rng);
        let spare = self.roster.serving().len().saturating_sub(SERVING_LEAST);
        let leaving = &leaving[..leaving.len().min(spare)];
        for server in leaving {
            self.roster.change(&server.uid, Standing::Draining);
            let new = self.server().await?;
            new.restart().await?;
            self.roster.add(new);
        }
        sleep(DRAINING).await;
        for server in leaving {
            self.roster.change(&server.uid, Standing::Gone);
            // Some leave the list before their process has ended.
            if rng.random_ratio(1, 2) {
                server.proxy.close();
            }
        }
        Ok(())
    }
}
