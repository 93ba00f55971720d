//! Choice of a server: each that may be used is judged for the request, and the least cost wins.

use super::feedback::BLOCK_LAST;
use crate::gateway::{Gateway, RETRY_STORE, ROOM};
use crate::interface::*;
use crate::load_balancing::subset::SCAN_MOST;
use crate::request::{Request, Server};

/// Part of a mean request's work by which it is cut: requests differ in work, and a long one is no queue.
const WAITED_NOISE: f64 = 2.0;
/// Time in which waiting seen loses most of its say, in shortest aims: as queues drain.
const WAITED_LIFE: f64 = 1.5;
/// Weight of one request in the usual number of own attempts out, by which those of others are guessed.
const OUT_WEIGHT: f64 = 0.05;
/// Time in which a report loses most of its say, in shortest aims: who refuses hears no further ones.
pub(crate) const REPORT_LIFE: f64 = 0.8;
/// Slowing of a request by each other one on its server, as a part of its own work.
pub(crate) const CROWDING: f64 = 0.45;
/// Least service time against the fleet's that a server at full capacity is believed to have.
const QUICKEST: f64 = 0.7;
/// Random part of a server's cost, so that gateways with the same news do not all choose the same one.
const SCATTER: f64 = 0.15;
/// How many aims a crossing of zones, or a new connection, at full price is worth.
const PRICE_TIME: f64 = 2.0;
/// Part of the time after which idle connections are closed for which one is taken to stand.
const CONNECTION_LIFE: f64 = 0.5;

/// Most windows of a large fleet's subset that are looked at for one request.
const WINDOWS: usize = 64;
/// In a large fleet a server is passed over in the rotation for one whose cost is so many times less.
const ALIKE: f64 = 1.5;

#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    pub server: EndpointId,
    /// Expected time to its answer, and the queueing in it.
    pub wait: Millis,
    pub queue: Millis,
    pub crowd: f64,
    /// The turn that is on, if it is cold.
    pub turn: u64,
    last_resort: bool,
    cost: Millis,
}

impl Gateway {
    /// The server with the least expected cost, if any may be used. In a large fleet: the first in rotation
    /// that is about as good as those next to it, but any one for a request that may have run.
    pub(crate) fn pick(&mut self, request: &Request) -> Option<Candidate> {
        self.usual_out += OUT_WEIGHT * (self.out as f64 - self.usual_out);
        let whole = self.servers.len() <= SCAN_MOST || request.first_that_may_have_run().is_some();
        let (windows, alike) = if whole { (1, 1.0) } else { (WINDOWS, ALIKE) };
        let work = self.work(request.class, request.arrival.units);
        let (mut best, mut last_resort): (Option<Candidate>, Option<Candidate>) = (None, None);
        let mut healthy = false;
        let mut rng = self.rng.clone();
        for _ in 0..windows {
            let window = if whole { Vec::new() } else { self.subset.window(self.now) };
            let some = window.iter().filter_map(|id| self.servers.get_key_value(id));
            let servers: Box<dyn Iterator<Item = _>> =
                if whole { Box::new(self.servers.iter()) } else { Box::new(some) };
            for (id, server) in servers {
                if server.state != EndpointStatus::Ready || !self.may_send(request, server) {
                    continue;
                }
                healthy |= self.now >= server.blocked_until && !server.on_trial;
                let Some(mut candidate) = self.judge(request, *id, server, work) else {
                    continue;
                };
                let (held, alike) =
                    if candidate.last_resort { (&mut last_resort, 1.0) } else { (&mut best, alike) };
                candidate.cost *= if candidate.last_resort { 1.0 } else { 1.0 + SCATTER * rng.f64() };
                // Who has just failed is tried again as long as a failure can be made good.
                let doubtful = !whole && server.failures_in_row > 0 && self.retries < RETRY_STORE - 1.0;
                candidate.cost *= if doubtful { 2.0 * ALIKE } else { 1.0 };
                if held.is_none_or(|held| candidate.cost * alike < held.cost) {
                    *held = Some(candidate);
                }
            }
            if best.is_some() {
                break;
            }
        }
        self.rng = rng;
        if let (false, Some(candidate)) = (whole, best) {
            self.subset.advance(candidate.server);
        }
        // Ejection never empties the fleet, but while the rest is only cold or busy, requests are refused.
        let blocked = |c: &Candidate| self.servers.get(&c.server).is_some_and(|s| self.now < s.blocked_until);
        best.or(last_resort.filter(|candidate| !healthy || !blocked(candidate)))
    }

