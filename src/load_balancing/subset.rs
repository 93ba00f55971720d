//! Subsetting: the part of a large fleet that one gateway works with. Each endpoint has a position on a ring
//! that is the same at all gateways, and a gateway uses those that follow its own position. Few endpoints of
//! a subset change as endpoints come and go.
//!
//! This module owns the ring and the rotation through it; which of the endpoints in a window is used is left
//! to selection.

use crate::interface::{EndpointId, Millis, Settings};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// A gateway looks at all endpoints for each request where there are no more than this.
pub(super) const MAX_FULL_SCAN: usize = 1024;
/// Endpoints of the gateway's own zone that are looked at together in a larger fleet.
const LOCAL_WINDOW_SIZE: usize = 6;
/// Endpoints of other zones that are looked at together in a larger fleet.
const REMOTE_WINDOW_SIZE: usize = 2;
/// Duration of a rotation as a fraction of the idle timeout: it reuses each connection before that closes.
const ROTATION_FRACTION: f64 = 0.4;
/// Idle timeout that is assumed where the settings do not say, in milliseconds.
const DEFAULT_IDLE_TIMEOUT: Millis = 10_000.0;
/// Distance on the ring between two ranks: by the golden ratio any run of ranks covers it evenly.
const RANK_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Whether an endpoint is in the gateway's own zone, or as good as there because crossing zones costs
/// nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Locality {
    /// It is.
    Local,
    /// It is in another zone.
    Remote,
}

/// Ready endpoints by their positions, counted from the gateway's own, and the position where the rotation
/// goes on.
#[derive(Default)]
struct Ring {
    endpoints: BTreeMap<u64, EndpointId>,
    next_position: u64,
}

impl Ring {
    /// Appends the next endpoints of the rotation to a window, and moves on behind them.
    fn append_window(&mut self, size: usize, window: &mut Vec<EndpointId>) {
        let start = self.next_position;
        let endpoints = self.endpoints.range(start..).chain(self.endpoints.range(..start));
        for (position, id) in endpoints.take(size) {
            window.push(*id);
            self.next_position = position.wrapping_add(1);
        }
    }
}

/// A rotation through the ring that starts again at the gateway's own position after a set time. A gateway
/// with more requests reaches more endpoints in it, so that every endpoint gets as much of each gateway that
/// uses it.
pub(super) struct Subset {
    /// The gateway's position on the ring.
    gateway_position: u64,
    local: Ring,
    remote: Ring,
    rotation_duration: Millis,
    rotation_ends_at: Millis,
    /// Endpoints that were used in this rotation.
    selections: u32,
    max_connections: u32,
}

impl Subset {
    /// The subset of the gateway that the settings describe, without endpoints.
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            gateway_position: u64::from(settings.rank).wrapping_mul(RANK_STEP),
            local: Ring::default(),
            remote: Ring::default(),
            rotation_duration: ROTATION_FRACTION * settings.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT),
            rotation_ends_at: f64::NEG_INFINITY,
            selections: 0,
            max_connections: settings.max_connections.unwrap_or(u32::MAX),
        }
    }

    /// Number of ready endpoints in the fleet.
    pub(super) fn ready_endpoints(&self) -> usize {
        self.local.endpoints.len() + self.remote.endpoints.len()
    }

    /// Adds a ready endpoint, or moves it if it was there.
    pub(super) fn insert(&mut self, id: EndpointId, locality: Locality) {
        let position = self.position_of(id);
        self.remove_at(position);
        let ring = match locality {
            Locality::Local => &mut self.local,
            Locality::Remote => &mut self.remote,
        };
        ring.endpoints.insert(position, id);
    }

    /// Removes an endpoint if it is there.
    pub(super) fn remove(&mut self, id: EndpointId) {
        self.remove_at(self.position_of(id));
    }

    /// The next endpoints of the rotation; a new one starts if its time is over or the connections are used
    /// up.
    pub(super) fn next_window(&mut self, now: Millis) -> Vec<EndpointId> {
        if now >= self.rotation_ends_at || self.selections >= self.max_connections {
            self.rotation_ends_at = now + self.rotation_duration;
            self.selections = 0;
            self.local.next_position = 0;
            self.remote.next_position = 0;
        }
        let mut window = Vec::with_capacity(LOCAL_WINDOW_SIZE + REMOTE_WINDOW_SIZE);
        self.local.append_window(LOCAL_WINDOW_SIZE, &mut window);
        self.remote.append_window(REMOTE_WINDOW_SIZE, &mut window);
        window
    }

    /// Lets the rotation go on behind an endpoint that was selected.
    pub(super) fn advance_past(&mut self, selected: EndpointId) {
        let position = self.position_of(selected);
        self.selections += 1;
        let mut rings = [&mut self.local, &mut self.remote].into_iter();
        if let Some(ring) = rings.find(|ring| ring.endpoints.contains_key(&position)) {
            ring.next_position = position.wrapping_add(1);
        }
    }

    /// Ends the rotation, so that the next window is the first of a new one.
    pub(super) fn end_rotation(&mut self, now: Millis) {
        self.rotation_ends_at = now;
    }

    fn remove_at(&mut self, position: u64) {
        self.local.endpoints.remove(&position);
        self.remote.endpoints.remove(&position);
    }

    fn position_of(&self, id: EndpointId) -> u64 {
        xxh3_64(&id.to_le_bytes()).wrapping_sub(self.gateway_position)
    }
}

#[cfg(test)]
mod tests;
