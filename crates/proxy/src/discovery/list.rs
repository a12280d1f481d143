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

/// An endpoint list as discovery sends it. The names of its keys are discovery's.
#[derive(Deserialize)]
pub struct EndpointList {
    /// Its version.
    pub generation: u64,
    /// Whether it is complete; else it holds only the entries that have changed.
    #[serde(default)]
    pub reset: bool,
    #[serde(deserialize_with = "read_entries")]
    instances: Vec<ListEntry>,
}

/// Most entries of a list: five times the largest fleet. A list is read within the memory that the process has.
const MAX_ENTRIES: usize = 16_384;
/// Most characters of an entry that are logged.
const MAX_LOGGED_CHARACTERS: usize = 200;

/// An entry. One that cannot be read does not invalidate the others.
enum ListEntry {
    Readable(Instance),
    Unreadable {
        /// The instance that it names, if it names one.
        instance: Option<String>,
        /// The beginning of its text.
        text: String,
    },
}

/// The one key without which an entry says nothing.
#[derive(Deserialize)]
struct NamedEntry {
    #[serde(rename = "instanceId")]
    id: String,
}

/// Reads the entries one by one: what cannot be read is never held as a whole.
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
    lifecycle: Lifecycle,
    #[serde(default = "unit_weight")]
    weight: f64,
    /// In milliseconds of Unix time; 0 if it is not known.
    #[serde(default)]
    started_at_ms: f64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Lifecycle {
    Serving,
    Draining,
    Deleted,
}

impl From<Lifecycle> for ServerState {
    fn from(lifecycle: Lifecycle) -> ServerState {
        match lifecycle {
            Lifecycle::Serving => ServerState::Ready,
            Lifecycle::Draining => ServerState::Draining,
            Lifecycle::Deleted => ServerState::Removed,
        }
    }
}

impl EndpointList {
    /// The endpoints. An entry that cannot be read is logged; if it names its instance, that instance counts as
    /// draining, which is the only safe assumption: it gets no new requests.
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

    /// The endpoint; none if the entry does not name its instance.
    fn into_endpoint(self) -> Option<Endpoint> {
        match self {
            ListEntry::Readable(instance) => Some(instance.into_endpoint()),
            ListEntry::Unreadable { instance: Some(name), text } => Some(unreadable_endpoint(&name, &text)),
            ListEntry::Unreadable { instance: None, text } => {
                log_line!("discovery: ignored an entry without an instanceId: {text}");
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

/// The endpoint that stands for an entry that cannot be read; `entry` is its text for the log.
fn unreadable_endpoint(instance: &str, entry: &dyn Display) -> Endpoint {
    log_line!(
        "discovery: the entry of {instance:?} cannot be read, so the instance gets no new requests: {entry}"
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