    /// What a server is to a request of this work; `None` if it cannot be used.
    fn judge(&self, request: &Request, id: EndpointId, server: &Server, work: Millis) -> Option<Candidate> {
        let (now, class) = (self.now, &self.settings.classes[request.class]);
        let warmth = self.warmth(server);
        let cold =
            warmth < 1.0 && self.settings.overload_threshold > 0.0 && self.settings.overload_window > 0.0;
        let mut turn = 0;
        if cold {
            let (current, room) = self.cold_turn(id, server, work);
            if room <= if current == server.turn.0 { server.turn.1 } else { 0 } {
                return None;
            }
            turn = current;
        }
        let crowd = self.crowd(server, warmth);
        let (wait, queue) = self.wait(server, work, warmth, crowd);
        let candidate =
            |last_resort, cost| Candidate { server: id, wait, queue, crowd, turn, last_resort, cost };
        let tried = request.attempts.iter().any(|a| a.server == id);
        if now < server.blocked_until || (server.on_trial && !server.out.is_empty()) || tried {
            let from = server.blocked_until + if tried { BLOCK_LAST * self.shortest_aim } else { 0.0 };
            return (server.out.len() < 2).then(|| candidate(true, from));
        }
        if server.on_trial && class.idempotency == Idempotency::NotIdempotent {
            return None;
        }
        // A turn lapses, and work warms a server: it is taken whenever it serves in time.
        let in_time = wait <= ROOM * (request.aim_at - now);
        let zone = self.zone_cost(server, class.latency_objective);
        let cost = if cold && in_time {
            zone
        } else {
            wait + zone + self.connect_cost(server, class.latency_objective)
        };
        Some(candidate(false, cost))
    }

    /// The expected time to an answer, and the queueing in it.
    fn wait(&self, server: &Server, work: Millis, warmth: f64, crowd: f64) -> (Millis, Millis) {
        let pace = server.pace.max(QUICKEST / warmth);
        let age = self.now - server.answered_at;
        let seen = server.waited * (-age / (WAITED_LIFE * self.shortest_aim)).exp();
        let waited = (seen - WAITED_NOISE * self.mean_work).max(0.0);
        let queue = (self.mean_work * pace * CROWDING * crowd).max(waited);
        // A silent server is at least as slow as its silence is long.
        let silence = server.out.front().map_or(0.0, |o| self.now - o.2.max(server.answered_at));
        let alone = work * pace;
        ((alone * (1.0 + CROWDING * crowd)).max(alone + waited).max(silence), queue)
    }

    /// What crossing to a server's zone costs, and how its zone has failed of late.
    fn zone_cost(&self, server: &Server, aim: Millis) -> Millis {
        let price = if *server.zone == *self.settings.zone { 0.0 } else { self.settings.cross_zone_cost };
        let (failing, at) = self.zones.get(&server.zone).copied().unwrap_or((0.0, self.now));
        let faded = (-(self.now - at) / (BLOCK_LAST * self.shortest_aim)).exp();
        aim * (PRICE_TIME * price + failing * faded)
    }

    /// What a connection to a server costs: nothing if one stands free and has rested.
    fn connect_cost(&self, server: &Server, aim: Millis) -> Millis {
        let life = CONNECTION_LIFE * self.settings.idle_timeout.unwrap_or(f64::INFINITY);
        let busy = server.busy_connections(self.now);
        let stands = busy < server.connections && self.now < server.answered_at + life;
        // In a large fleet the rotation uses each connection again in time.
        if stands || self.servers.len() > SCAN_MOST {
            0.0
        } else {
            aim * PRICE_TIME * self.settings.handshake_cost
        }
    }
}
