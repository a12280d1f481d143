//! A tier of servers, their connections and their behaviour under overload.

use serde::{Deserialize, Serialize};

use crate::span::Span;

/// A tier of like servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub name: String,
    /// Servers in each zone.
    pub servers: Vec<u32>,
    /// Part of a class's work that one call costs here.
    pub work: f64,
    /// Calls of the next tier for a request, on average; none in the last.
    #[serde(default)]
    pub calls: f64,
    /// Servers to a cell.
    pub cell_size: u32,
    /// Cores of a server.
    pub cores: u32,
    /// Speed of a core; work is told for 1.
    pub speed: f64,
    /// How much that differs from server to server.
    pub speed_cv: f64,
    /// Requests in work at once; one keeps its slot while the next tier works.
    pub slots: u32,
    /// Requests that wait beside; more are turned away.
    pub waiting: u32,
    /// Loss of efficiency for each request held beyond `crowded`.
    pub thrash: f64,
    /// Held requests from which that is so.
    pub crowded: f64,
    /// Share of the capacity with which a server starts.
    pub cold_from: f64,
    /// It is warm after this.
    pub warm_after: Span,
    /// Mean time between two stops of a server, none if zero.
    #[serde(default)]
    pub pause_every: Span,
    /// Length of such a stop.
    #[serde(default)]
    pub pause: Span,
    /// Part by which a stop is longer for each request that the server holds a core.
    #[serde(default)]
    pub pause_grow: f64,
    /// Share of the requests that fail for no reason.
    #[serde(default)]
    pub error_rate: f64,
    /// Connections.
    pub connections: Connections,
    /// Work of a probe.
    pub probe_work: Span,
    /// Servers turn slow and stay so when crowded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub choke: Option<Choke>,
}

/// Connections to the servers of a tier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Connections {
    /// Round trips before a new one can be used.
    pub handshake_trips: f64,
    /// Work that it costs the server.
    pub handshake_work: Span,
    /// Idle ones are closed after this.
    pub idle_close: Span,
    /// One that is not up after this has failed.
    pub connect_timeout: Span,
    /// Most at one server.
    pub most: u32,
    /// Part of the capacity that a full table takes.
    pub full_tax: f64,
}

/// How servers turn slow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Choke {
    /// Requests waiting for each core ...
    pub at: f64,
    /// ... for this long ...
    pub over: Span,
    /// ... make it so many times slower,
    pub slower: f64,
    /// until it has been busy for less than this share ...
    pub below: f64,
    /// ... of this span,
    pub rest: Span,
    /// or this long.
    pub most: Span,
}
