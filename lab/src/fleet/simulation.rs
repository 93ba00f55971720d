//! One run of the hollow fleet: events in order of time, and what came of them.

use super::simulated_endpoint::{Job, Server};
use super::subset_balance::traffic;
use crate::deployment::{endpoint_update, incoming_request, settings, zone_name, IDLE_TIMEOUT};
use crate::experiment::FleetSizes;
use crate::report::Report;
use edge_gateway::{
    Action, AttemptResult, EndpointId, EndpointListKind, EndpointStatus, EndpointUpdate, Event, Gateway,
    LoadReport, Millis, Outcome, PollBackoff, PollSettings, RequestId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

/// One way between two machines.
const WAY: Millis = 0.5;
/// A connection that does not come up is given up after this.
const CONNECT_TIMEOUT: Millis = 250.0;
/// Mean time in which an agent learns of a change.
const TOLD_MEAN: Millis = 300.0;
/// Time before the trouble begins.
const BEFORE: Millis = 8_000.0;
/// How long a zone is lost, and how long discovery is down.
const DOWN: Millis = 8_000.0;
/// Time after which a watch is taken to be lost.
const SILENCE: Millis = 3_000.0;
/// Bytes of one entry of a list, and of what goes round it.
const ENTRY_BYTES: f64 = 143.0;
const CALL_BYTES: f64 = 300.0;
/// Part of the servers that fail and are replaced in an ordinary second.
const FAIL_PART: f64 = 0.0005;

/// What befalls the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Servers fail one at a time and come back cold.
    Ordinary,
    /// All gateways are restarted, a tenth at a time.
    RestartWave,
    /// A zone of servers is lost and comes back cold.
    ZoneLost,
    /// Discovery is down while servers are replaced, and all gateways ask at its return.
    DiscoveryReturns,
}

impl Trouble {
    /// Its name in results.
    pub fn name(self) -> &'static str {
        match self {
            Trouble::Ordinary => "ordinary",
            Trouble::RestartWave => "restart wave",
            Trouble::ZoneLost => "zone lost",
            Trouble::DiscoveryReturns => "discovery returns",
        }
    }
}

/// What happens at a time.
enum What {
    /// A client asks at a gateway.
    Ask(u32),
    /// A gateway's timer.
    Timer {
        gateway: u32,
        life: u32,
        token: u64,
    },
    /// An attempt reaches its server.
    Reach(u64),
    /// A server has done an attempt of this life of its.
    Worked {
        attempt: u64,
        life: u32,
    },
    /// An attempt's end reaches its gateway.
    End {
        attempt: u64,
        outcome: Outcome,
    },
    /// A gateway learns of the changes up to this one.
    Told {
        gateway: u32,
        life: u32,
        change: usize,
    },
    /// A gateway calls discovery, which is down or has just returned.
    Call {
        gateway: u32,
        life: u32,
    },
    /// A server dies; it starts again later.
    Die(EndpointId),
    Start(EndpointId),
    /// A tenth of the gateways restarts.
    Restart(u32),
    DiscoveryDown,
    DiscoveryUp,
}

struct Attempt {
    gateway: u32,
    life: u32,
    request: RequestId,
    number: u32,
    server: EndpointId,
    sent_at: Millis,
    ended: bool,
}

/// A gateway and where it stands in the log of changes.
struct Node {
    gateway: Gateway,
    life: u32,
    rate: f64,
    told: usize,
    backoff: PollBackoff,
    requests: HashMap<RequestId, Request>,
}

/// A request that is open: the gateway's attempts on it.
struct Request {
    attempts: Vec<u64>,
    deadline: Millis,
}

/// One run.
pub struct Run {
    sizes: FleetSizes,
    trouble: Trouble,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, What>,
    number: u64,
    now: Millis,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    /// Changes of the list and when they were made.
    changes: Vec<(Millis, EndpointUpdate)>,
    attempts: HashMap<u64, Attempt>,
    next_attempt: u64,
    next_request: u64,
    discovery_up: bool,
    discovery_up_at: Millis,
    actions: Vec<Action>,
    outcome: RunOutcome,
}

