//! The part of a large fleet's servers that one gateway works with: what follows its place on a ring on which
//! each server has one, the same at all gateways. Few members change as servers come and go.

use crate::interface::{EndpointId, Millis, Settings};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// A gateway looks at all servers for each request where there are no more than this.
pub const SCAN_MOST: usize = 1024;
/// Servers that are looked at together where there are more: of its own zone, and of others.
const WINDOW: [usize; 2] = [6, 2];
/// Part of the time after which idle connections are closed that a lap takes, and that time if untold.
const LAP: (f64, Millis) = (0.4, 10_000.0);
/// Part of the ring between two ranks: by the golden ratio any run of ranks covers it evenly.
const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Ready servers by their places, counted from the gateway's own, and where the rotation goes on.
#[derive(Default)]
struct Ring {
    servers: BTreeMap<u64, EndpointId>,
    next: u64,
}

/// The rotation begins anew after each lap, a set time. A gateway with more requests comes to more servers in
/// it, so that every server gets as much of each gateway that uses it.
pub struct Subset {
    place: u64,
    /// Own zone, other zones.
    rings: [Ring; 2],
    lap: Millis,
    pub lap_ends: Millis,
    used: u32,
    most: u32,
}

impl Subset {
    pub fn new(settings: &Settings) -> Self {
        Self {
            place: u64::from(settings.rank).wrapping_mul(STEP),
            rings: Default::default(),
            lap: LAP.0 * settings.idle_timeout.unwrap_or(LAP.1),
            lap_ends: f64::NEG_INFINITY,
            used: 0,
            most: settings.max_connections.unwrap_or(u32::MAX),
        }
    }

    pub fn ready(&self) -> usize {
        self.rings.iter().map(|ring| ring.servers.len()).sum()
    }

    /// Takes a server in, or out if it is not ready, wherever it stood before.
    pub fn set(&mut self, id: EndpointId, near: bool, ready: bool) {
        let place = self.place_of(id);
        for (ring, takes) in self.rings.iter_mut().zip([near, !near]) {
            ring.servers.remove(&place);
            if ready && takes {
                ring.servers.insert(place, id);
            }
        }
    }

    pub fn window(&mut self, now: Millis) -> Vec<EndpointId> {
        if now >= self.lap_ends || self.used >= self.most {
            (self.lap_ends, self.used) = (now + self.lap, 0);
            self.rings.iter_mut().for_each(|ring| ring.next = 0);
        }
        let mut window = Vec::with_capacity(WINDOW.iter().sum());
        for (Ring { servers, next }, size) in self.rings.iter_mut().zip(WINDOW) {
            let from = *next;
            for (place, id) in servers.range(from..).chain(servers.range(..from)).take(size) {
                window.push(*id);
                *next = place.wrapping_add(1);
            }
        }
        window
    }

    /// The rotation goes on behind a server that was chosen.
    pub fn advance(&mut self, chosen: EndpointId) {
        let place = self.place_of(chosen);
        self.used += 1;
        if let Some(ring) = self.rings.iter_mut().find(|ring| ring.servers.contains_key(&place)) {
            ring.next = place.wrapping_add(1);
        }
    }

    fn place_of(&self, id: EndpointId) -> u64 {
        xxh3_64(&id.to_le_bytes()).wrapping_sub(self.place)
    }
}

#[cfg(test)]
mod tests;
