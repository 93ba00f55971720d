//! The table of the endpoints on the endpoint list.
//!
//! It gives endpoints their ids, and converts snapshots and deltas of the list to updates for the gateway.
//! The lists come from discovery. The gateway selects the endpoint for each attempt.

use crate::telemetry::metrics::METRICS;
use crate::upstream::EndpointInstance;
use edge_gateway::{
    EndpointId, EndpointList, EndpointListKind, EndpointStatus, EndpointUpdate, Event, ListedEndpoint,
    ListedStatus, Millis,
};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// An endpoint on the list that has an address.
pub struct Endpoint {
    /// The name on the endpoint list, from which the id is derived.
    pub name: Rc<str>,
    /// Address and start time of the process that serves requests there.
    pub instance: EndpointInstance,
    /// Name of the zone that the endpoint is in.
    pub zone: Arc<str>,
    /// The cell that the endpoint is in. Endpoints of a cell share idempotency keys.
    pub cell: u32,
    status: ListedStatus,
    /// Whether the list has a process at the same address that started later: then this one has gone, even if
    /// discovery has not noticed it yet.
    is_superseded: bool,
    /// For how many endpoints this one counts in the limit on their number.
    weight: usize,
}

impl Endpoint {
    fn is_serving(&self) -> bool {
        self.status == ListedStatus::Serving && !self.is_superseded
    }

    /// Returns the update that tells the gateway of this endpoint.
    fn update(&self, id: EndpointId) -> EndpointUpdate {
        EndpointUpdate {
            endpoint: id,
            zone: self.zone.clone(),
            cell: self.cell,
            status: if self.is_superseded { EndpointStatus::Removed } else { gateway_status(self.status) },
            started_at: known_start(self.instance.started_at),
        }
    }
}

/// The endpoints on the list that have an address, by id and by name.
pub struct EndpointTable {
    /// Maximum weight of all endpoints. Changes of the list add endpoints one by one, so that the limit on
    /// the length of one list does not suffice.
    max_weight: usize,
    /// Weight of all endpoints.
    weight: usize,
    endpoints: HashMap<EndpointId, Endpoint>,
    ids: HashMap<Rc<str>, EndpointId>,
    /// The endpoints in the order of their addresses, to find those that share one.
    by_address: BTreeSet<(SocketAddr, EndpointId)>,
    /// Names of zones; all endpoints of a zone share one string.
    interned_zones: HashSet<Arc<str>>,
}

impl EndpointTable {
    /// Creates an empty table for at most `max_endpoints` endpoints. Those with long texts count for
    /// [several](ListedEndpoint::weight).
    pub fn new(max_endpoints: usize) -> Self {
        Self {
            max_weight: max_endpoints,
            weight: 0,
            endpoints: HashMap::new(),
            ids: HashMap::new(),
            by_address: BTreeSet::new(),
            interned_zones: HashSet::new(),
        }
    }

    /// Returns an endpoint; `None` if it is not on the list or has no address.
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    /// Number of endpoints on the list that have an address.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether at least one endpoint is serving.
    pub fn has_serving(&self) -> bool {
        self.endpoints.values().any(Endpoint::is_serving)
    }

    /// Whether an endpoint is serving and is still the same process at the same address.
    pub fn is_serving(&self, id: EndpointId, instance: EndpointInstance) -> bool {
        self.get(id).is_some_and(|endpoint| endpoint.is_serving() && endpoint.instance == instance)
    }

    /// Applies a snapshot or a delta and returns the event for the gateway. Calls `close_idle` for each
    /// endpoint whose idle connections must not be used any more.
    pub fn update(&mut self, list: EndpointList, close_idle: impl Fn(EndpointId)) -> Event {
        let kind = if list.is_snapshot { EndpointListKind::Snapshot } else { EndpointListKind::Delta };
        if list.is_snapshot {
            self.remove_unlisted(&list.endpoints, &close_idle);
        }
        let mut updates = Vec::with_capacity(list.endpoints.len());
        let mut ignored = 0;
        let mut changed_addresses = BTreeSet::new();
        for listed in list.endpoints {
            let Some(id) = self.find_or_propose_id(&listed) else { continue };
            changed_addresses.extend(listed.address);
            changed_addresses.extend(self.get(id).map(|endpoint| endpoint.instance.address));
            if self.get(id).is_none() && self.weight + listed.weight() > self.max_weight {
                ignored += 1;
                continue;
            }
            let zone = self.intern_zone(&listed.zone);
            updates.push(endpoint_update(id, &listed, zone.clone()));
            match listed.address {
                Some(address) if listed.status != ListedStatus::Deleted => {
                    self.insert(id, address, listed, zone, &close_idle);
                }
                _ => self.remove(id, &close_idle),
            }
        }
        if ignored > 0 {
            METRICS.record_discovery_result("endpoints_ignored");
            tracing::warn!(ignored, limit = self.max_weight, "endpoints ignored for lack of memory");
        }
        self.update_superseded(&changed_addresses, &close_idle, &mut updates);
        self.release_unused_zones();
        Event::EndpointList { kind, endpoints: updates.into() }
    }