/// What came of a run.
#[derive(Default)]
pub struct RunOutcome {
    asked: u64,
    served: u64,
    refused: u64,
    failed: u64,
    /// Longest time until a change was in force at the last gateway.
    told_after: Millis,
    /// Last use of a connection, by gateway and server.
    connections: HashMap<(u32, EndpointId), Millis>,
    calls: HashMap<u64, (u64, f64)>,
    sent: Vec<u64>,
    over_budget: u64,
    ended_at: Millis,
}

impl Run {
    /// A fleet at rest in which a trouble will come.
    pub fn new(sizes: &FleetSizes, seed: u64, trouble: Trouble) -> Self {
        let servers = (0..sizes.endpoints).map(|_| Server::new(sizes.cores)).collect();
        let mut run = Self {
            sizes: sizes.clone(),
            trouble,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            number: 0,
            now: 0.0,
            nodes: Vec::new(),
            servers,
            changes: Vec::new(),
            attempts: HashMap::new(),
            next_attempt: 0,
            next_request: 0,
            discovery_up: true,
            discovery_up_at: 0.0,
            actions: Vec::new(),
            outcome: RunOutcome::default(),
        };
        let mean = sizes.rate_per_endpoint * f64::from(sizes.endpoints) / f64::from(sizes.gateways);
        for (rank, rate) in traffic(sizes.gateways, mean, seed).into_iter().enumerate() {
            let node = run.node(rank as u32, 0, rate);
            run.nodes.push(node);
        }
        run
    }

    fn node(&mut self, rank: u32, life: u32, rate: f64) -> Node {
        let settings = settings(self.sizes.gateways, rank, &zone_name(rank, self.sizes.zones));
        let seed = self.rng.random();
        let asking = PollSettings { fleet_size: Some(self.sizes.gateways), notified_after: None };
        Node {
            gateway: Gateway::new(settings, seed).expect("the made-up settings are sound"),
            life,
            rate,
            told: 0,
            backoff: PollBackoff::new(asking, seed),
            requests: HashMap::new(),
        }
    }

