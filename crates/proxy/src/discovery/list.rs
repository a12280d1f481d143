//! The endpoint list in discovery's JSON form.

use std::fmt::{self, Display};
use std::net::SocketAddr;

use serde::Deserialize;
use serde::de::{Deserializer, Error, SeqAccess, Visitor};
use serde_json::value::RawValue;
use zincstand_policy::{Micros, ServerState};
use zincstand_settings::{micros_from_millis, unit_weight};

use crate::discovery::endpoint::Endpoint;
use crate::log::log_line;

/// An endpoint list as discovery sends it. Discovery defines the names of the keys.
#[derive(Deserialize)]
pub struct EndpointList {
    /// The version of the list.
    pub generation: u64,
    /// Whether the list is complete. Otherwise it contains only the entries that have changed.
    #[serde(default)]
    pub reset: bool,
    #[serde(deserialize_with = "read_entries")]
    instances: Vec<ListEntry>,
}

/// Maximum number of entries of a list, five times the largest fleet. It bounds the memory that parsing a list takes.
const MAX_ENTRIES: usize = 16_384;
/// Maximum number of characters of an unreadable entry that are logged.
const MAX_LOGGED_CHARACTERS: usize = 200;

/// An entry of the list. An unreadable entry does not invalidate the others.
enum ListEntry {
    Readable(Instance),
    Unreadable {
        /// The instance that the entry names, or `None` if it names none.
        instance: Option<String>,
        /// The beginning of the entry's text.
        text: String,
    },
}

/// The key that names the instance. It may be readable in an entry whose other keys are not.
#[derive(Deserialize)]
struct NamedEntry {
    #[serde(rename = "instanceId")]
    id: String,
}

/// Parses the entries one by one and stores only the beginning of an unreadable entry.
fn read_entries<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<ListEntry>, D::Error> {
    struct EntriesVisitor;

    impl<'de> Visitor<'de> for EntriesVisitor {
        type Value = Vec<ListEntry>;

        fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
            write!(formatter, "at most {MAX_ENTRIES} entries")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Vec<ListEntry>, A::Error> {
            let mut entries = Vec::new();
            while let Some(entry) = sequence.next_element::<Box<RawValue>>()? {
                if entries.len() == MAX_ENTRIES {
                    return Err(A::Error::invalid_length(MAX_ENTRIES + 1, &self));
                }
                entries.push(ListEntry::read(entry.get()));
            }
            Ok(entries)
        }
    }

    deserializer.deserialize_seq(EntriesVisitor)
}

/// A readable entry. The keys without a default are required.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    #[serde(rename = "instanceId")]
    id: String,
    host_port: String,
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: u32,
    lifecycle: InstanceLifecycle,
    #[serde(default = "unit_weight")]
    weight: f64,
    /// Time of the last start in milliseconds of Unix time, or 0 if it is not known.
    #[serde(default)]
    started_at_ms: f64,
}

/// The state of an instance in discovery's terms.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum InstanceLifecycle {
    Serving,
    Draining,
    Deleted,
}

impl From<InstanceLifecycle> for ServerState {
    fn from(lifecycle: InstanceLifecycle) -> ServerState {
        match lifecycle {
            InstanceLifecycle::Serving => ServerState::Ready,
            InstanceLifecycle::Draining => ServerState::Draining,
            InstanceLifecycle::Deleted => ServerState::Removed,
        }
    }
}

impl EndpointList {
    /// Returns the endpoints. Each unreadable entry is logged. If it names its instance, the instance is listed as draining,
    /// because nothing is known about it and a draining server gets no new requests.
    pub fn into_endpoints(self) -> Vec<Endpoint> {
        self.instances.into_iter().filter_map(ListEntry::into_endpoint).collect()
    }
}

impl ListEntry {
    fn read(text: &str) -> ListEntry {
        serde_json::from_str(text).map_or_else(
            |_| ListEntry::Unreadable {
                instance: serde_json::from_str(text).ok().map(|named: NamedEntry| named.id),
                text: text.chars().take(MAX_LOGGED_CHARACTERS).collect(),
            },
            ListEntry::Readable,
        )
    }

    /// Returns the endpoint, or `None` if the entry does not name its instance.
    fn into_endpoint(self) -> Option<Endpoint> {
        match self {
            ListEntry::Readable(instance) => Some(instance.into_endpoint()),
            ListEntry::Unreadable { instance: Some(name), text } => Some(unreadable_endpoint(&name, &text)),
            ListEntry::Unreadable { instance: None, text } => {
                log_line!("discovery: entry without an instanceId ignored (entry {text})");
                None
            }
        }
    }
}

impl Instance {
    fn into_endpoint(self) -> Endpoint {
        let Ok(address) = self.host_port.parse() else {
            return unreadable_endpoint(&self.id, &self.host_port);
        };
        Endpoint {
            started: self.started(),
            instance: self.id,
            address,
            zone: self.zone,
            kind: self.machine_type,
            cell: self.cell,
            state: self.lifecycle.into(),
            weight: self.weight,
        }
    }

    fn started(&self) -> Option<Micros> {
        let is_known = self.started_at_ms > 0.0 && self.started_at_ms.is_finite();
        is_known.then(|| micros_from_millis(self.started_at_ms))
    }
}

/// Returns a draining endpoint in place of an unreadable entry, and logs the entry's text.
fn unreadable_endpoint(instance: &str, entry: &dyn Display) -> Endpoint {
    log_line!(
        "discovery: unreadable entry, the instance gets no new requests (instance {instance:?}, entry {entry})"
    );
    Endpoint {
        instance: instance.to_owned(),
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        state: ServerState::Draining,
        weight: 1.0,
        started: None,
    }
}
