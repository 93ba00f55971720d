//! Balance of the subsets: how evenly all gateways of a fleet together load its endpoints. With healthy
//! endpoints, gateways do not interact. Each is therefore simulated alone and dropped, to save memory.

use crate::deployment::{endpoint_update, incoming_request, settings, successful_attempt, zone_name};
use crate::experiment::FleetSizes;
use crate::report::Report;
use edge_gateway::{
    Action, EndpointId, EndpointListKind, EndpointStatus, EndpointUpdate, Event, Gateway, Millis, RequestId,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

/// Sigma of the log-normal distribution of request rates. Some gateways get several times the mean rate.
const REQUEST_RATE_SIGMA: f64 = 0.7;
/// Simulated time per gateway: two rotations of its subset, each of which takes 0.4 of the idle timeout.
const SIMULATED_DURATION: Millis = 24_000.0;
/// Number of threads, each of which simulates one gateway at a time.
const THREADS: u32 = 4;
/// Simulated time from an attempt to its response.
const RESPONSE_TIME: Millis = 20.0;
/// Gateways between two log lines that report progress.
const GATEWAYS_PER_PROGRESS_LINE: u32 = 500;
/// Name of the only customer.
const CUSTOMER: &str = "c";

/// Draws the request rate of each gateway, in requests per second, with the given mean.
pub fn request_rates(gateways: u32, mean: f64, seed: u64) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // The mean of a log-normal distribution is exp(mu + sigma^2 / 2): this mu makes it 1.
    let mu = -REQUEST_RATE_SIGMA * REQUEST_RATE_SIGMA / 2.0;
    let distribution = LogNormal::new(mu, REQUEST_RATE_SIGMA).expect("sigma is finite");
    (0..gateways).map(|_| mean * distribution.sample(&mut rng)).collect()
}

/// Requests and connections from all gateways, by endpoint.
struct FleetLoad {
    requests: Vec<AtomicU32>,
    connections: Vec<AtomicU32>,
}

impl FleetLoad {
    fn new(endpoints: u32) -> Self {
        let zeros = || (0..endpoints).map(|_| AtomicU32::new(0)).collect();
        Self { requests: zeros(), connections: zeros() }
    }

    fn report(&self, report: &mut Report) {
        let requests = PeakAndMean::of(&self.requests);
        report.add_value("balance: requests at a server, mean", requests.mean);
        report.add_value("balance: busiest server over the mean, ratio", requests.peak / requests.mean);
        let connections = PeakAndMean::of(&self.connections);
        report.add_value("balance: connections at a server, mean", connections.mean);
        report.add_value("balance: connections at a server, greatest", connections.peak);
    }
}

struct PeakAndMean {
    peak: f64,
    mean: f64,
}

impl PeakAndMean {
    fn of(counts: &[AtomicU32]) -> Self {
        let counts = || counts.iter().map(|count| f64::from(count.load(Ordering::Relaxed)));
        Self { peak: counts().fold(0.0, f64::max), mean: counts().sum::<f64>() / counts().len() as f64 }
    }
}

/// Simulates every gateway alone, and reports the peak and mean load of an endpoint.
pub fn run(sizes: &FleetSizes, seed: u64, report: &mut Report) {
    let (gateways, endpoints) = (sizes.balance_gateways, sizes.balance_endpoints);
    tracing::info!("measuring the balance of {gateways} gateways over {endpoints} endpoints");
    let snapshot: Arc<[EndpointUpdate]> =
        (0..endpoints).map(|id| endpoint_update(id, sizes.zones, EndpointStatus::Ready, None)).collect();
    let rates = request_rates(gateways, sizes.balance_rate, seed);
    let load = FleetLoad::new(endpoints);
    let next = AtomicU32::new(0);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let rank = next.fetch_add(1, Ordering::Relaxed);
                let Some(rate) = rates.get(rank as usize) else { break };
                if rank % GATEWAYS_PER_PROGRESS_LINE == 0 {
                    tracing::info!("simulating gateway {rank} of {gateways}");
                }
                IsolatedGateway::new(sizes, rank, snapshot.clone()).run(*rate, &load);
            });
        }
    });
    load.report(report);
}

/// A gateway that is simulated alone, with endpoints that answer every request successfully.
struct IsolatedGateway {
    gateway: Gateway,
    now: Millis,
    requests: u64,
    actions: Vec<Action>,
    /// Whether the gateway has used each endpoint, by endpoint id.
    connected: Vec<bool>,
}

impl IsolatedGateway {
    fn new(sizes: &FleetSizes, rank: u32, endpoints: Arc<[EndpointUpdate]>) -> Self {
        let settings = settings(sizes.balance_gateways, rank, &zone_name(rank, sizes.zones));
        let gateway = Gateway::new(settings, u64::from(rank)).expect("the synthetic settings are valid");
        let connected = vec![false; endpoints.len()];
        let mut isolated = Self { gateway, now: 0.0, requests: 0, actions: Vec::new(), connected };
        isolated.handle(Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints });
        isolated
    }

    /// Sends requests at a constant rate, and adds them to the load of the endpoints that get them.
    fn run(mut self, rate: f64, load: &FleetLoad) {
        let customer: Arc<str> = CUSTOMER.into();
        while self.now < SIMULATED_DURATION {
            self.requests += 1;
            let id: RequestId = format!("{:x}", self.requests).into();
            let request = incoming_request(id.clone(), customer.clone(), self.now, 1);
            if let Some(endpoint) = self.forward(Event::RequestReceived(request)) {
                self.count_forwarded(endpoint, load);
                self.handle(Event::AttemptFinished(successful_attempt(id, endpoint, RESPONSE_TIME)));
            }
            self.now += 1_000.0 / rate;
        }
    }

    fn forward(&mut self, request: Event) -> Option<EndpointId> {
        self.handle(request);
        self.actions.iter().find_map(|action| match action {
            Action::Forward { endpoint, .. } => Some(*endpoint),
            _ => None,
        })
    }

    fn count_forwarded(&mut self, endpoint: EndpointId, load: &FleetLoad) {
        let index = endpoint as usize;
        load.requests[index].fetch_add(1, Ordering::Relaxed);
        if !std::mem::replace(&mut self.connected[index], true) {
            load.connections[index].fetch_add(1, Ordering::Relaxed);
        }
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.gateway.handle(self.now, event, &mut self.actions);
    }
}
