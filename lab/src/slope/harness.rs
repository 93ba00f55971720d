//! Drives one gateway on a simulated clock, to measure the CPU time of its decisions.

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
/// Number of endpoints whose entries deltas change in turn.
pub const CHANGED_ENDPOINTS: u32 = 200;
/// Gateway spread of every customer.
const GATEWAY_SPREAD: u32 = 3;
/// Simulated time from an attempt to its response.
const RESPONSE_TIME: Millis = 20.0;
/// Usage of the quota that an endpoint reports with every response, in percent.
const USAGE_PERCENT: f64 = 50.0;
/// A measurement of `n` requests follows `n / WARM_UP_DIVISOR` others that warm up caches and estimates.
const WARM_UP_DIVISOR: u32 = 4;

/// A forwarded request without a response.
struct ForwardedRequest {
    request: RequestId,
    endpoint: EndpointId,
    response_due_at: Millis,
}

/// A gateway with simulated clients, endpoints and discovery.
pub struct GatewayHarness {
    gateway: Gateway,
    actions: Vec<Action>,
    rng: ChaCha8Rng,
    customers: Vec<Arc<str>>,
    now: Millis,
    requests: u64,
}

impl GatewayHarness {
    /// Creates a gateway and delivers a snapshot of the endpoint list to it.
    pub fn new(settings: Settings, endpoints: u32, customers: u32, seed: u64) -> Self {
        let gateway = Gateway::new(settings, seed).expect("the synthetic settings are valid");
        let name = |number| -> Arc<str> { format!("{number:016x}").into() };
        let mut harness = Self {
            gateway,
            actions: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            customers: (0..customers).map(name).collect(),
            now: 0.0,
            requests: 0,
        };
        harness.deliver_list(EndpointListKind::Snapshot, endpoint_snapshot(endpoints));
        harness
    }

    /// Sends one request of each customer, so that the gateway creates its record of the customer.
    pub fn send_request_of_each_customer(&mut self) {
        for customer_index in 0..self.customers.len() {
            if let Some(forwarded) = self.send_request(customer_index) {
                self.respond(forwarded);
            }
        }
    }

    /// Mean CPU time of a request, in microseconds. `rate` is in requests per second of simulated time.
    pub fn cpu_time_per_request(&mut self, requests: u32, rate: f64) -> io::Result<f64> {
        self.send_requests(requests / WARM_UP_DIVISOR, rate);
        let time = mean_cpu_time_us(|| self.send_requests(requests, rate))?;
        Ok(time / f64::from(requests))
    }

    /// Mean CPU time of a simulated second without requests, in microseconds.
    pub fn cpu_time_per_idle_second(&mut self) -> io::Result<f64> {
        mean_cpu_time_us(|| {
            self.now += 1_000.0;
            self.handle(Event::TimerFired { token: 0 });
        })
    }

    /// Mean CPU time of a delta of one entry, in microseconds.
    pub fn cpu_time_per_delta(&mut self) -> io::Result<f64> {
        let mut number = 0;
        mean_cpu_time_us(|| {
            number += 1;
            let status = if number % 2 == 0 { EndpointStatus::Draining } else { EndpointStatus::Ready };
            let endpoint = number / 2 % CHANGED_ENDPOINTS;
            let update = endpoint_update(endpoint, ZONES, status, None);
            self.deliver_list(EndpointListKind::Delta, vec![update].into());
        })
    }

    /// Mean CPU time of a snapshot without changes, in microseconds.
    pub fn cpu_time_per_snapshot(&mut self, endpoints: u32) -> io::Result<f64> {
        let snapshot = endpoint_snapshot(endpoints);
        mean_cpu_time_us(|| self.deliver_list(EndpointListKind::Snapshot, snapshot.clone()))
    }

    fn send_requests(&mut self, requests: u32, rate: f64) {
        let mut in_flight: VecDeque<ForwardedRequest> = VecDeque::new();
        for _ in 0..requests {
            self.now += 1_000.0 / rate;
            while in_flight.front().is_some_and(|first| first.response_due_at <= self.now) {
                in_flight.pop_front().into_iter().for_each(|forwarded| self.respond(forwarded));
            }
            let customer_index = self.rng.random_range(0..self.customers.len());
            in_flight.extend(self.send_request(customer_index));
        }
        in_flight.into_iter().for_each(|forwarded| self.respond(forwarded));
    }

    fn send_request(&mut self, customer_index: usize) -> Option<ForwardedRequest> {
        self.requests += 1;
        let request: RequestId = format!("{:016x}", self.requests).into();
        let customer = self.customers[customer_index].clone();
        let incoming = incoming_request(request.clone(), customer, self.now, GATEWAY_SPREAD);
        self.handle(Event::RequestReceived(incoming));
        let endpoint = self.actions.iter().find_map(|action| match action {
            Action::Forward { endpoint, .. } => Some(*endpoint),
            _ => None,
        })?;
        Some(ForwardedRequest { request, endpoint, response_due_at: self.now + RESPONSE_TIME })
    }

    fn respond(&mut self, forwarded: ForwardedRequest) {
        let ForwardedRequest { request, endpoint, .. } = forwarded;
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

/// Mean CPU time of an operation, in microseconds. Repeats the operation until its total CPU time is long
/// compared with the resolution of the kernel's count, which is some milliseconds.
pub fn mean_cpu_time_us(mut operation: impl FnMut()) -> io::Result<f64> {
    const MIN_MEASURED_TIME: Duration = Duration::from_millis(200);
    /// After the first 1000 operations, CPU time is read only once per 1000, as a reading takes some
    /// microseconds itself.
    const OPERATIONS_PER_READING: u32 = 1_000;
    let before = cpu_time::of_this_thread()?;
    let mut operations = 0_u32;
    loop {
        operation();
        operations += 1;
        if operations % OPERATIONS_PER_READING == 0 || operations < OPERATIONS_PER_READING {
            let used = cpu_time::of_this_thread()? - before;
            if used >= MIN_MEASURED_TIME {
                return Ok(used.as_secs_f64() * 1e6 / f64::from(operations));
            }
        }
    }
}
