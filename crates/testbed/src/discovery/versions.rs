//! The endpoint list with its recent versions, and the response bodies made from them.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bytes::Bytes;
use serde::Serialize;

use super::entry::{Entry, Lifecycle};

/// Number of versions whose changes are retained. A watch from an older version receives the complete list.
pub const RETAINED_VERSIONS: usize = 1024;

/// The content of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseKind {
    /// The complete list.
    Snapshot,
    /// The changed entries.
    Delta,
    /// No entries.
    Empty,
}

/// The body of a response, and its kind.
#[derive(Clone, Debug)]
pub struct ListResponse {
    /// The kind of content.
    pub kind: ResponseKind,
    /// The body in JSON.
    pub body: Bytes,
}

/// The endpoint list, with the changes of its recent versions.
pub struct VersionedList {
    version: u64,
    /// The latest entry of each instance. A deleted entry stays while the change that deleted it is retained.
    entries: BTreeMap<String, Entry>,
    /// The instances that each retained version changed, beginning with the version `oldest + 1`.
    changed_by_version: VecDeque<Vec<String>>,
    /// The oldest version from which a delta can be computed.
    oldest: u64,
    /// The body of the current snapshot; `None` until it is requested.
    snapshot: Option<Bytes>,
    /// The bodies of the deltas to the current version, by the version from which they start. Each is serialized once
    /// for all watchers.
    deltas: HashMap<u64, Bytes>,
}

/// The body of a response, with the field names of the protocol.
#[derive(Serialize)]
struct Body<'a> {
    /// The version of the list.
    generation: u64,
    /// Whether `instances` is the complete list, which replaces the list of the watcher.
    reset: bool,
    instances: Vec<&'a Entry>,
}

impl VersionedList {
    /// Creates an empty list of version 1.
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

    /// Returns the current version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Replaces the list in a new version. The response to a watch from any earlier version is then a snapshot.
    pub fn replace(&mut self, entries: Vec<Entry>) {
        self.version += 1;
        self.entries = entries.into_iter().map(|entry| (entry.instance_id.clone(), entry)).collect();
        self.oldest = self.version;
        self.changed_by_version.clear();
        self.snapshot = None;
        self.deltas.clear();
    }

    /// Changes entries in one new version. Deleted entries are removed from the list.
    pub fn change(&mut self, entries: Vec<Entry>) {
        self.version += 1;
        self.snapshot = None;
        self.deltas.clear();
        self.changed_by_version.push_back(entries.iter().map(|entry| entry.instance_id.clone()).collect());
        self.entries.extend(entries.into_iter().map(|entry| (entry.instance_id.clone(), entry)));
        if self.changed_by_version.len() > RETAINED_VERSIONS {
            self.drop_oldest_version();
        }
    }

    /// Drops the changes of the oldest retained version, and deleted entries that no later version changed.
    fn drop_oldest_version(&mut self) {
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

    /// Returns the complete list.
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

    /// Returns the response to a watcher that has applied `version`: a delta, or a snapshot if the changes since that
    /// version are not retained.
    pub fn update_since(&mut self, version: u64) -> ListResponse {
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

    /// Returns the entries that have changed since a retained version, each once.
    fn changed_since(&self, version: u64) -> Vec<&Entry> {
        let later_versions = self.changed_by_version.iter().skip((version - self.oldest) as usize);
        let mut instances: Vec<_> = later_versions.flatten().collect();
        instances.sort_unstable();
        instances.dedup();
        instances.into_iter().filter_map(|instance| self.entries.get(instance)).collect()
    }

    fn serialize(&self, reset: bool, instances: Vec<&Entry>) -> Bytes {
        let body = Body { generation: self.version, reset, instances };
        // Serializing cannot fail: the body contains only strings, numbers and an address.
        serde_json::to_vec(&body).map(Bytes::from).unwrap_or_default()
    }
}
