//! The version of the endpoint list in use, and whether a received list may replace or change it.
//!
//! Several calls can be in flight at once, and a slow one may be answered after a later one. Its list must not undo the
//! changes of the later one.

use zincstand_policy::ListKind;

/// The state of the list in use when a call started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallOrigin {
    /// The version after which the call requests the changes, or `None` if it requests the complete list.
    pub(super) since: Option<u64>,
    /// The lineage of the list in use.
    lineage: u64,
    /// Number of lists used before the call started.
    lists_used: u64,
}

/// The decision about a received list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The list is now in use: pass it on as this kind.
    Use(ListKind),
    /// A list that was requested later is in use: ignore this one.
    Outdated,
    /// The changes lead to an older version than the known one, so the complete list has to be fetched.
    VersionWentBack {
        /// The version in use before.
        known: u64,
    },
}

/// The version of the list in use.
#[derive(Debug)]
pub(super) struct ListVersion {
    /// The version, or `None` if the complete list has to be fetched first.
    known: Option<u64>,
    /// Number of times that versions before and after could not be compared, because the address changed or the version
    /// went back.
    lineage: u64,
    /// Number of lists used so far.
    lists_used: u64,
}

impl ListVersion {
    /// Returns the state of a process whose cached list has the version `known`; `None` without a cached list.
    pub(super) fn new(known: Option<u64>) -> ListVersion {
        ListVersion { known, lineage: 0, lists_used: 0 }
    }

    /// Returns the origin of a call that requests the changes since the list in use, or the complete list if none is.
    pub(super) fn watch_origin(&self) -> CallOrigin {
        CallOrigin { since: self.known, lineage: self.lineage, lists_used: self.lists_used }
    }

    /// Returns the origin of a call that requests the complete list.
    pub(super) fn fetch_origin(&self) -> CallOrigin {
        CallOrigin { since: None, ..self.watch_origin() }
    }

    /// Forgets the version. Calls that started before are outdated.
    pub(super) fn forget(&mut self) {
        self.known = None;
        self.lineage += 1;
    }

    /// Decides what to do with a list of this version. `reset` tells that discovery sent it as a complete list.
    pub(super) fn judge(&mut self, origin: CallOrigin, version: u64, reset: bool) -> Verdict {
        if origin.lineage != self.lineage {
            return Verdict::Outdated;
        }
        let is_complete = reset || origin.since.is_none();
        if let Some(known) = self.known.filter(|known| version < *known) {
            if origin.lists_used != self.lists_used {
                return Verdict::Outdated;
            }
            if !is_complete {
                self.forget();
                return Verdict::VersionWentBack { known };
            }
            self.lineage += 1;
        }
        self.known = Some(version);
        self.lists_used += 1;
        Verdict::Use(if is_complete { ListKind::Snapshot } else { ListKind::Delta })
    }
}

#[cfg(test)]
mod tests;
