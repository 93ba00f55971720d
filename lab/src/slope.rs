//! Processor time, memory and bytes of one gateway by the sizes of its world.

use crate::cpu_time;
use crate::deployment::{
    endpoint_list_json, endpoint_update, incoming_request, settings, successful_attempt, PLAN,
};
use crate::experiment::SlopeSizes;
use crate::fit::Point;
use crate::report::Report;
use crate::ALLOCATED;
use edge_gateway::{
    Action, AttemptResult, EndpointId, EndpointListKind, EndpointListParser, EndpointStatus, EndpointUpdate,
    Event, Gateway, LoadReport, Millis, Plan, RequestId, Settings,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io;
use std::sync::Arc;

/// Zones of the servers.
const ZONES: u32 = 16;
/// What stays fixed while another size grows.
const SERVERS: u32 = 200;
const TENANTS: u32 = 1_000;
const GATEWAYS: u32 = 300;
const RATE: f64 = 67.0;
/// Gateways of a customer's set.
const WIDTH: u32 = 3;
/// Time until a request's answer.
const ANSWERED_AFTER: Millis = 20.0;
/// Rounds of a measurement between two looks at the time, once there are so many.
const ROUNDS_AT_ONCE: u32 = 1_000;
/// Size of the pieces in which a list comes.
const PIECE: usize = 64 << 10;

/// Measures along each axis.
pub fn run(sizes: &SlopeSizes, seed: u64, report: &mut Report) -> io::Result<()> {
    servers(sizes, seed, report)?;
    tenants(sizes, seed, report)?;
    gateways(sizes, seed, report)?;
    rates(sizes, seed, report)
}

fn servers(sizes: &SlopeSizes, seed: u64, report: &mut Report) -> io::Result<()> {
    let [mut request, mut change, mut whole, mut idle, mut memory] = [const { Vec::new() }; 5];
    let [mut reading, mut bytes] = [const { Vec::new() }; 2];
    for &count in &sizes.endpoints {
        tracing::info!("{count} servers");
        let x = f64::from(count);
        let point = |points: &mut Vec<Point>, y: f64| points.push(Point { x, y });
        let before = ALLOCATED.current_usage();
        let mut player = Player::new(plain(GATEWAYS), count, TENANTS, seed);
        point(&mut memory, ALLOCATED.current_usage().saturating_sub(before) as f64);
        point(&mut request, player.request_time(sizes.requests, RATE)?);
        point(&mut idle, player.idle_second_time()?);
        point(&mut change, player.change_time()?);
        point(&mut whole, player.whole_list_time(count)?);
        let text = endpoint_list_json(1, count, ZONES, &[([127, 0, 0, 1], 9000).into()]);
        point(&mut bytes, text.len() as f64);
        point(&mut reading, reading_time(&text)?);
    }
    report.series("processor time of a request by servers", "us", "servers", request);
    report.series("processor time of a change of one entry by servers", "us", "servers", change);
    report.series("processor time of a whole list by servers", "us", "servers", whole);
    report.series("processor time of an idle second by servers", "us", "servers", idle);
    report.series("memory of a gateway by servers", "bytes", "servers", memory);
    report.series("bytes of a whole list by servers", "bytes", "servers", bytes);
    report.series("processor time to read a whole list by servers", "us", "servers", reading);
    Ok(())
}

fn tenants(sizes: &SlopeSizes, seed: u64, report: &mut Report) -> io::Result<()> {
    let [mut request, mut memory] = [const { Vec::new() }; 2];
    for &count in &sizes.tenants {
        tracing::info!("{count} tenants");
        let x = f64::from(count);
        let mut player = Player::new(with_ceiling(GATEWAYS), SERVERS, count, seed);
        let before = ALLOCATED.current_usage();
        player.meet_all(count);
        let held = ALLOCATED.current_usage().saturating_sub(before);
        memory.push(Point { x, y: held as f64 });
        request.push(Point { x, y: player.request_time(sizes.requests, RATE)? });
    }
    report.series("processor time of a request by tenants", "us", "tenants", request);
    report.series("memory of exact records by tenants", "bytes", "tenants", memory);
    Ok(())
}

fn gateways(sizes: &SlopeSizes, seed: u64, report: &mut Report) -> io::Result<()> {
    let mut request = Vec::new();
    for &count in &sizes.gateways {
        let mut player = Player::new(with_ceiling(count), SERVERS, TENANTS, seed);
        request.push(Point { x: f64::from(count), y: player.request_time(sizes.requests, RATE)? });
    }
    report.series("processor time of a request by gateways", "us", "gateways", request);
    Ok(())
}

fn rates(sizes: &SlopeSizes, seed: u64, report: &mut Report) -> io::Result<()> {
    let mut request = Vec::new();
    for &rate in &sizes.rates {
        let mut player = Player::new(plain(GATEWAYS), SERVERS, TENANTS, seed);
        request.push(Point { x: rate, y: player.request_time(sizes.requests, rate)? });
    }
    report.series("processor time of a request by requests a second", "us", "requests a second", request);
    Ok(())
}

fn plain(gateways: u32) -> Settings {
    settings(gateways, 0, "zone-0")
}

/// Every customer has a quota and a ceiling, and so an exact record.
fn with_ceiling(gateways: u32) -> Settings {
    let plan = Plan {
        name: PLAN.into(),
        rate: 1e6,
        burst: 1e6,
        ceiling_rate: 1e6,
        ceiling_burst: 1e9,
        ..Plan::default()
    };
    Settings { plans: vec![plan], ..plain(gateways) }
}

/// Processor time of this thread so far, in microseconds.
fn processor_time() -> io::Result<f64> {
    Ok(cpu_time::of_this_thread()?.as_secs_f64() * 1e6)
}

/// Processor time of one round, in microseconds, by as many rounds as the system's steps of some milliseconds ask
/// for.
fn time_of_each(mut round: impl FnMut()) -> io::Result<f64> {
    const LEAST: f64 = 200_000.0;
    let before = processor_time()?;
    let mut rounds = 0_u32;
    loop {
        round();
        rounds += 1;
        // Asking costs some microseconds by itself.
        if rounds % ROUNDS_AT_ONCE == 0 || rounds < ROUNDS_AT_ONCE {
            let used = processor_time()? - before;
            if used >= LEAST {
                return Ok(used / f64::from(rounds));
            }
        }
    }
}

/// Processor time of reading a list that comes in pieces, in microseconds.
fn reading_time(text: &str) -> io::Result<f64> {
    time_of_each(|| {
        let mut reader = EndpointListParser::new(usize::MAX);
        let mut entries = 0;
        for piece in text.as_bytes().chunks(PIECE) {
            let read = reader.push(piece, |listing| entries += listing.endpoints.len());
            assert!(read.is_ok(), "the made-up list can be read");
        }
        assert!(entries > 0, "the list has entries");
    })
}

/// One gateway on a made clock.
struct Player {
    gateway: Gateway,
    actions: Vec<Action>,
    rng: ChaCha8Rng,
    tenants: Vec<Arc<str>>,
    now: Millis,
    requests: u64,
}

impl Player {
    fn new(settings: Settings, servers: u32, tenants: u32, seed: u64) -> Self {
        let gateway = Gateway::new(settings, seed).expect("the made-up settings are sound");
        let name = |number| -> Arc<str> { format!("{number:016x}").into() };
        let mut player = Self {
            gateway,
            actions: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            tenants: (0..tenants).map(name).collect(),
            now: 0.0,
            requests: 0,
        };
        player
            .handle(Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: whole_list(servers) });
        player
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.gateway.handle(self.now, event, &mut self.actions);
    }

    fn arrive(&mut self, tenant: usize) -> Option<(RequestId, EndpointId)> {
        self.requests += 1;
        let request: RequestId = format!("{:016x}", self.requests).into();
        let customer = self.tenants[tenant].clone();
        self.handle(Event::RequestReceived(incoming_request(request.clone(), customer, self.now, WIDTH)));
        let sent = self.actions.iter().find_map(|action| match action {
            Action::Forward { endpoint: server, .. } => Some(*server),
            _ => None,
        });
        sent.map(|server| (request, server))
    }

    fn finish(&mut self, (request, server): (RequestId, EndpointId)) {
        let load = LoadReport { in_flight: Some(1.0), ..LoadReport::default() };
        let done = AttemptResult {
            usage_percent: Some(50.0),
            load,
            ..successful_attempt(request, server, ANSWERED_AFTER)
        };
        self.handle(Event::AttemptFinished(done));
    }

    /// One request of each tenant, so that each has its record.
    fn meet_all(&mut self, tenants: u32) {
        for tenant in 0..tenants as usize {
            if let Some(sent) = self.arrive(tenant) {
                self.finish(sent);
            }
        }
    }

    /// Plays requests at a steady rate; gives the processor time of each, in microseconds.
    fn request_time(&mut self, requests: u32, rate: f64) -> io::Result<f64> {
        self.play(requests / 4, rate);
        Ok(time_of_each(|| self.play(requests, rate))? / f64::from(requests))
    }

    fn play(&mut self, requests: u32, rate: f64) {
        let mut out = std::collections::VecDeque::new();
        for _ in 0..requests {
            self.now += 1_000.0 / rate;
            while out.front().is_some_and(|(at, _)| *at <= self.now) {
                if let Some((_, sent)) = out.pop_front() {
                    self.finish(sent);
                }
            }
            let tenant = self.rng.random_range(0..self.tenants.len());
            if let Some(sent) = self.arrive(tenant) {
                out.push_back((self.now + ANSWERED_AFTER, sent));
            }
        }
        out.into_iter().for_each(|(_, sent)| self.finish(sent));
    }

    /// Processor time of a second without requests, in microseconds.
    fn idle_second_time(&mut self) -> io::Result<f64> {
        time_of_each(|| {
            self.now += 1_000.0;
            self.handle(Event::TimerFired { token: 0 });
        })
    }

    /// Processor time of a change of one entry, in microseconds.
    fn change_time(&mut self) -> io::Result<f64> {
        let mut number = 0;
        time_of_each(|| {
            number += 1;
            let state = if number % 2 == 0 { EndpointStatus::Draining } else { EndpointStatus::Ready };
            let members = vec![endpoint_update(number / 2 % SERVERS, ZONES, state, None)].into();
            self.handle(Event::EndpointList { kind: EndpointListKind::Delta, endpoints: members });
        })
    }

    /// Processor time of a whole list in the place of the same, in microseconds.
    fn whole_list_time(&mut self, servers: u32) -> io::Result<f64> {
        let members = whole_list(servers);
        time_of_each(|| {
            self.handle(Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: members.clone() })
        })
    }
}

fn whole_list(servers: u32) -> Arc<[EndpointUpdate]> {
    (0..servers).map(|server| endpoint_update(server, ZONES, EndpointStatus::Ready, None)).collect()
}
