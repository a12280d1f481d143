//! Learned state, handed from one process to the one that replaces it.

use zincstand_policy::Micros;

use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::transport::Transport;
use crate::lifecycle::hot_restart::SavedState;

/// Saved state older than this is not restored; the policy learns anew.
pub(super) const MAX_SAVED_AGE: Micros = 5_000_000;

impl<T: Transport> Dispatcher<T> {
    /// What the policy has learned, with the names of the zones and servers that its ids stand for.
    pub fn saved_state(&self) -> SavedState {
        let learned = self.policy.borrow().learned_state(self.clock.now());
        let registry = self.registry.borrow();
        SavedState { learned, zones: registry.zone_names(), servers: registry.server_names() }
    }

    /// Restores what the process before this one had learned, unless it is too old. It must be called after the
    /// first endpoint list was applied: state of zones and servers without an id here is dropped.
    pub fn restore(&self, saved: SavedState) {
        let SavedState { mut learned, zones, servers } = saved;
        let now = self.clock.now();
        if now.saturating_sub(learned.saved_at) > MAX_SAVED_AGE {
            return;
        }
        let registry = self.registry.borrow();
        learned.zones.retain_mut(|zone| {
            let own_id = zones.get(&zone.zone).and_then(|name| registry.zone_id(name));
            own_id.map(|id| zone.zone = id).is_some()
        });
        learned.servers.retain_mut(|server| {
            let own_id = servers.get(&server.server).and_then(|name| registry.server_id(name));
            own_id.map(|id| server.server = id).is_some()
        });
        self.policy.borrow_mut().restore(now, &learned);
    }
}
