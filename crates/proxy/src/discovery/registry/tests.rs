use super::*;
use std::net::SocketAddr;

fn listed(instance: &str, port: u16, state: ServerState) -> Endpoint {
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
fn what_is_gone_is_forgotten_and_its_number_never_given_again() {
    let mut zones = Names::default();
    let home = zones.intern("home");
    let mut registry = Registry::new(&zones);
    let mut seen = HashSet::new();
    for round in 0..1000 {
        let name = format!("s-{}", round % 7);
        let (entries, left) = registry.take(ListKind::Delta, &[listed(&name, 80, ServerState::Ready)]);
        let id = entries[0].id;
        assert!(seen.insert(id) && left.is_empty() && entries[0].weight == 1.0);
        // Draining it is still listed.
        registry.take(ListKind::Delta, &[listed(&name, 80, ServerState::Draining)]);
        assert!(registry.target(id).is_some());
        let (_, left) = if round % 2 == 0 {
            registry.take(ListKind::Delta, &[listed(&name, 80, ServerState::Removed)])
        } else {
            registry.take(ListKind::Snapshot, &[])
        };
        assert_eq!((left, registry.target(id)), (vec![id], None));
        // Told once more: no news.
        let again = registry.take(ListKind::Delta, &[listed(&name, 80, ServerState::Removed)]);
        assert_eq!(again, (Vec::new(), Vec::new()));
    }
    assert!(registry.servers.by_name.is_empty() && registry.places.is_empty());
    assert!(registry.kinds.by_name.is_empty());
    assert_eq!((registry.zones.by_name.len(), registry.zones.number("home")), (1, home));
}

#[test]
fn one_that_is_out_drains_whatever_discovery_lists_and_comes_back_cold() {
    let mut registry = Registry::new(&Names::default());
    let ready = |started| Endpoint { started, ..listed("a", 80, ServerState::Ready) };
    let state = |taken: (Vec<policy::ServerEntry>, Vec<ServerId>)| {
        taken.0.iter().map(|e| (e.state, e.started)).collect::<Vec<_>>()
    };
    registry.take(ListKind::Snapshot, &[ready(None), listed("b", 81, ServerState::Ready)]);
    let mut orders = OperatorOverrides::default();
    orders.exclude("a");
    let id = registry.servers.by_name["a"];
    let (entries, left) = registry.obey(&orders);
    assert_eq!((entries.len(), entries[0].state, left), (1, ServerState::Draining, vec![id]));
    assert!(registry.target(id).is_none());
    assert_eq!(registry.obey(&orders), (Vec::new(), Vec::new()), "told once more");
    // A changed entry, the whole list, gone and listed anew: it stays out.
    let out = |started| vec![(ServerState::Draining, started)];
    assert_eq!(state(registry.take(ListKind::Delta, &[ready(Some(3))])), out(Some(3)));
    assert_eq!(state(registry.take(ListKind::Snapshot, &[ready(Some(3))])), out(Some(3)));
    registry.take(ListKind::Delta, &[listed("a", 80, ServerState::Removed)]);
    assert!(registry.knows("a") && registry.knows("b") && !registry.knows("c"));
    assert_eq!(state(registry.take(ListKind::Delta, &[ready(Some(4))])), out(Some(4)));
    // Back, it has started then, until discovery knows of a later start.
    orders.include("a", 7);
    assert_eq!(state(registry.obey(&orders)), [(ServerState::Ready, Some(7))]);
    assert_eq!(state(registry.take(ListKind::Delta, &[ready(Some(6))])), [(ServerState::Ready, Some(7))]);
    assert_eq!(state(registry.take(ListKind::Delta, &[ready(Some(8))])), [(ServerState::Ready, Some(8))]);
}

#[test]
fn one_that_moved_or_was_replaced_at_its_address_loses_its_connections() {
    let mut registry = Registry::new(&Names::default());
    let (a, _) = registry.take(ListKind::Snapshot, &[listed("a", 80, ServerState::Ready)]);
    let (_, moved) = registry.take(ListKind::Delta, &[listed("a", 81, ServerState::Ready)]);
    assert_eq!(moved, [a[0].id]);
    let (b, left) = registry.take(ListKind::Snapshot, &[listed("b", 81, ServerState::Ready)]);
    assert_eq!(left, [a[0].id]);
    assert_ne!(b[0].id, a[0].id);
}
