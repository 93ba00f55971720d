//! Fleets with more servers than a gateway looks at for each request.

use edge_gateway::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const SERVERS: u32 = 2_000;
/// Time after which idle connections are closed, and the part of it that one rotation takes, in milliseconds.
const KEEPALIVE: Millis = 5_000.0;
const LAP: Millis = 2_000.0;

fn settings(gateways: u32, rank: u32) -> Settings {
    let class = RequestClass {
        name: "read".into(),
        latency_objective: 400.0,
        deadline: 1_000.0,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        idempotency_window: 0.0,
    };
    Settings {
        gateways,
        rank,
        zone: "z0".into(),
        classes: vec![
            class.clone(),
            RequestClass { name: "edit".into(), idempotency: Idempotency::WithKey(KeyScope::Cell), ..class },
        ],
        plans: vec![Plan { name: "any".into(), ..Plan::default() }],
        max_attempts: 3,
        cancellation: true,
        handshake_cost: 0.01,
        connect_timeout: 10.0,
        idle_timeout: Some(KEEPALIVE),
        slow_start_initial_capacity: 0.2,
        slow_start_duration: 10_000.0,
        overload_threshold: 2.0,
        overload_window: 1_000.0,
        ..Settings::default()
    }
}

fn member(server: EndpointId) -> EndpointUpdate {
    EndpointUpdate {
        endpoint: server,
        zone: format!("z{}", server % 4).into(),
        cell: server / 10,
        status: EndpointStatus::Ready,
        started_at: None,
    }
}

fn members() -> Vec<EndpointUpdate> {
    (0..SERVERS).map(member).collect()
}

/// One gateway and a clock; every request is answered after this time, by servers that work.
struct Node {
    gateway: Gateway,
    now: Millis,
    requests: u32,
    broken: BTreeSet<EndpointId>,
    /// How often each server was sent to.
    sent: BTreeMap<EndpointId, u32>,
    served: u32,
}

const ANSWERED_AFTER: Millis = 5.0;

impl Node {
    fn new(settings: Settings, members: Vec<EndpointUpdate>) -> Self {
        let gateway = Gateway::new(settings, 7).expect("settings are sound");
        let (sent, broken) = (BTreeMap::new(), BTreeSet::new());
        let mut node = Self { gateway, now: 0.0, requests: 0, broken, sent, served: 0 };
        node.list(EndpointListKind::Snapshot, members);
        node
    }

    fn list(&mut self, kind: EndpointListKind, members: Vec<EndpointUpdate>) {
        self.handle(Event::EndpointList { kind, endpoints: members.into() });
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions
    }

    /// Asks once, plays all attempts to their ends, and gives the servers that were sent to.
    fn ask(&mut self, class: &str) -> Vec<EndpointId> {
        self.requests += 1;
        let request: RequestId = format!("r{}", self.requests).into();
        let mut actions = self.handle(Event::RequestReceived(IncomingRequest {
            request: request.clone(),
            class: class.into(),
            plan: "any".into(),
            customer: "c".into(),
            deadline: self.now + 1_000.0,
            units: 1.0,
            gateway_spread: 1,
            is_retry: false,
        }));
        let mut servers = Vec::new();
        while let Some(server) = sent_to(&actions) {
            *self.sent.entry(server).or_default() += 1;
            let works = !self.broken.contains(&server);
            self.served += u32::from(works);
            servers.push(server);
            let done = AttemptResult {
                request: request.clone(),
                attempt: servers.len() as u32 - 1,
                endpoint: server,
                outcome: if works { Outcome::Success } else { Outcome::Reset },
                elapsed: ANSWERED_AFTER,
                request_closed: works,
                usage_percent: None,
                has_usage_report: false,
                load: LoadReport::default(),
            };
            actions = self.handle(Event::AttemptFinished(done));
        }
        servers
    }

    /// Asks at a steady rate, a second, for some time in milliseconds.
    fn run(&mut self, rate: f64, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.ask("read");
            self.handle(Event::TimerFired { token: 0 });
            self.now += 1_000.0 / rate;
        }
    }

    fn used(&self) -> BTreeSet<EndpointId> {
        self.sent.keys().copied().collect()
    }
}

