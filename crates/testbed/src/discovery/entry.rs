//! The entries of the endpoint list, as the protocol defines them.

use std::net::SocketAddr;

use serde::Serialize;

/// Number of cells over which entries are spread.
const CELL_COUNT: u32 = 8;

/// The state of an upstream in its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Lifecycle {
    /// The upstream accepts requests.
    Serving,
    /// The upstream finishes its current requests and accepts no new ones.
    Draining,
    /// The upstream was removed from the list. Appears only in deltas.
    Deleted,
}

/// An entry of the endpoint list. Its fields are serialized under the protocol's names.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Entry {
    /// The name of the upstream, which is the same for all balancers.
    pub instance_id: String,
    /// The address on which the upstream listens.
    pub host_port: SocketAddr,
    /// The name of the zone.
    pub zone: String,
    /// The name of the machine type.
    pub machine_type: String,
    /// The number of the cell that the upstream belongs to.
    pub cell: u32,
    /// The state of the upstream.
    pub lifecycle: Lifecycle,
    /// The capacity relative to other upstreams.
    pub weight: f64,
    /// The time of the last start in milliseconds of Unix time; 0 if it was long ago.
    pub started_at_ms: u64,
}

impl Entry {
    /// Creates the entry of a serving upstream. Its name, its cell and its zone, one of `zones`, are derived from its
    /// number.
    pub fn serving(number: usize, zones: usize, host_port: SocketAddr) -> Entry {
        let zones = zones.max(1);
        Entry {
            instance_id: format!("s-{number:08x}"),
            host_port,
            zone: format!("zone-{:02}", number % zones),
            machine_type: "m1".to_owned(),
            cell: (number / zones) as u32 % CELL_COUNT,
            lifecycle: Lifecycle::Serving,
            weight: 1.0,
            started_at_ms: 0,
        }
    }

    /// Returns the entry of the same upstream with this state.
    pub fn with_lifecycle(&self, lifecycle: Lifecycle) -> Entry {
        Entry { lifecycle, ..self.clone() }
    }
}