    /// Plays to the end.
    pub fn play(mut self) -> RunOutcome {
        let whole = self.whole_list();
        for rank in 0..self.sizes.gateways {
            self.feed(
                rank,
                Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: whole.clone() },
            );
            self.ask_next(rank);
        }
        self.plan_trouble();
        let end = self.sizes.seconds * 1_000.0;
        let mut second = 0;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at as f64 / 1_000.0;
            if self.now > end {
                break;
            }
            if self.now >= f64::from(second) * 10_000.0 {
                tracing::info!("{} s played, {} asked", second * 10, self.outcome.asked);
                second += 1;
            }
            if let Some(what) = self.events.remove(&number) {
                self.happen(what);
            }
        }
        self.outcome.ended_at = self.now;
        self.outcome.sent = self.servers.iter().map(|server| server.sent).collect();
        self.outcome.over_budget = self.servers.iter().map(|server| server.over_budget).sum();
        self.outcome
    }

    fn at(&mut self, at: Millis, what: What) {
        self.number += 1;
        self.queue.push(Reverse(((at.max(self.now) * 1_000.0) as u64, self.number)));
        self.events.insert(self.number, what);
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        Exp::new(1.0 / mean).expect("a mean above 0").sample(&mut self.rng)
    }

    fn whole_list(&self) -> Arc<[EndpointUpdate]> {
        let servers = self.servers.iter().enumerate().filter(|(_, server)| server.up);
        let list = |(id, server): (usize, &Server)| {
            endpoint_update(id as EndpointId, self.sizes.zones, EndpointStatus::Ready, server.started)
        };
        servers.map(list).collect()
    }

    fn plan_trouble(&mut self) {
        let end = self.sizes.seconds * 1_000.0;
        match self.trouble {
            Trouble::Ordinary => {
                let per_second = FAIL_PART * f64::from(self.sizes.endpoints);
                let mut at = self.exponential(1_000.0 / per_second);
                while at < end {
                    let server = self.rng.random_range(0..self.sizes.endpoints);
                    self.at(at, What::Die(server));
                    self.at(at + DOWN, What::Start(server));
                    at += self.exponential(1_000.0 / per_second);
                }
            }
            Trouble::RestartWave => (0..10).for_each(|tenth| {
                self.at(BEFORE + f64::from(tenth) * 1_000.0, What::Restart(tenth));
            }),
            Trouble::ZoneLost => {
                let zones = self.sizes.zones;
                for server in (0..self.sizes.endpoints).filter(|id| id % zones == 0) {
                    self.at(BEFORE, What::Die(server));
                    self.at(BEFORE + DOWN, What::Start(server));
                }
            }
            Trouble::DiscoveryReturns => {
                self.at(BEFORE, What::DiscoveryDown);
                for server in (0..self.sizes.endpoints).filter(|id| id % 20 == 0) {
                    self.at(BEFORE + 1_000.0, What::Die(server));
                    self.at(BEFORE + 2_000.0, What::Start(server));
                }
                self.at(BEFORE + DOWN, What::DiscoveryUp);
            }
        }
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Ask(gateway) => self.ask(gateway),
            What::Timer { gateway, life, token } if self.nodes[gateway as usize].life == life => {
                self.feed(gateway, Event::TimerFired { token });
            }
            What::Reach(attempt) => self.reach(attempt),
            What::Worked { attempt, life } => self.worked(attempt, life),
            What::End { attempt, outcome } => self.end(attempt, outcome),
            What::Told { gateway, life, change } if self.nodes[gateway as usize].life == life => {
                self.tell(gateway, change);
            }
            What::Call { gateway, life } if self.nodes[gateway as usize].life == life => self.call(gateway),
            What::Timer { .. } | What::Told { .. } | What::Call { .. } => {}
            What::Die(server) => self.die(server),
            What::Start(server) => self.start(server),
            What::Restart(tenth) => self.restart(tenth),
            What::DiscoveryDown => self.lose_discovery(),
            What::DiscoveryUp => (self.discovery_up, self.discovery_up_at) = (true, self.now),
        }
    }

    // Clients.

    fn ask_next(&mut self, gateway: u32) {
        let wait = self.exponential(1_000.0 / self.nodes[gateway as usize].rate);
        self.at(self.now + wait, What::Ask(gateway));
    }

    fn ask(&mut self, gateway: u32) {
        self.ask_next(gateway);
        self.outcome.asked += 1;
        self.next_request += 1;
        let request: RequestId = format!("{:x}", self.next_request).into();
        let arrival = incoming_request(request.clone(), "c".into(), self.now, 1);
        let open = Request { attempts: Vec::new(), deadline: arrival.deadline };
        self.nodes[gateway as usize].requests.insert(request, open);
        self.feed(gateway, Event::RequestReceived(arrival));
    }

    // Gateways.

    fn feed(&mut self, gateway: u32, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.nodes[gateway as usize].gateway.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(gateway, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, gateway: u32, action: Action) {
        let life = self.nodes[gateway as usize].life;
        match action {
            Action::Forward { request, endpoint: server, timeout_at: give_up_at } => {
                self.send(gateway, request, server, give_up_at)
            }
            Action::Reject { request, .. } => {
                self.nodes[gateway as usize].requests.remove(&request);
                self.outcome.refused += 1;
            }
            Action::Fail { request } => {
                self.nodes[gateway as usize].requests.remove(&request);
                self.outcome.failed += 1;
            }
            Action::CancelAttempt { request, attempt } => {
                let open = self.nodes[gateway as usize].requests.get(&request);
                if let Some(attempt) = open.and_then(|open| open.attempts.get(attempt as usize)).copied() {
                    self.at(self.now, What::End { attempt, outcome: Outcome::Cancelled });
                }
            }
            Action::SetTimer { token, at } => self.at(at, What::Timer { gateway, life, token }),
            Action::Subscribe | Action::Log(_) => {}
        }
    }

    fn send(&mut self, gateway: u32, request: RequestId, server: EndpointId, give_up_at: Millis) {
        let node = &mut self.nodes[gateway as usize];
        let Some(open) = node.requests.get_mut(&request) else { return };
        self.next_attempt += 1;
        let (attempt, number, life) = (self.next_attempt, open.attempts.len() as u32, node.life);
        open.attempts.push(attempt);
        let until = if give_up_at > 0.0 { give_up_at.min(open.deadline) } else { open.deadline };
        let record = Attempt { gateway, life, request, number, server, sent_at: self.now, ended: false };
        self.attempts.insert(attempt, record);
        self.outcome.connections.insert((gateway, server), self.now);
        self.at(self.now + WAY, What::Reach(attempt));
        self.at(until, What::End { attempt, outcome: Outcome::Timeout });
    }

    fn end(&mut self, attempt: u64, outcome: Outcome) {
        let Some(record) = self.attempts.get_mut(&attempt).filter(|record| !record.ended) else {
            if outcome == Outcome::Timeout {
                self.attempts.remove(&attempt);
            }
            return;
        };
        record.ended = true;
        let (gateway, server) = (record.gateway, record.server);
        let held = self.servers[server as usize].held() as f64;
        let done = AttemptResult {
            request: record.request.clone(),
            attempt: record.number,
            endpoint: server,
            outcome,
            elapsed: self.now - record.sent_at,
            request_closed: outcome == Outcome::Success,
            usage_percent: None,
            has_usage_report: false,
            load: LoadReport {
                in_flight: (outcome == Outcome::Success).then_some(held),
                ..LoadReport::default()
            },
        };
        let life = record.life;
        if self.nodes[gateway as usize].life != life {
            return;
        }
        if outcome == Outcome::Success
            && self.nodes[gateway as usize].requests.remove(&done.request).is_some()
        {
            self.outcome.served += 1;
        }
        self.feed(gateway, Event::AttemptFinished(done));
    }

    // Servers.

    fn reach(&mut self, attempt: u64) {
        let Some(record) = self.attempts.get(&attempt) else { return };
        let (gateway, id) = (record.gateway, record.server);
        let server = &mut self.servers[id as usize];
        if !server.up {
            // A lost machine does not even refuse a connection.
            let after = if self.trouble == Trouble::ZoneLost { CONNECT_TIMEOUT } else { WAY };
            return self.at(self.now + after, What::End { attempt, outcome: Outcome::ConnectFailed });
        }
        server.count_send(self.now, self.sizes.service_time_ms);
        if let Some(job) = server.take(Job { gateway, attempt }) {
            self.work(id, job);
        }
    }

    fn work(&mut self, id: EndpointId, job: Job) {
        let server = &self.servers[id as usize];
        let (life, mean) = (server.life, self.sizes.service_time_ms / server.warmth(self.now));
        let time = self.exponential(mean);
        self.at(self.now + time, What::Worked { attempt: job.attempt, life });
    }

    fn worked(&mut self, attempt: u64, life: u32) {
        let Some(id) = self.attempts.get(&attempt).map(|record| record.server) else { return };
        if self.servers[id as usize].life != life {
            return;
        }
        self.at(self.now + WAY, What::End { attempt, outcome: Outcome::Success });
        if let Some(job) = self.servers[id as usize].next() {
            self.work(id, job);
        }
    }

    fn die(&mut self, id: EndpointId) {
        if !self.servers[id as usize].up {
            return;
        }
        self.servers[id as usize].die();
        let held = self.attempts.iter().filter(|(_, record)| record.server == id && !record.ended);
        let mut held: Vec<u64> = held.map(|(attempt, _)| *attempt).collect();
        held.sort_unstable();
        if self.trouble != Trouble::ZoneLost {
            held.into_iter().for_each(|attempt| {
                self.at(self.now + WAY, What::End { attempt, outcome: Outcome::Reset });
            });
        }
        self.change(endpoint_update(id, self.sizes.zones, EndpointStatus::Removed, None));
    }

    fn start(&mut self, id: EndpointId) {
        if self.servers[id as usize].up {
            return;
        }
        let now = self.now;
        self.servers[id as usize].start(now);
        self.change(endpoint_update(id, self.sizes.zones, EndpointStatus::Ready, Some(now)));
    }

    // Discovery.

    fn change(&mut self, member: EndpointUpdate) {
        self.changes.push((self.now, member));
        let change = self.changes.len();
        if !self.discovery_up {
            return;
        }
        for gateway in 0..self.sizes.gateways {
            let after = self.exponential(TOLD_MEAN);
            let life = self.nodes[gateway as usize].life;
            self.at(self.now + after, What::Told { gateway, life, change });
        }
    }

    /// A gateway has all changes up to this one.
    fn tell(&mut self, gateway: u32, change: usize) {
        let told = self.nodes[gateway as usize].told;
        if told >= change {
            return;
        }
        self.nodes[gateway as usize].told = change;
        let news = &self.changes[told..change];
        let oldest = news.iter().map(|(at, _)| self.now - at.max(self.discovery_up_at)).fold(0.0, f64::max);
        self.outcome.told_after = self.outcome.told_after.max(oldest);
        let members: Arc<[EndpointUpdate]> = news.iter().map(|(_, member)| member.clone()).collect();
        self.count_call(ENTRY_BYTES * members.len() as f64);
        self.feed(gateway, Event::EndpointList { kind: EndpointListKind::Delta, endpoints: members });
    }

    fn count_call(&mut self, bytes: f64) {
        let second = self.outcome.calls.entry((self.now / 1_000.0) as u64).or_default();
        second.0 += 1;
        second.1 += CALL_BYTES + bytes;
    }

    /// All watches are lost; each gateway calls once it has noticed, in its own time.
    fn lose_discovery(&mut self) {
        self.discovery_up = false;
        for gateway in 0..self.sizes.gateways {
            let node = &mut self.nodes[gateway as usize];
            let (life, wait) = (node.life, node.backoff.short_jitter().as_secs_f64() * 1_000.0);
            self.at(self.now + SILENCE + wait, What::Call { gateway, life });
        }
    }

    /// A gateway without a watch calls: while discovery is down it backs off.
    fn call(&mut self, gateway: u32) {
        let node = &mut self.nodes[gateway as usize];
        let life = node.life;
        if !self.discovery_up {
            let wait = node.backoff.delay_after_failure().as_secs_f64() * 1_000.0;
            self.count_call(0.0);
            return self.at(self.now + wait, What::Call { gateway, life });
        }
        node.backoff.reset();
        if node.told == self.changes.len() {
            return self.count_call(0.0);
        }
        self.tell(gateway, self.changes.len());
    }

    fn restart(&mut self, tenth: u32) {
        let whole = self.whole_list();
        for gateway in (0..self.sizes.gateways).filter(|gateway| gateway % 10 == tenth) {
            let (life, rate) = (self.nodes[gateway as usize].life + 1, self.nodes[gateway as usize].rate);
            let mut node = self.node(gateway, life, rate);
            node.told = self.changes.len();
            // What it had open is lost with it.
            self.outcome.failed += self.nodes[gateway as usize].requests.len() as u64;
            self.nodes[gateway as usize] = node;
            self.count_call(ENTRY_BYTES * whole.len() as f64);
            self.feed(
                gateway,
                Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: whole.clone() },
            );
        }
    }
}