fn sent_to(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|a| {
        if let Action::Forward { endpoint: server, .. } = a {
            Some(*server)
        } else {
            None
        }
    })
}

#[test]
fn a_gateway_uses_as_many_servers_as_it_has_requests_in_a_lap_and_each_alike() {
    for rate in [20.0, 100.0] {
        let mut node = Node::new(settings(100, 3), members());
        node.run(rate, 10.0 * LAP);
        let in_a_lap = rate * LAP / 1_000.0;
        let used = node.sent.len() as f64;
        assert!((0.9 * in_a_lap..=1.2 * in_a_lap).contains(&used), "{used} servers, {in_a_lap} in a lap");
        assert!(node.sent.values().all(|sent| *sent <= 11), "{:?}", node.sent);
    }
}

#[test]
fn the_connections_that_may_be_kept_bound_the_subset() {
    let settings = Settings { max_connections: Some(30), ..settings(100, 3) };
    let mut node = Node::new(settings, members());
    node.run(100.0, 5.0 * LAP);
    assert!(node.sent.len() <= 31, "{}", node.sent.len());
}

#[test]
fn gateways_with_uneven_traffic_load_the_servers_alike() {
    const GATEWAYS: u32 = 400;
    let list: Arc<[EndpointUpdate]> = members().into();
    let mut load = vec![0.0; SERVERS as usize];
    for rank in 0..GATEWAYS {
        let mut node = Node::new(settings(GATEWAYS, rank), Vec::new());
        node.handle(Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: list.clone() });
        // From a quarter of the mean to three times it.
        let rate = [25.0, 50.0, 75.0, 100.0, 300.0][rank as usize % 5];
        node.run(rate, 2.0 * LAP);
        node.sent.iter().for_each(|(server, sent)| load[*server as usize] += f64::from(*sent));
    }
    let mean = load.iter().sum::<f64>() / f64::from(SERVERS);
    let busiest = load.iter().copied().fold(0.0, f64::max);
    // By chance alone, were each request to go anywhere, it would be more than that.
    assert!(busiest <= 1.5 * mean, "busiest {busiest}, mean {mean}");
    assert!(load.iter().all(|load| *load >= 0.5 * mean));
}

#[test]
fn replacing_a_tenth_of_the_servers_moves_little_more_of_the_subset() {
    let mut node = Node::new(settings(100, 3), members());
    node.run(100.0, 2.0 * LAP);
    let before = node.used();
    let gone =
        (0..SERVERS / 10).map(|n| EndpointUpdate { status: EndpointStatus::Removed, ..member(n * 10) });
    let new = (0..SERVERS / 10).map(|n| member(SERVERS + n));
    node.list(EndpointListKind::Delta, gone.chain(new).collect());
    node.sent.clear();
    node.run(100.0, LAP);
    let kept = before.intersection(&node.used()).count() as f64 / before.len() as f64;
    assert!(kept >= 0.8, "{kept} of the subset kept");
}

/// Half of the servers that a gateway uses fail at once; gives what is served in the next two laps, how many
/// working servers are used after some more, and how many were used before.
fn half_fails(servers: u32) -> (u32, usize, usize) {
    let mut node = Node::new(settings(100, 3), (0..servers).map(member).collect());
    node.run(100.0, 2.0 * LAP);
    let before = node.used();
    node.broken = before.iter().copied().step_by(2).collect();
    node.served = 0;
    node.run(100.0, 2.0 * LAP);
    let served = node.served;
    node.run(100.0, 48.0 * LAP);
    node.sent.clear();
    node.run(100.0, LAP);
    let working = node.sent.keys().filter(|server| !node.broken.contains(server)).count();
    (served, working, before.len())
}

#[test]
fn members_that_fail_give_way_to_the_next_on_the_ring_at_no_more_loss_than_without_a_subset() {
    // As many as a subset has, all of which are looked at.
    let (without, ..) = half_fails(200);
    let (served, working, before) = half_fails(SERVERS);
    assert!(served + 10 >= without, "{served} served, {without} without a subset");
    assert!(working as f64 >= 0.8 * before as f64, "{working} working, {before} before");
}

