use super::*;
use std::net::SocketAddr;

fn endpoint(instance: &str, port: u16, state: ServerState) -> Endpoint {
    Endpoint {
        instance: instance.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: format!("z-{instance}"),
        kind: format!("k-{instance}"),
        cell: 0,
        state,
        weight: f64::NAN,
        started: None,
    }
}

#[test]
fn a_removed_endpoint_leaves_the_registry_and_its_id_is_never_reused() {
    let mut zones = Names::default();
    let home = zones.intern("home");
    let mut registry = Registry::new(&zones);
    let mut assigned_ids = HashSet::new();
    for round in 0..1000 {
        let name = format!("s-{}", round % 7);
        let added = registry.apply_list(ListKind::Delta, vec![endpoint(&name, 80, ServerState::Ready)]);
        let id = added.entries[0].id;
        assert!(assigned_ids.insert(id) && added.close_idle.is_empty() && added.entries[0].weight == 1.0);
        // A draining endpoint is still listed.
        registry.apply_list(ListKind::Delta, vec![endpoint(&name, 80, ServerState::Draining)]);
        assert!(registry.target(id).is_some());
        let removed = if round % 2 == 0 {
            registry.apply_list(ListKind::Delta, vec![endpoint(&name, 80, ServerState::Removed)])
        } else {
            registry.apply_list(ListKind::Snapshot, Vec::new())
        };
        assert_eq!((removed.close_idle, registry.target(id)), (vec![id], None));
        // Removing the endpoint again changes nothing.
        let again = registry.apply_list(ListKind::Delta, vec![endpoint(&name, 80, ServerState::Removed)]);
        assert_eq!(again, RegistryUpdate::default());
    }
    assert!(registry.servers.len() == 0 && registry.endpoints.is_empty());
    assert!(registry.kinds.len() == 0);
    assert_eq!((registry.zones.len(), registry.zones.get_or_assign("home")), (1, home));
}

#[test]
fn an_excluded_endpoint_drains_and_counts_as_just_started_once_included() {
    let mut registry = Registry::new(&Names::default());
    let ready = |started| Endpoint { started, ..endpoint("a", 80, ServerState::Ready) };
    let state =
        |update: RegistryUpdate| update.entries.iter().map(|e| (e.state, e.started)).collect::<Vec<_>>();
    registry.apply_list(ListKind::Snapshot, vec![ready(None), endpoint("b", 81, ServerState::Ready)]);
    let mut overrides = OperatorOverrides::default();
    overrides.exclude("a");
    let id = registry.server_id("a").expect("the endpoint is listed");
    let excluded = registry.apply_overrides(&overrides);
    assert_eq!((excluded.entries.len(), excluded.entries[0].state), (1, ServerState::Draining));
    assert_eq!(excluded.close_idle, [id]);
    assert!(registry.target(id).is_none());
    assert_eq!(
        registry.apply_overrides(&overrides),
        RegistryUpdate::default(),
        "applying the same overrides again changes nothing"
    );
    // The endpoint stays excluded after a changed entry, a complete list, and its removal and return.
    let draining = |started| vec![(ServerState::Draining, started)];
    assert_eq!(state(registry.apply_list(ListKind::Delta, vec![ready(Some(3))])), draining(Some(3)));
    assert_eq!(state(registry.apply_list(ListKind::Snapshot, vec![ready(Some(3))])), draining(Some(3)));
    registry.apply_list(ListKind::Delta, vec![endpoint("a", 80, ServerState::Removed)]);
    assert!(registry.knows_instance("a") && registry.knows_instance("b") && !registry.knows_instance("c"));
    assert_eq!(state(registry.apply_list(ListKind::Delta, vec![ready(Some(4))])), draining(Some(4)));
    // After the inclusion its time counts as the start, until discovery reports a later start.
    overrides.include("a", 7);
    assert_eq!(state(registry.apply_overrides(&overrides)), [(ServerState::Ready, Some(7))]);
    assert_eq!(
        state(registry.apply_list(ListKind::Delta, vec![ready(Some(6))])),
        [(ServerState::Ready, Some(7))]
    );
    assert_eq!(
        state(registry.apply_list(ListKind::Delta, vec![ready(Some(8))])),
        [(ServerState::Ready, Some(8))]
    );
}

#[test]
fn idle_connections_to_an_endpoint_whose_address_changed_or_that_was_replaced_are_closed() {
    let mut registry = Registry::new(&Names::default());
    let first = registry.apply_list(ListKind::Snapshot, vec![endpoint("a", 80, ServerState::Ready)]);
    let address_changed = registry.apply_list(ListKind::Delta, vec![endpoint("a", 81, ServerState::Ready)]);
    assert_eq!(address_changed.close_idle, [first.entries[0].id]);
    let replaced = registry.apply_list(ListKind::Snapshot, vec![endpoint("b", 81, ServerState::Ready)]);
    assert_eq!(replaced.close_idle, [first.entries[0].id]);
    assert_ne!(replaced.entries[0].id, first.entries[0].id);
}