    /// Finds the endpoints at `addresses` that have been superseded, or no longer are, by the process of
    /// another one. Appends their updates.
    fn update_superseded(
        &mut self,
        addresses: &BTreeSet<SocketAddr>,
        close_idle: &impl Fn(EndpointId),
        updates: &mut Vec<EndpointUpdate>,
    ) {
        let Self { endpoints, by_address, .. } = self;
        for address in addresses {
            let at_address = || by_address.range((*address, EndpointId::MIN)..=(*address, EndpointId::MAX));
            let starts = at_address().filter_map(|(_, id)| endpoints.get(id));
            let latest_start =
                starts.map(|endpoint| endpoint.instance.started_at).fold(f64::NEG_INFINITY, f64::max);
            for (_, id) in at_address() {
                let Some(endpoint) = endpoints.get_mut(id) else { continue };
                let was_superseded = endpoint.is_superseded;
                endpoint.is_superseded = endpoint.instance.started_at < latest_start;
                if endpoint.is_superseded && !was_superseded {
                    close_idle(*id);
                }
                if endpoint.is_superseded || was_superseded {
                    updates.push(endpoint.update(*id));
                }
            }
        }
    }

    /// Removes the endpoints that are not in `listed`, the entries of a snapshot.
    fn remove_unlisted(&mut self, listed: &[ListedEndpoint], close_idle: &impl Fn(EndpointId)) {
        let names: HashSet<&str> = listed.iter().map(|endpoint| endpoint.name.as_str()).collect();
        let unlisted = self.endpoints.iter().filter(|(_, endpoint)| !names.contains(&*endpoint.name));
        let unlisted: Vec<EndpointId> = unlisted.map(|(id, _)| *id).collect();
        for id in unlisted {
            self.remove(id, close_idle);
        }
    }

    fn remove(&mut self, id: EndpointId, close_idle: &impl Fn(EndpointId)) {
        close_idle(id);
        if let Some(endpoint) = self.endpoints.remove(&id) {
            self.ids.remove(&endpoint.name);
            self.by_address.remove(&(endpoint.instance.address, id));
            self.weight -= endpoint.weight;
        }
    }

    fn insert(
        &mut self,
        id: EndpointId,
        address: SocketAddr,
        listed: ListedEndpoint,
        zone: Arc<str>,
        close_idle: &impl Fn(EndpointId),
    ) {
        let instance = EndpointInstance { address, started_at: listed.started_at };
        let is_replaced = self.get(id).is_some_and(|endpoint| endpoint.instance != instance);
        if listed.status == ListedStatus::Draining || is_replaced {
            close_idle(id);
        }
        let weight = listed.weight();
        let name: Rc<str> = listed.name.into();
        self.ids.insert(name.clone(), id);
        let endpoint = Endpoint {
            name,
            instance,
            zone,
            cell: listed.cell,
            status: listed.status,
            is_superseded: false,
            weight,
        };
        self.weight += weight;
        if let Some(replaced) = self.endpoints.insert(id, endpoint) {
            self.by_address.remove(&(replaced.instance.address, id));
            self.weight -= replaced.weight;
        }
        self.by_address.insert((address, id));
    }

    /// Returns the id of a listed endpoint, or an unused id if the endpoint is new. Returns `None` for a new
    /// endpoint that is already deleted.
    fn find_or_propose_id(&self, listed: &ListedEndpoint) -> Option<EndpointId> {
        let known = self.ids.get(listed.name.as_str()).copied();
        match known {
            None if listed.status == ListedStatus::Deleted => None,
            None => Some(self.unused_id(&listed.name)),
            known => known,
        }
    }

    /// Returns the id for a new endpoint: the hash of its name, or the next unused id if that one is taken.
    /// Such a collision happens about once in several million cases.
    fn unused_id(&self, name: &str) -> EndpointId {
        let mut id = id_of_name(name);
        while self.endpoints.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        id
    }

    /// Forgets the names of zones that no endpoint and no statistics refer to.
    fn release_unused_zones(&mut self) {
        self.interned_zones.retain(|zone| Arc::strong_count(zone) > 1);
    }

    /// Returns the shared string with the name of a zone.
    fn intern_zone(&mut self, name: &str) -> Arc<str> {
        if let Some(zone) = self.interned_zones.get(name) {
            return zone.clone();
        }
        let zone: Arc<str> = name.into();
        self.interned_zones.insert(zone.clone());
        zone
    }
}

/// Converts an entry of the list to an update for the gateway.
fn endpoint_update(endpoint: EndpointId, listed: &ListedEndpoint, zone: Arc<str>) -> EndpointUpdate {
    // An endpoint without an address cannot be sent requests.
    let status = match listed.address {
        Some(_) => gateway_status(listed.status),
        None => EndpointStatus::Removed,
    };
    EndpointUpdate { endpoint, zone, cell: listed.cell, status, started_at: known_start(listed.started_at) }
}

fn gateway_status(status: ListedStatus) -> EndpointStatus {
    match status {
        ListedStatus::Serving => EndpointStatus::Ready,
        ListedStatus::Draining => EndpointStatus::Draining,
        ListedStatus::Deleted => EndpointStatus::Removed,
    }
}

/// Converts the start time of a list, where 0 stands for long ago.
fn known_start(started_at: Millis) -> Option<Millis> {
    Some(started_at).filter(|ms| *ms > 0.0)
}

/// Returns the FNV-1a hash of an endpoint's name. Ids depend on the name only, so that all nodes use the same
/// ones, in whatever order their lists arrive. The standard library's default hasher differs by process.
fn id_of_name(name: &str) -> EndpointId {
    name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

#[cfg(test)]
mod tests;