#[test]
fn a_draining_server_and_one_off_the_list_get_nothing() {
    let mut node = Node::new(settings(100, 3), members());
    node.run(50.0, LAP);
    let used: Vec<_> = node.used().into_iter().collect();
    let drained =
        used.iter().step_by(2).map(|id| EndpointUpdate { status: EndpointStatus::Draining, ..member(*id) });
    node.list(EndpointListKind::Delta, drained.collect());
    let left: Vec<_> = (0..SERVERS).filter(|id| *id != used[1]).map(member).collect();
    let whole = left.into_iter().map(|m| {
        let drains = used.iter().step_by(2).any(|id| *id == m.endpoint);
        EndpointUpdate { status: if drains { EndpointStatus::Draining } else { EndpointStatus::Ready }, ..m }
    });
    node.list(EndpointListKind::Snapshot, whole.collect());
    node.sent.clear();
    node.run(50.0, 2.0 * LAP);
    assert!(used.iter().step_by(2).chain([&used[1]]).all(|id| !node.sent.contains_key(id)));
}

#[test]
fn the_own_zone_is_used_where_crossing_has_a_price_and_others_when_it_is_lost() {
    let priced = Settings { cross_zone_cost: 0.02, ..settings(100, 3) };
    let mut node = Node::new(priced, members());
    node.run(50.0, 2.0 * LAP);
    assert!(node.sent.keys().all(|server| server % 4 == 0), "{:?}", node.used());
    node.broken = (0..SERVERS).filter(|server| server % 4 == 0).collect();
    (node.requests, node.served) = (0, 0);
    node.run(50.0, 2.0 * LAP);
    assert!(f64::from(node.served) >= 0.95 * f64::from(node.requests), "{} served", node.served);
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_cell_however_many_servers_there_are() {
    let mut node = Node::new(settings(100, 3), members());
    for _ in 0..200 {
        node.broken = (0..SERVERS).filter(|server| server % 10 < 9).collect();
        let servers = node.ask("edit");
        assert!(servers.iter().all(|server| server / 10 == servers[0] / 10), "{servers:?}");
        node.now += 10.0;
    }
    assert!(node.served >= 20, "{} served", node.served);
}

#[test]
fn a_server_that_moves_to_another_zone_as_it_restarts_is_in_one_rotation() {
    let priced = Settings { cross_zone_cost: 0.02, ..settings(100, 3) };
    let mut node = Node::new(priced, members());
    let moved = (0..SERVERS).filter(|server| server % 4 == 0);
    let moved =
        moved.map(|server| EndpointUpdate { zone: "z1".into(), started_at: Some(-1e6), ..member(server) });
    node.list(EndpointListKind::Delta, moved.collect());
    node.run(50.0, LAP);
    // No server is left in the own zone: all others are used, and are counted once.
    assert_eq!(node.served, node.requests);
    assert!(node.sent.len() >= 80, "{}", node.sent.len());
}

#[test]
fn together_the_gateways_keep_a_cold_server_within_its_budget() {
    const GATEWAYS: u32 = 300;
    const RATE: f64 = 50.0;
    let mut list = members();
    // All that have just started: any subset is full of them.
    list.iter_mut().for_each(|member| member.started_at = Some(0.0));
    let list: Arc<[EndpointUpdate]> = list.into();
    let mut sends: BTreeMap<EndpointId, Vec<Millis>> = BTreeMap::new();
    for rank in 0..GATEWAYS {
        let mut node = Node::new(settings(GATEWAYS, rank), Vec::new());
        node.handle(Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: list.clone() });
        while node.now < 3_000.0 {
            for server in node.ask("read") {
                sends.entry(server).or_default().push(node.now);
            }
            node.now += 1_000.0 / RATE;
        }
    }
    // A mean request is taken to need a tenth of its aim at first, and the budget is twice what that allows.
    let budget = |age: Millis| 2.0 * (0.2 + 0.8 * age / 10_000.0) * 1_000.0 / 40.0;
    for times in sends.values_mut() {
        times.sort_by(f64::total_cmp);
        for (n, from) in times.iter().enumerate() {
            let most = budget(*from);
            let within = times[n..].iter().take_while(|at| **at < from + 1_000.0).count() as f64;
            assert!(within <= most + 2.0 * most.sqrt() + 2.0, "{within} at {from}, {most} allowed");
        }
    }
}
