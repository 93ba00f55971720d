//! One gateway on a simulated clock, driven to measure the processor time of its decisions.

use crate::cpu_time;
use crate::deployment::{endpoint_update, incoming_request, successful_attempt};
use edge_gateway::{
    Action, AttemptResult, EndpointId, EndpointListKind, EndpointStatus, EndpointUpdate, Event, Gateway,
    LoadReport, Millis, RequestId, Settings,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Zones of the endpoints.
pub const ZONES: u32 = 16;
/// Endpoints whose entries are changed in turn.
pub const CHANGED_ENDPOINTS: u32 = 200;
/// Gateways through which a customer sends its requests.
const GATEWAY_SPREAD: u32 = 3;
/// Time until a response.
const RESPONSE_TIME: Millis = 20.0;
/// Usage of its quota that an endpoint reports for a customer.
const USAGE_PERCENT: f64 = 50.0;
/// Share of a measurement's requests that are sent before it, so that caches and estimates are warm.
const WARM_UP_DIVISOR: u32 = 4;

/// A forwarded request that has no response yet.
struct Forwarded {
    request: RequestId,
    endpoint: EndpointId,
    responded_at: Millis,
}

/// A gateway and its simulated surroundings.
pub struct GatewayHarness {
    gateway: Gateway,
    actions: Vec<Action>,
    rng: ChaCha8Rng,
    tenants: Vec<Arc<str>>,
    now: Millis,
    requests: u64,
}

impl GatewayHarness {
    /// A gateway with its endpoint list, before its first request.
    pub fn new(settings: Settings, endpoints: u32, tenants: u32, seed: u64) -> Self {
        let gateway = Gateway::new(settings, seed).expect("the synthetic settings are valid");
        let name = |number| -> Arc<str> { format!("{number:016x}").into() };
        let mut harness = Self {
            gateway,
            actions: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            tenants: (0..tenants).map(name).collect(),
            now: 0.0,
            requests: 0,
        };
        harness.deliver_list(EndpointListKind::Snapshot, endpoint_snapshot(endpoints));
        harness
    }

    /// Sends one request of each tenant, so that the gateway has a record of each.
    pub fn request_of_each_tenant(&mut self) {
        for tenant in 0..self.tenants.len() {
            if let Some(forwarded) = self.send_request(tenant) {
                self.respond(forwarded);
            }
        }
    }

    /// Processor time of a request at a steady rate, in microseconds.
    pub fn request_time(&mut self, requests: u32, rate: f64) -> io::Result<f64> {
        self.send_requests(requests / WARM_UP_DIVISOR, rate);
        let time = mean_cpu_time(|| self.send_requests(requests, rate))?;
        Ok(time / f64::from(requests))
    }

    /// Processor time of a second without requests, in microseconds.
    pub fn idle_second_time(&mut self) -> io::Result<f64> {
        mean_cpu_time(|| {
            self.now += 1_000.0;
            self.handle(Event::TimerFired { token: 0 });
        })
    }

    /// Processor time of a delta of one entry, in microseconds.
    pub fn delta_time(&mut self) -> io::Result<f64> {
        let mut number = 0;
        mean_cpu_time(|| {
            number += 1;
            let status = if number % 2 == 0 { EndpointStatus::Draining } else { EndpointStatus::Ready };
            let endpoint = number / 2 % CHANGED_ENDPOINTS;
            let update = endpoint_update(endpoint, ZONES, status, None);
            self.deliver_list(EndpointListKind::Delta, vec![update].into());
        })
    }

    /// Processor time of a snapshot that changes nothing, in microseconds.
    pub fn snapshot_time(&mut self, endpoints: u32) -> io::Result<f64> {
        let snapshot = endpoint_snapshot(endpoints);
        mean_cpu_time(|| self.deliver_list(EndpointListKind::Snapshot, snapshot.clone()))
    }

    fn send_requests(&mut self, requests: u32, rate: f64) {
        let mut in_flight: VecDeque<Forwarded> = VecDeque::new();
        for _ in 0..requests {
            self.now += 1_000.0 / rate;
            while in_flight.front().is_some_and(|first| first.responded_at <= self.now) {
                in_flight.pop_front().into_iter().for_each(|forwarded| self.respond(forwarded));
            }
            let tenant = self.rng.random_range(0..self.tenants.len());
            in_flight.extend(self.send_request(tenant));
        }
        in_flight.into_iter().for_each(|forwarded| self.respond(forwarded));
    }

    fn send_request(&mut self, tenant: usize) -> Option<Forwarded> {
        self.requests += 1;
        let request: RequestId = format!("{:016x}", self.requests).into();
        let customer = self.tenants[tenant].clone();
        let incoming = incoming_request(request.clone(), customer, self.now, GATEWAY_SPREAD);
        self.handle(Event::RequestReceived(incoming));
        let endpoint = self.actions.iter().find_map(|action| match action {
            Action::Forward { endpoint, .. } => Some(*endpoint),
            _ => None,
        })?;
        Some(Forwarded { request, endpoint, responded_at: self.now + RESPONSE_TIME })
    }

    fn respond(&mut self, forwarded: Forwarded) {
        let Forwarded { request, endpoint, .. } = forwarded;
        let load = LoadReport { in_flight: Some(1.0), ..LoadReport::default() };
        let result = AttemptResult {
            usage_percent: Some(USAGE_PERCENT),
            load,
            ..successful_attempt(request, endpoint, RESPONSE_TIME)
        };
        self.handle(Event::AttemptFinished(result));
    }

    fn deliver_list(&mut self, kind: EndpointListKind, endpoints: Arc<[EndpointUpdate]>) {
        self.handle(Event::EndpointList { kind, endpoints });
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.gateway.handle(self.now, event, &mut self.actions);
    }
}

fn endpoint_snapshot(endpoints: u32) -> Arc<[EndpointUpdate]> {
    (0..endpoints).map(|id| endpoint_update(id, ZONES, EndpointStatus::Ready, None)).collect()
}

/// Mean processor time of a round, in microseconds, over as many rounds as the system's clock of some
/// milliseconds needs.
pub fn mean_cpu_time(mut round: impl FnMut()) -> io::Result<f64> {
    const MIN_MEASURED: Duration = Duration::from_millis(200);
    /// Rounds between two readings of the clock, once there were so many: a reading costs some microseconds
    /// itself.
    const ROUNDS_PER_READING: u32 = 1_000;
    let before = cpu_time::of_this_thread()?;
    let mut rounds = 0_u32;
    loop {
        round();
        rounds += 1;
        if rounds % ROUNDS_PER_READING == 0 || rounds < ROUNDS_PER_READING {
            let used = cpu_time::of_this_thread()? - before;
            if used >= MIN_MEASURED {
                return Ok(used.as_secs_f64() * 1e6 / f64::from(rounds));
            }
        }
    }
}
