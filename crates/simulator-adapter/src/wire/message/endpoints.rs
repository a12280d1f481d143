//! Messages about the endpoint list.

use serde::Deserialize;
use zincstand_settings::unit_weight;

/// A list of endpoints for later reference (`Table`).
#[derive(Deserialize)]
pub struct EndpointTable {
    /// Id of the table. A later table with the same id replaces it.
    #[serde(rename = "SetId")]
    pub id: u64,
    /// Entries of the table.
    #[serde(rename = "Items")]
    pub entries: Vec<EndpointEntry>,
}

/// An endpoint of a table.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct EndpointEntry {
    /// Address and port. They are the name of the upstream on the wire.
    #[serde(rename = "Upstream")]
    pub address: String,
    /// Name of the zone.
    #[serde(rename = "Locality")]
    pub zone: String,
    /// Name of the kind of machine.
    #[serde(rename = "Machine")]
    pub machine_kind: String,
    /// Cell: the group of servers that share request deduplication.
    #[serde(rename = "Group", default)]
    pub cell: u32,
    /// State of the endpoint.
    #[serde(rename = "Condition")]
    pub state: EndpointState,
    /// Weight of the endpoint. `Setup.Weights` defines its meaning.
    #[serde(default = "unit_weight")]
    pub weight: f64,
    /// Time of its last start, in milliseconds; 0 if it started long ago.
    #[serde(default)]
    pub last_start_ms: f64,
}

/// State of an endpoint.
#[derive(Clone, Copy, Deserialize)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    #[serde(rename = "on")]
    Ready,
    /// The endpoint completes the requests that it has and must receive no others.
    #[serde(rename = "fading")]
    Draining,
    /// The endpoint no longer exists.
    #[serde(rename = "off")]
    Removed,
}

/// An endpoint list for a balancer (`Fleet`).
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct EndpointList {
    /// Id of the balancer that receives the list.
    pub balancer_id: u64,
    /// How the entries relate to the list that the balancer has.
    #[serde(rename = "Form")]
    pub kind: ListKind,
    /// Id of the table with the entries. Not used if discovery did not respond.
    #[serde(rename = "SetId", default)]
    pub table_id: u64,
}

/// How an endpoint list relates to the one that the balancer has.
#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
pub enum ListKind {
    /// The entries that have changed.
    #[serde(rename = "patch")]
    Delta,
    /// All entries.
    #[serde(rename = "whole")]
    Snapshot,
    /// All entries as cached before a restart.
    #[serde(rename = "stale_copy")]
    CachedSnapshot,
    /// No entries: discovery did not respond.
    #[serde(rename = "broken")]
    Failed,
}
