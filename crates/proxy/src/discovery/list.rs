//! The endpoint list in discovery's JSON form.

use std::fmt::Display;
use std::net::SocketAddr;

use serde::Deserialize;
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
    instances: Vec<ListEntry>,
}

/// An entry. One that cannot be read does not invalidate the others.
#[derive(Deserialize)]
#[serde(untagged)]
enum ListEntry {
    Readable(Instance),
    Unreadable(serde_json::Value),
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
    /// The endpoint; none if the entry does not name its instance.
    fn into_endpoint(self) -> Option<Endpoint> {
        match self {
            ListEntry::Readable(instance) => Some(instance.into_endpoint()),
            ListEntry::Unreadable(value) => {
                let Some(name) = value.get("instanceId").and_then(serde_json::Value::as_str) else {
                    log_line!("discovery: ignored an entry without an instanceId: {value}");
                    return None;
                };
                Some(unreadable_endpoint(name, &value))
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
