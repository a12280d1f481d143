//! Endpoints as discovery lists them, and the targets of attempts.

use std::net::SocketAddr;

use zincstand_policy::{self as policy, Micros, ServerId};

/// An upstream server and its address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// The server's id in this process.
    pub server: ServerId,
    /// The server's address in the newest list.
    pub address: SocketAddr,
    /// The last start of the server's process in microseconds of Unix time, or `None` if it is not known. A process that
    /// has restarted is another target.
    pub started: Option<Micros>,
}

/// An entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The instance's name, the same at every balancer.
    pub instance: String,
    /// The instance's address as seen from this balancer.
    pub address: SocketAddr,
    /// The name of the zone.
    pub zone: String,
    /// The name of the machine type.
    pub kind: String,
    /// The cell: a small group of servers that drop duplicates of each other's requests.
    pub cell: u32,
    /// The state according to discovery.
    pub state: policy::ServerState,
    /// The capacity relative to other instances.
    pub weight: f64,
    /// The time of the last start in microseconds of Unix time, or `None` if it is not known.
    pub started: Option<Micros>,
}
