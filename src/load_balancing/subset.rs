//! Subsetting: limits each gateway to a part of a large fleet.
//!
//! Each endpoint has a position on a hash ring that is the same at all gateways. A gateway uses the endpoints
//! that follow its own position, so a subset changes little when endpoints are added or removed.
//!
//! A gateway goes through the ring in rotations. The next few endpoints of a rotation are a window; which of
//! them is used is decided in [`super::selection`].

use crate::interface::{EndpointId, Millis, Settings};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of endpoints in the fleet for which all of them are evaluated for each request.
pub(super) const MAX_FULL_SCAN: usize = 1024;
/// Number of endpoints in a window that are in the gateway's own zone.
const LOCAL_WINDOW_SIZE: usize = 6;
/// Number of endpoints in a window that are in other zones.
const REMOTE_WINDOW_SIZE: usize = 2;
/// Duration of a rotation as a fraction of the idle timeout. Below 1 to reuse connections before they close.
const ROTATION_FRACTION: f64 = 0.4;
/// Idle timeout that is assumed if the settings have none, in milliseconds.
const DEFAULT_IDLE_TIMEOUT: Millis = 10_000.0;
/// Distance on the ring between successive ranks: 2^64 / golden ratio, which spreads any run of ranks evenly.
const RANK_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Zone of an endpoint relative to the gateway's. If crossing zones costs nothing, all endpoints are local.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Locality {
    /// In the gateway's own zone.
    Local,
    /// In another zone.
    Remote,
}

/// Ready endpoints by their position relative to the gateway's, and the position where the rotation
/// continues.
#[derive(Default)]
struct Ring {
    endpoints: BTreeMap<u64, EndpointId>,
    next_position: u64,
}

impl Ring {
    /// Appends the next `size` endpoints of the rotation to a window, and continues the rotation after them.
    fn append_window(&mut self, size: usize, window: &mut Vec<EndpointId>) {
        let start = self.next_position;
        let endpoints = self.endpoints.range(start..).chain(self.endpoints.range(..start));
        for (position, id) in endpoints.take(size) {
            window.push(*id);
            self.next_position = position.wrapping_add(1);
        }
    }
}

/// The rings of ready endpoints in the gateway's zone and in others, and the rotation through them, which
/// restarts at the gateway's position at regular intervals. A gateway with more requests uses more endpoints
/// in a rotation, so an endpoint gets the same load from every gateway that uses it.
pub(super) struct Subset {
    /// Position of the gateway on the ring.
    gateway_position: u64,
    local: Ring,
    remote: Ring,
    rotation_duration: Millis,
    rotation_ends_at: Millis,
    /// Number of selections in this rotation, each of which counts as one connection.
    selections: u32,
    /// Connection limit of the gateway: number of selections after which a rotation ends early.
    max_connections: u32,
}

impl Subset {
    /// Creates the subset of the gateway that the settings describe, without endpoints.
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

    /// Adds a ready endpoint, or changes its locality if it is already present.
    pub(super) fn insert(&mut self, id: EndpointId, locality: Locality) {
        let position = self.position_of(id);
        self.remove_at(position);
        let ring = match locality {
            Locality::Local => &mut self.local,
            Locality::Remote => &mut self.remote,
        };
        ring.endpoints.insert(position, id);
    }

    /// Removes an endpoint that is no longer ready, if it is present.
    pub(super) fn remove(&mut self, id: EndpointId) {
        self.remove_at(self.position_of(id));
    }

    /// Returns the next endpoints of the rotation. Starts a new rotation if the current one has ended or has
    /// reached the connection limit.
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

    /// Continues the rotation after the selected endpoint.
    pub(super) fn advance_past(&mut self, selected: EndpointId) {
        let position = self.position_of(selected);
        self.selections += 1;
        let mut rings = [&mut self.local, &mut self.remote].into_iter();
        if let Some(ring) = rings.find(|ring| ring.endpoints.contains_key(&position)) {
            ring.next_position = position.wrapping_add(1);
        }
    }

    /// Ends the rotation: the next window is the first of a new one.
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