impl RunOutcome {
    /// Adds what came of it to the report.
    pub fn report(&self, name: &str, report: &mut Report) {
        let asked = self.asked.max(1) as f64;
        let mut value = |what: &str, value: f64| report.value(format!("{name}: {what}"), value);
        value("requests asked, count", asked);
        value("served, part", self.served as f64 / asked);
        value("refused, part", self.refused as f64 / asked);
        value("failed, part", self.failed as f64 / asked);
        value("until a change is in force at the last gateway, ms", self.told_after);
        let mean = self.sent.iter().sum::<u64>() as f64 / self.sent.len() as f64;
        let busiest = self.sent.iter().copied().max().unwrap_or(0) as f64;
        value("busiest server over the mean, ratio", busiest / mean);
        let mut connections: HashMap<EndpointId, u32> = HashMap::new();
        let kept = self.connections.iter().filter(|(_, at)| **at > self.ended_at - IDLE_TIMEOUT);
        kept.for_each(|((_, server), _)| *connections.entry(*server).or_default() += 1);
        value(
            "connections at a server, greatest",
            f64::from(connections.values().copied().max().unwrap_or(0)),
        );
        let worst = self
            .calls
            .values()
            .copied()
            .fold((0, 0.0), |worst: (u64, f64), second| (worst.0.max(second.0), worst.1.max(second.1)));
        value("calls to and messages from discovery in its worst second, count", worst.0 as f64);
        value("bytes at discovery in its worst second, bytes", worst.1);
        value("sends over a cold server's budget, count", self.over_budget as f64);
    }
}
