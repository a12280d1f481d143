//! The endpoint list with its recent versions, and the response bodies made from them.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bytes::Bytes;
use serde::Serialize;

use super::entry::{Entry, Lifecycle};

/// Versions of which the changes are kept: a watch from an older one is answered with the complete list.
pub const KEPT_VERSIONS: usize = 1024;

/// What a response holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseKind {
    /// The complete list.
    Snapshot,
    /// The entries that have changed.
    Delta,
    /// No entries.
    Empty,
}

/// A response's body and what it holds.
#[derive(Clone, Debug)]
pub struct ListResponse {
    /// What it holds.
    pub kind: ResponseKind,
    /// The body, in JSON.
    pub body: Bytes,
}

/// The list and its recent versions.
pub struct VersionedList {
    version: u64,
    /// The newest entry of each instance; a deleted one as long as a watch may still have to be notified of it.
    entries: BTreeMap<String, Entry>,
    /// The instances that each kept version changed, from the version `oldest + 1` on.
    changed_by_version: VecDeque<Vec<String>>,
    /// The oldest version from which a delta can be given.
    oldest: u64,
    /// The body of the present snapshot, once it was asked for.
    snapshot: Option<Bytes>,
    /// The bodies of the present deltas by the version that they start from. Serialized once for all watchers.
    deltas: HashMap<u64, Bytes>,
}

#[derive(Serialize)]
struct Body<'a> {
    generation: u64,
    reset: bool,
    instances: Vec<&'a Entry>,
}

impl VersionedList {
    /// An empty list of version 1.
    pub fn new() -> VersionedList {
        VersionedList {
            version: 1,
            entries: BTreeMap::new(),
            changed_by_version: VecDeque::new(),
            oldest: 1,
            snapshot: None,
            deltas: HashMap::new(),
        }
    }

    /// The present version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Replaces the list; no delta leads to the new version.
    pub fn replace(&mut self, entries: Vec<Entry>) {
        self.version += 1;
        self.entries = entries.into_iter().map(|entry| (entry.instance_id.clone(), entry)).collect();
        self.oldest = self.version;
        self.changed_by_version.clear();
        self.snapshot = None;
        self.deltas.clear();
    }

    /// Changes entries in one new version. A deleted entry leaves the list.
    pub fn change(&mut self, entries: Vec<Entry>) {
        self.version += 1;
        self.snapshot = None;
        self.deltas.clear();
        self.changed_by_version.push_back(entries.iter().map(|entry| entry.instance_id.clone()).collect());
        self.entries.extend(entries.into_iter().map(|entry| (entry.instance_id.clone(), entry)));
        if self.changed_by_version.len() > KEPT_VERSIONS {
            self.forget_oldest_version();
        }
    }

    /// Drops the oldest kept version, and with it deleted entries of which no later version speaks.
    fn forget_oldest_version(&mut self) {
        let Some(instances) = self.changed_by_version.pop_front() else { return };
        self.oldest += 1;
        for instance in instances {
            let is_deleted =
                self.entries.get(&instance).is_some_and(|entry| entry.lifecycle == Lifecycle::Deleted);
            if is_deleted && !self.changed_by_version.iter().any(|changed| changed.contains(&instance)) {
                self.entries.remove(&instance);
            }
        }
    }

    /// The complete list.
    pub fn snapshot(&mut self) -> ListResponse {
        let body = if let Some(body) = &self.snapshot {
            body.clone()
        } else {
            let listed = self.entries.values().filter(|entry| entry.lifecycle != Lifecycle::Deleted);
            let body = self.serialize(true, listed.collect());
            self.snapshot = Some(body.clone());
            body
        };
        ListResponse { kind: ResponseKind::Snapshot, body }
    }

    /// What a watcher that holds `version` is to be notified of: a snapshot if its version is not known any more.
    pub fn since(&mut self, version: u64) -> ListResponse {
        if version < self.oldest || version > self.version {
            return self.snapshot();
        }
        let kind = if version == self.version { ResponseKind::Empty } else { ResponseKind::Delta };
        let body = if let Some(body) = self.deltas.get(&version) {
            body.clone()
        } else {
            let body = self.serialize(false, self.changed_since(version));
            self.deltas.insert(version, body.clone());
            body
        };
        ListResponse { kind, body }
    }

    /// The entries that have changed since a kept version, each once.
    fn changed_since(&self, version: u64) -> Vec<&Entry> {
        let later_versions = self.changed_by_version.iter().skip((version - self.oldest) as usize);
        let mut instances: Vec<_> = later_versions.flatten().collect();
        instances.sort_unstable();
        instances.dedup();
        instances.into_iter().filter_map(|instance| self.entries.get(instance)).collect()
    }

    fn serialize(&self, reset: bool, instances: Vec<&Entry>) -> Bytes {
        let body = Body { generation: self.version, reset, instances };
        // Strings, numbers and an address always have a form in JSON.
        serde_json::to_vec(&body).map(Bytes::from).unwrap_or_default()
    }
}
