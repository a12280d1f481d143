//! The operator overrides, and the version of them that was last applied to the policy.

use std::cell::{Cell, Ref};
use std::rc::Rc;

use crate::lifecycle::overrides::{OperatorOverrides, OverrideError, OverrideStore};

/// The operator overrides, with the version that was last applied to the policy. Other processes of the balancer may
/// change the overrides at any time.
pub(super) struct AppliedOverrides {
    store: Rc<OverrideStore>,
    applied_version: Cell<u64>,
}

impl AppliedOverrides {
    /// Returns the overrides of `store`, with its current version as the applied one. The caller applies
    /// [`current`](Self::current) before the policy's first event.
    pub(super) fn new(store: Rc<OverrideStore>) -> AppliedOverrides {
        let applied_version = Cell::new(store.version());
        AppliedOverrides { store, applied_version }
    }

    /// Reads the overrides again if another process has changed them. Returns whether they differ from those applied
    /// last; the caller then applies [`current`](Self::current).
    pub(super) fn refresh(&self) -> bool {
        self.store.refresh();
        let version = self.store.version();
        self.applied_version.replace(version) != version
    }

    /// Returns the overrides in force. The borrow must end before the next call to the store. It does, because the registry
    /// only copies from it and calls nothing.
    pub(super) fn current(&self) -> Ref<'_, OperatorOverrides> {
        self.store.current()
    }

    /// Changes the overrides for all processes of the balancer and stores them.
    ///
    /// # Errors
    /// See [`OverrideError`]. The overrides are unchanged after an error.
    pub(super) async fn change(
        &self,
        change: impl FnOnce(&mut OperatorOverrides) + Send + 'static,
    ) -> Result<(), OverrideError> {
        self.store.change(change).await
    }
}
