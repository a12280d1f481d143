//! The entries of the endpoint list, as the protocol defines them.

use std::net::SocketAddr;

use serde::Serialize;

/// Number of cells that entries are spread over.
const CELLS: u32 = 8;

/// The state of an upstream in its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Lifecycle {
    /// It takes requests.
    Serving,
    /// It finishes the requests that it has.
    Draining,
    /// It has left; in deltas only.
    Deleted,
}

/// An entry of the endpoint list. The field names on the wire are the protocol's.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Entry {
    /// The upstream's name, the same at every balancer.
    pub instance_id: String,
    /// Where it listens.
    pub host_port: SocketAddr,
    /// Its zone's name.
    pub zone: String,
    /// Its machine kind's name.
    pub machine_type: String,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Its size relative to others.
    pub weight: f64,
    /// Its last start in Unix time in milliseconds; 0 if that was long ago.
    pub started_at_ms: u64,
}

impl Entry {
    /// A serving upstream whose name, cell and zone (one of `zones`) follow from its number.
    pub fn serving(number: usize, zones: usize, host_port: SocketAddr) -> Entry {
        let zones = zones.max(1);
        Entry {
            instance_id: format!("s-{number:08x}"),
            host_port,
            zone: format!("zone-{:02}", number % zones),
            machine_type: "m1".to_owned(),
            cell: (number / zones) as u32 % CELLS,
            lifecycle: Lifecycle::Serving,
            weight: 1.0,
            started_at_ms: 0,
        }
    }

    /// The same upstream in another state.
    pub fn with_lifecycle(&self, lifecycle: Lifecycle) -> Entry {
        Entry { lifecycle, ..self.clone() }
    }
}
