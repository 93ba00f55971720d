use super::*;
use std::cell::RefCell;

/// Returns a list with an entry for each name, status and start time.
fn list(is_snapshot: bool, entries: &[(&str, ListedStatus, f64)]) -> EndpointList {
    let endpoints = entries.iter().map(|(name, status, started_at)| ListedEndpoint {
        name: (*name).to_owned(),
        address: Some(SocketAddr::from(([127, 0, 0, 1], 1))),
        zone: "north".to_owned(),
        cell: 0,
        status: *status,
        started_at: *started_at,
    });
    EndpointList { version: 1, is_snapshot, endpoints: endpoints.collect() }
}

/// Applies a list and returns the statuses in the event for the gateway, and the endpoints whose idle
/// connections are closed.
fn update(table: &mut EndpointTable, list: EndpointList) -> (Vec<EndpointStatus>, Vec<EndpointId>) {
    let closed = RefCell::new(Vec::new());
    let event = table.update(list, |endpoint| closed.borrow_mut().push(endpoint));
    let Event::EndpointList { endpoints, .. } = event else { panic!("not an endpoint list") };
    (endpoints.iter().map(|update| update.status).collect(), closed.into_inner())
}

#[test]
fn an_endpoint_has_the_same_id_at_every_node() {
    // The published test vectors of the hash.
    assert_eq!(id_of_name(""), 0x811c_9dc5);
    assert_eq!(id_of_name("a"), 0xe40c_292c);
    assert_eq!(id_of_name("foobar"), 0xbf9c_f968);
}

#[test]
fn only_a_snapshot_removes_the_endpoints_that_it_does_not_list() {
    use ListedStatus::Serving;
    let (a, b) = (id_of_name("a"), id_of_name("b"));
    let mut table = EndpointTable::new(1024);
    update(&mut table, list(true, &[("a", Serving, 1.0), ("b", Serving, 1.0)]));
    assert_eq!(
        update(&mut table, list(false, &[("a", Serving, 1.0)])),
        (vec![EndpointStatus::Ready], vec![])
    );
    assert!(table.get(b).is_some());
    assert_eq!(
        update(&mut table, list(true, &[("a", Serving, 1.0)])),
        (vec![EndpointStatus::Ready], vec![b])
    );
    assert!(table.get(a).is_some() && table.get(b).is_none());
}

#[test]
fn idle_connections_of_a_draining_or_replaced_endpoint_are_closed() {
    let a = id_of_name("a");
    let mut table = EndpointTable::new(1024);
    assert!(update(&mut table, list(true, &[("a", ListedStatus::Serving, 1.0)])).1.is_empty());
    let old = table.get(a).expect("it is listed").instance;
    assert_eq!(update(&mut table, list(false, &[("a", ListedStatus::Serving, 2.0)])).1, [a]);
    assert!(!table.is_serving(a, old));
    let new = table.get(a).expect("it is listed").instance;
    assert!(table.is_serving(a, new) && table.has_serving());
    let (statuses, closed) = update(&mut table, list(false, &[("a", ListedStatus::Draining, 2.0)]));
    assert_eq!((statuses, closed), (vec![EndpointStatus::Draining], vec![a]));
    assert!(!table.is_serving(a, new) && !table.has_serving());
}

#[test]
fn an_endpoint_that_is_deleted_or_has_no_address_counts_as_removed() {
    let a = id_of_name("a");
    let mut table = EndpointTable::new(1024);
    let unknown = list(false, &[("a", ListedStatus::Deleted, 1.0)]);
    assert_eq!(update(&mut table, unknown.clone()), (vec![], vec![]));
    update(&mut table, list(true, &[("a", ListedStatus::Serving, 1.0)]));
    assert_eq!(update(&mut table, unknown), (vec![EndpointStatus::Removed], vec![a]));
    assert!(table.get(a).is_none());
    let mut without_address = list(true, &[("a", ListedStatus::Serving, 1.0)]);
    without_address.endpoints[0].address = None;
    assert_eq!(update(&mut table, without_address).0, [EndpointStatus::Removed]);
    assert!(table.get(a).is_none());
}

#[test]
fn endpoints_whose_names_collide_get_different_ids() {
    let mut table = EndpointTable::new(1024);
    update(&mut table, list(true, &[("a", ListedStatus::Serving, 1.0)]));
    assert_eq!(table.unused_id("a"), id_of_name("a").wrapping_add(1));
}

// Only the length of each list was limited, so that changes could add endpoints and zones without end.
#[test]
fn changes_add_no_endpoints_beyond_the_limit() {
    use ListedStatus::{Deleted, Draining, Serving};
    let mut table = EndpointTable::new(2);
    let with_zone = |name: &str, status, zone: &str| {
        let mut list = list(false, &[(name, status, 1.0)]);
        list.endpoints[0].zone = zone.to_owned();
        list
    };
    update(&mut table, with_zone("a", Serving, "z1"));
    update(&mut table, with_zone("b", Serving, "z2"));
    assert!(update(&mut table, with_zone("c", Serving, "z3")).0.is_empty());
    assert_eq!((table.len(), table.interned_zones.len()), (2, 2));
    // Endpoints on the list can still change, and make room when they are removed.
    assert_eq!(update(&mut table, with_zone("a", Draining, "z1")).0, [EndpointStatus::Draining]);
    update(&mut table, with_zone("a", Deleted, "z1"));
    assert_eq!(update(&mut table, with_zone("c", Serving, "z3")).0, [EndpointStatus::Ready]);
    update(&mut table, list(true, &[]));
    assert_eq!((table.len(), table.weight, table.interned_zones.len()), (0, 0, 0));
}

#[test]
fn a_later_process_at_the_same_address_supersedes_a_listed_one() {
    use EndpointStatus::{Ready, Removed};
    use ListedStatus::{Deleted, Draining, Serving};
    let (a, b) = (id_of_name("a"), id_of_name("b"));
    let mut table = EndpointTable::new(1024);
    update(&mut table, list(true, &[("a", Serving, 0.0)]));
    // The same start time says nothing, as entries without one have the same.
    update(&mut table, list(false, &[("b", Serving, 0.0)]));
    assert!(table.endpoints[&a].is_serving() && table.endpoints[&b].is_serving());
    assert_eq!(update(&mut table, list(false, &[("b", Serving, 5.0)])), (vec![Ready, Removed], vec![b, a]));
    assert!(!table.endpoints[&a].is_serving() && table.endpoints[&b].is_serving());
    // An entry that comes again is still superseded, also by a process that drains.
    assert_eq!(update(&mut table, list(false, &[("a", Serving, 0.0)])).0, [Ready, Removed]);
    assert_eq!(update(&mut table, list(false, &[("b", Draining, 5.0)])).0[1], Removed);
    assert!(!table.has_serving());
    assert_eq!(update(&mut table, list(true, &[("a", Serving, 0.0), ("b", Serving, 5.0)])).0.len(), 3);
    assert!(!table.endpoints[&a].is_serving());
    // Once the later one has left the list, the address is that of the other one again.
    assert_eq!(update(&mut table, list(false, &[("b", Deleted, 5.0)])).0, [Removed, Ready]);
    assert!(table.endpoints[&a].is_serving());
}
