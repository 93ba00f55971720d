//! The environment of a run: its nodes, clients, endpoints and discovery agents.

use super::client::Clients;
use super::discovery::Agent;
use super::endpoint::Endpoint;
use super::endpoint_list::EndpointList;
use super::node::{Fleet, Node};
use super::oracle::Oracle;
use super::settings::{Parameters, ZONES};
use crate::experiment::SoakSizes;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::Rng;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::task::JoinSet;

/// A fault affects at most one in this many endpoints or nodes, but always at least one.
const MAX_AFFECTED_DIVISOR: usize = 3;

/// The nodes, clients and endpoints of a run. Each node owns its discovery agents.
pub struct Environment {
    /// The endpoint list, which all agents serve.
    pub endpoints: Arc<EndpointList>,
    /// The nodes, and the state that their clients share.
    pub clients: Arc<Clients>,
    oracle: Arc<Oracle>,
    parameters: Parameters,
    /// Number of the next endpoint to be started.
    next_endpoint: AtomicU64,
}

impl Environment {
    /// Starts all endpoints, agents and nodes, and waits until the nodes are ready.
    pub async fn start(
        sizes: &SoakSizes,
        fleet: &Arc<Fleet>,
        oracle: &Arc<Oracle>,
        parameters: Parameters,
    ) -> io::Result<Arc<Self>> {
        let endpoints = EndpointList::new();
        let mut nodes = Vec::new();
        for rank in 0..sizes.nodes {
            let first = Agent::start(rank, endpoints.clone(), oracle.clone()).await?;
            let second = Agent::start(rank, endpoints.clone(), oracle.clone()).await?;
            nodes.push(Node::new(rank, [first, second], fleet.clone(), oracle.clone())?);
        }
        let clients = Arc::new(Clients::new(nodes, oracle.clone()));
        let next_endpoint = AtomicU64::new(0);
        let environment = Self { endpoints, clients, oracle: oracle.clone(), parameters, next_endpoint };
        for _ in 0..sizes.endpoints {
            let endpoint = environment.new_endpoint().await?;
            environment.endpoints.add(endpoint);
        }
        environment.start_nodes().await?;
        Ok(Arc::new(environment))
    }

    async fn start_nodes(&self) -> io::Result<()> {
        let mut starts = JoinSet::new();
        for node in self.nodes().to_vec() {
            starts.spawn(async move { node.start().await });
        }
        while let Some(started) = starts.join_next().await {
            started.map_err(io::Error::other)??;
        }
        Ok(())
    }

    /// Shuts down all nodes concurrently.
    pub async fn shut_down_nodes(&self) {
        let mut shutdowns = JoinSet::new();
        for node in self.nodes().to_vec() {
            shutdowns.spawn(async move { node.shut_down().await });
        }
        while shutdowns.join_next().await.is_some() {}
    }

    /// Returns all nodes, by rank.
    pub fn nodes(&self) -> &[Arc<Node>] {
        &self.clients.nodes
    }

    /// Starts an endpoint, which the caller has yet to add to the list.
    pub async fn new_endpoint(&self) -> io::Result<Arc<Endpoint>> {
        let number = self.next_endpoint.fetch_add(1, Ordering::Relaxed);
        let zone = ZONES[number as usize % ZONES.len()];
        Endpoint::start(format!("s-{number:04}"), zone, &self.parameters, self.oracle.clone()).await
    }

    /// Draws one or more of the serving endpoints at random.
    pub fn draw_endpoints(&self, rng: &mut StdRng) -> Vec<Arc<Endpoint>> {
        draw_sample(&self.endpoints.serving(), rng)
    }

    /// Draws one or more of the nodes at random.
    pub fn draw_nodes(&self, rng: &mut StdRng) -> Vec<Arc<Node>> {
        draw_sample(self.nodes(), rng)
    }
}

fn draw_sample<T: Clone>(all: &[T], rng: &mut StdRng) -> Vec<T> {
    let max = (all.len() / MAX_AFFECTED_DIVISOR).max(1);
    // Drawn from a copy: the count does not advance the generator, only the choice does.
    let count = rng.clone().random_range(1..=max);
    all.choose_multiple(rng, count).cloned().collect()
}
