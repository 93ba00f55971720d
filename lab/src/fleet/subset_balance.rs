//! How evenly the subsets of a whole fleet load its servers, at full size. Gateways that all see healthy servers
//! do not meet, so each is played alone and its memory is free for the next.

use crate::deployment::{endpoint_update, incoming_request, settings, successful_attempt, zone_name};
use crate::experiment::FleetSizes;
use crate::report::Report;
use edge_gateway::{
    Action, EndpointListKind, EndpointStatus, EndpointUpdate, Event, Gateway, Millis, RequestId,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

/// Spread of the gateways' traffic: some get several times the mean.
pub const TRAFFIC_SIGMA: f64 = 0.7;
/// Time played, in milliseconds of the made clock: two rotations.
const TIME: Millis = 24_000.0;
/// Threads; each holds one gateway at a time.
const THREADS: u32 = 4;
/// Time to an answer.
const ANSWERED_AFTER: Millis = 20.0;

/// Traffic of each gateway, in requests a second, with this mean.
pub fn traffic(gateways: u32, mean: f64, seed: u64) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // Its mean is e to the half of sigma squared.
    let spread =
        LogNormal::new(-TRAFFIC_SIGMA * TRAFFIC_SIGMA / 2.0, TRAFFIC_SIGMA).expect("a finite spread");
    (0..gateways).map(|_| mean * spread.sample(&mut rng)).collect()
}

/// What all gateways together did to each server.
struct FleetLoad {
    sent: Vec<AtomicU32>,
    connections: Vec<AtomicU32>,
}

/// Plays every gateway by itself and reports the busiest server and the most connected one against the mean.
pub fn run(sizes: &FleetSizes, seed: u64, report: &mut Report) {
    let servers = sizes.balance_endpoints;
    let zones = sizes.zones;
    tracing::info!("balance of {} gateways before {servers} servers", sizes.balance_gateways);
    let list: Arc<[EndpointUpdate]> =
        (0..servers).map(|id| endpoint_update(id, zones, EndpointStatus::Ready, None)).collect();
    let rates = traffic(sizes.balance_gateways, sizes.balance_rate, seed);
    let zeros = || (0..servers).map(|_| AtomicU32::new(0)).collect();
    let load = FleetLoad { sent: zeros(), connections: zeros() };
    let next = AtomicU32::new(0);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let rank = next.fetch_add(1, Ordering::Relaxed);
                let Some(rate) = rates.get(rank as usize) else { break };
                if rank % 500 == 0 {
                    tracing::info!("gateway {rank}");
                }
                play(sizes, rank, *rate, &list, &load);
            });
        }
    });
    let (busiest, mean) = greatest_and_mean(&load.sent);
    report.value("balance: requests at a server, mean", mean);
    report.value("balance: busiest server over the mean, ratio", busiest / mean);
    let (most, mean) = greatest_and_mean(&load.connections);
    report.value("balance: connections at a server, mean", mean);
    report.value("balance: connections at a server, greatest", most);
}

fn greatest_and_mean(counts: &[AtomicU32]) -> (f64, f64) {
    let counts = || counts.iter().map(|count| f64::from(count.load(Ordering::Relaxed)));
    (counts().fold(0.0, f64::max), counts().sum::<f64>() / counts().len() as f64)
}

fn play(sizes: &FleetSizes, rank: u32, rate: f64, list: &Arc<[EndpointUpdate]>, load: &FleetLoad) {
    let settings = settings(sizes.balance_gateways, rank, &zone_name(rank, sizes.zones));
    let mut gateway = Gateway::new(settings, u64::from(rank)).expect("the made-up settings are sound");
    let mut actions = Vec::new();
    gateway.handle(
        0.0,
        Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: list.clone() },
        &mut actions,
    );
    let mut used = vec![false; list.len()];
    let customer: Arc<str> = "c".into();
    let (mut now, mut number) = (0.0, 0_u64);
    while now < TIME {
        actions.clear();
        number += 1;
        let request: RequestId = format!("{number:x}").into();
        let arrival = incoming_request(request.clone(), customer.clone(), now, 1);
        gateway.handle(now, Event::RequestReceived(arrival), &mut actions);
        if let Some(Action::Forward { endpoint: server, .. }) =
            actions.iter().find(|a| matches!(a, Action::Forward { .. }))
        {
            let server = *server;
            load.sent[server as usize].fetch_add(1, Ordering::Relaxed);
            if !std::mem::replace(&mut used[server as usize], true) {
                load.connections[server as usize].fetch_add(1, Ordering::Relaxed);
            }
            gateway.handle(
                now,
                Event::AttemptFinished(successful_attempt(request, server, ANSWERED_AFTER)),
                &mut actions,
            );
        }
        now += 1_000.0 / rate;
    }
}
