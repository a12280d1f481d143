//! A tier of servers, their connections and their behaviour under overload.

use serde::{Deserialize, Serialize};

use crate::span::Span;

/// A tier of identical servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Name of the tier.
    pub name: String,
    /// Number of servers in each zone.
    pub servers: Vec<u32>,
    /// Work of a call of this tier, as a multiple of the work of its class.
    pub work: f64,
    /// Mean number of calls of the next tier for a request; zero in the last tier.
    #[serde(default)]
    pub calls: f64,
    /// Number of servers in a cell. Servers detect duplicates of a request within their cell.
    pub cell_size: u32,
    /// Number of cores of a server.
    pub cores: u32,
    /// Speed of a core. Work is given in time of a core of speed 1.
    pub speed: f64,
    /// Coefficient of variation of the speed between servers.
    pub speed_cv: f64,
    /// Number of requests that a server executes concurrently. A request occupies its slot while it calls the next
    /// tier.
    pub slots: u32,
    /// Capacity of a server's queue. The server rejects further requests.
    #[serde(rename = "waiting")]
    pub queue_capacity: u32,
    /// Loss of efficiency for each request beyond [`thrash_threshold`](Tier::thrash_threshold), as a share.
    pub thrash: f64,
    /// Number of requests at a server above which it loses efficiency.
    #[serde(rename = "crowded")]
    pub thrash_threshold: f64,
    /// Capacity of a server at its start, as a share of its full capacity.
    #[serde(rename = "cold_from")]
    pub initial_capacity: f64,
    /// Time from a server's start until it has its full capacity.
    #[serde(rename = "warm_after")]
    pub warm_up_time: Span,
    /// Mean time between two pauses of a server, such as garbage collections. Zero disables pauses.
    #[serde(rename = "pause_every", default)]
    pub pause_interval: Span,
    /// Length of a pause of an idle server.
    #[serde(default)]
    pub pause: Span,
    /// Growth of a pause with each request per core at the server, as a share of [`pause`](Tier::pause).
    #[serde(rename = "pause_grow", default)]
    pub pause_growth: f64,
    /// Share of the requests that fail at random.
    #[serde(default)]
    pub error_rate: f64,
    /// Connections to the servers.
    pub connections: Connections,
    /// Work of a health check at a server.
    #[serde(rename = "probe_work")]
    pub health_check_work: Span,
    /// Metastable overload of the servers. `None` disables it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub choke: Option<Choke>,
}

/// Connections to the servers of a tier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Connections {
    /// Number of round trips until a new connection is usable.
    #[serde(rename = "handshake_trips")]
    pub handshake_round_trips: f64,
    /// Work of a new connection at the server.
    pub handshake_work: Span,
    /// Time after which a server closes an idle connection.
    #[serde(rename = "idle_close")]
    pub idle_timeout: Span,
    /// Time limit for establishing a connection.
    pub connect_timeout: Span,
    /// Largest number of connections of a server.
    #[serde(rename = "most")]
    pub max_connections: u32,
    /// Share of a server's capacity that a full table of connections consumes.
    #[serde(rename = "full_tax")]
    pub full_table_overhead: f64,
}

/// Metastable overload of a single server: a server with a long queue turns slow (it chokes), and recovers only after
/// it has been nearly idle.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Choke {
    /// Number of waiting requests per core above which a server counts as crowded.
    #[serde(rename = "at")]
    pub queue_threshold: f64,
    /// Time for which a server must be crowded to choke.
    #[serde(rename = "over")]
    pub time_to_choke: Span,
    /// Factor by which work takes longer at a choked server.
    #[serde(rename = "slower")]
    pub slowdown: f64,
    /// Utilization below which a choked server recovers, measured over
    /// [`recovery_window`](Choke::recovery_window).
    #[serde(rename = "below")]
    pub recovery_utilization: f64,
    /// Time over which the utilization of a choked server is measured.
    #[serde(rename = "rest")]
    pub recovery_window: Span,
    /// Time after which a choked server recovers, whatever its utilization.
    #[serde(rename = "most")]
    pub max_duration: Span,
}
