//! The state that the policy has learned, passed from one process to its successor at a hot restart.

use std::collections::HashMap;

use zincstand_policy::Micros;

use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::transport::Transport;
use crate::lifecycle::hot_restart::SavedState;

/// Maximum age of saved state in microseconds. Older state is not restored, and the policy starts without it.
pub(super) const MAX_SAVED_AGE: Micros = 5_000_000;

impl<T: Transport> Dispatcher<T> {
    /// Returns the state that the policy has learned, with the names of its zones and servers.
    pub fn saved_state(&self) -> SavedState {
        SavedState {
            learned: self.policy.learned_state(self.clock.now()),
            zones: self.endpoints.zone_names(),
            servers: self.endpoints.server_names(),
        }
    }

    /// Restores the state that the predecessor has saved, unless it is too old. The first endpoint list has to be
    /// applied before this call, because state of zones and servers without an id in this process is dropped.
    pub fn restore(&self, saved: SavedState) {
        let SavedState { mut learned, zones, servers } = saved;
        let now = self.clock.now();
        if now.saturating_sub(learned.saved_at) > MAX_SAVED_AGE {
            return;
        }
        learned
            .zones
            .retain_mut(|zone| translate_id(&mut zone.zone, &zones, |name| self.endpoints.zone_id(name)));
        learned.servers.retain_mut(|server| {
            translate_id(&mut server.server, &servers, |name| self.endpoints.server_id(name))
        });
        self.policy.restore(now, &learned);
    }
}

/// Replaces an id of the predecessor with this process's id of the same name. Returns false if the name has no id in this
/// process. `names` holds the predecessor's names by id.
fn translate_id(
    id: &mut u32,
    names: &HashMap<u32, String>,
    id_by_name: impl FnOnce(&str) -> Option<u32>,
) -> bool {
    let Some(translated) = names.get(id).and_then(|name| id_by_name(name)) else { return false };
    *id = translated;
    true
}
