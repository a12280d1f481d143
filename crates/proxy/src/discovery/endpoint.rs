//! Endpoints as discovery lists them, and the address that an attempt goes to.

use std::net::SocketAddr;

use zincstand_policy::{self as policy, Micros, ServerId};

/// An upstream server and where it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// Its id.
    pub server: ServerId,
    /// Its address, from the newest list.
    pub address: SocketAddr,
}

/// An entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The instance's name, the same at every balancer.
    pub instance: String,
    /// Its address as seen from this balancer.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The name of its machine type.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its state according to discovery.
    pub state: policy::ServerState,
    /// Its capacity relative to others.
    pub weight: f64,
    /// When it last started, in microseconds of Unix time.
    pub started: Option<Micros>,
}
