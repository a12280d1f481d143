//! What the simulator sends: one message per line. Unknown keys are ignored.

use std::borrow::Cow;

use serde::Deserialize;
use zincstand_settings::{Setup, unit_weight};

/// A message from the simulator.
#[derive(Deserialize)]
pub enum Message<'a> {
    /// Opens a batch.
    BeginBatch(BatchStart),
    /// Closes the batch: the reply is due.
    Commit {},
    /// A list of endpoints for later reference.
    Table(EndpointTable),
    /// Starts a balancer.
    PowerOn(BalancerStart),
    /// Ends a balancer; everything that it held is void.
    #[serde(rename = "Teardown")]
    BalancerStop(BalancerStop),
    /// A watch event, or the answer to a poll of discovery.
    #[serde(rename = "Fleet")]
    EndpointList(EndpointList),
    /// A request has arrived.
    #[serde(borrow, rename = "JobIn")]
    Request(Request<'a>),
    /// A streamed response has begun.
    #[serde(borrow, rename = "AckFirst")]
    FirstByte(FirstByte<'a>),
    /// An attempt has ended.
    #[serde(borrow, rename = "Resolved")]
    AttemptEnded(AttemptEnded<'a>),
    /// The client has disconnected, or its request was ended by the simulator.
    #[serde(borrow, rename = "Aborted")]
    ClientDisconnected(ClientDisconnected<'a>),
    /// A timer has fired.
    #[serde(rename = "Bell")]
    Timer(Timer),
    /// The result of a health check.
    #[serde(borrow, rename = "Echo")]
    HealthChecked(HealthChecked<'a>),
    /// Gossip of another balancer. The policy exchanges none, and it is ignored.
    Peer {
        /// Required on the wire like everywhere.
        #[serde(rename = "BalancerId")]
        _balancer: u64,
    },
}

/// `BeginBatch`.
#[derive(Deserialize)]
pub struct BatchStart {
    /// The clock of all events of the batch, in milliseconds.
    #[serde(rename = "NowMs")]
    pub now_ms: f64,
}

/// `Table`.
#[derive(Deserialize)]
pub struct EndpointTable {
    /// Its number; a later table with the same number replaces it.
    #[serde(rename = "SetId")]
    pub id: u64,
    /// The endpoints.
    #[serde(rename = "Items")]
    pub entries: Vec<EndpointEntry>,
}

/// An entry of a `Table`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct EndpointEntry {
    /// Address and port; the upstream's name on the wire.
    #[serde(rename = "Upstream")]
    pub address: String,
    /// Name of its zone.
    #[serde(rename = "Locality")]
    pub zone: String,
    /// Name of its kind of machine.
    #[serde(rename = "Machine")]
    pub machine_kind: String,
    /// Its cell: a small group of servers that drop each other's repeats.
    #[serde(rename = "Group", default)]
    pub cell: u32,
    /// Whether it may be sent requests.
    #[serde(rename = "Condition")]
    pub state: EndpointState,
    /// Its weight; `Setup.Weights` says what it means.
    #[serde(default = "unit_weight")]
    pub weight: f64,
    /// Clock time of its last start, in milliseconds; 0 for long ago.
    #[serde(default)]
    pub last_start_ms: f64,
}

/// State of an endpoint.
#[derive(Clone, Copy, Deserialize)]
pub enum EndpointState {
    /// Accepts requests.
    #[serde(rename = "on")]
    Ready,
    /// Completes what it has; new requests must not be sent.
    #[serde(rename = "fading")]
    Draining,
    /// No longer in the list.
    #[serde(rename = "off")]
    Removed,
}

/// `PowerOn`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct BalancerStart {
    /// The balancer.
    pub balancer_id: u64,
    /// Seed of its random numbers.
    pub rng_seed: u64,
    /// Its settings.
    pub setup: Box<Setup>,
}

/// `Teardown`.
#[derive(Deserialize)]
pub struct BalancerStop {
    /// The balancer.
    #[serde(rename = "BalancerId")]
    pub balancer_id: u64,
}

/// `Fleet`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct EndpointList {
    /// The balancer that is notified.
    pub balancer_id: u64,
    /// How the entries relate to the list that the balancer has.
    #[serde(rename = "Form")]
    pub kind: ListKind,
    /// The `Table` with the entries; without meaning where the call failed.
    #[serde(rename = "SetId", default)]
    pub table_id: u64,
}

/// How an endpoint list relates to the one that the balancer has.
#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    #[serde(rename = "patch")]
    Delta,
    /// The complete list.
    #[serde(rename = "whole")]
    Snapshot,
    /// The complete list as last held before a restart.
    #[serde(rename = "stale_copy")]
    CachedSnapshot,
    /// Discovery did not answer: no entries.
    #[serde(rename = "broken")]
    Failed,
}

/// `JobIn`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Request<'a> {
    /// The balancer that received it.
    pub balancer_id: u64,
    /// Id of the request on the wire.
    #[serde(rename = "Rid", borrow)]
    pub wire_id: Cow<'a, str>,
    /// Its tenant.
    #[serde(rename = "Owner", default, borrow)]
    pub tenant: Option<TenantName<'a>>,
    /// Estimate of its work, in milliseconds on a standard core.
    #[serde(default)]
    pub expected_ms: Option<f64>,
    /// Name of its class.
    #[serde(rename = "Lane", borrow)]
    pub class: Cow<'a, str>,
    /// Time until the client gives up, in milliseconds.
    pub time_left_ms: f64,
    /// Whether the client marked it as a repeat of an earlier request.
    #[serde(rename = "Retry", default)]
    pub marked_retry: bool,
}

/// The tenant of a request.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum TenantName<'a> {
    /// Its name.
    #[serde(borrow)]
    Name(Cow<'a, str>),
    /// A number (0) at sites without tenants.
    None(#[expect(dead_code, reason = "parsed only to reject what is neither name nor number")] u64),
}

/// `AckFirst`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct FirstByte<'a> {
    /// The balancer that holds the request.
    pub balancer_id: u64,
    /// Id of the request on the wire.
    #[serde(rename = "Rid", borrow)]
    pub wire_id: Cow<'a, str>,
    /// Number of the attempt, from 0.
    #[serde(rename = "Trial")]
    pub attempt: u32,
}

/// `Resolved`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct AttemptEnded<'a> {
    /// The balancer that sent the attempt.
    pub balancer_id: u64,
    /// Id of the request on the wire.
    #[serde(rename = "Rid", borrow)]
    pub wire_id: Cow<'a, str>,
    /// Number of the attempt, from 0.
    #[serde(rename = "Trial")]
    pub attempt: u32,
    /// Address of the upstream.
    #[serde(borrow)]
    pub upstream: Cow<'a, str>,
    /// How the attempt ended.
    #[serde(rename = "Disposition")]
    pub outcome: Outcome,
    /// Time since the attempt was sent, in milliseconds.
    pub time_taken_ms: f64,
    /// Whether the request has its final response, by this outcome or earlier.
    #[serde(rename = "Final", default)]
    pub is_final: bool,
    /// Load report of the upstream.
    #[serde(default)]
    pub load: Option<LoadReport>,
}

/// `Aborted`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ClientDisconnected<'a> {
    /// The balancer that holds the request.
    pub balancer_id: u64,
    /// Id of the request on the wire.
    #[serde(rename = "Rid", borrow)]
    pub wire_id: Cow<'a, str>,
}

/// `Bell`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Timer {
    /// The balancer that set the timer.
    pub balancer_id: u64,
    /// The token that the timer was set with.
    #[serde(rename = "Ctx")]
    pub token: u64,
}

/// `Echo`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HealthChecked<'a> {
    /// The balancer that sent the health check.
    pub balancer_id: u64,
    /// Address of the upstream.
    #[serde(borrow)]
    pub upstream: Cow<'a, str>,
    /// How the health check ended.
    #[serde(rename = "Disposition")]
    pub outcome: Outcome,
    /// Time since the health check was sent, in milliseconds.
    pub time_taken_ms: f64,
    /// Load report of the upstream.
    #[serde(default)]
    pub load: Option<LoadReport>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Deserialize)]
pub enum Outcome {
    /// Served.
    #[serde(rename = "S")]
    Served,
    /// The upstream responded with an error.
    #[serde(rename = "E")]
    Error,
    /// Rejected by the upstream; it did not run.
    #[serde(rename = "F")]
    Rejected,
    /// No response in time.
    #[serde(rename = "T")]
    TimedOut,
    /// No connection in time; it did not run.
    #[serde(rename = "C")]
    ConnectFailed,
    /// The connection failed with the attempt in flight.
    #[serde(rename = "R")]
    Reset,
    /// Cancelled by the balancer.
    #[serde(rename = "X")]
    Cancelled,
    /// Never sent.
    #[serde(rename = "N")]
    NotSent,
}

/// A load report; which values it has differs between sites.
#[derive(Clone, Copy, Deserialize)]
pub struct LoadReport {
    /// Requests in flight.
    #[serde(rename = "outstanding")]
    pub in_flight: Option<f64>,
    /// Requests queued.
    #[serde(rename = "backlog")]
    pub queued: Option<f64>,
    /// Fraction of the processor in use.
    pub utilization: Option<f64>,
    /// Requests served per second.
    pub throughput: Option<f64>,
    /// Recent service time, in milliseconds.
    #[serde(rename = "recent_ms")]
    pub latency_ms: Option<f64>,
    /// Errors per second.
    #[serde(rename = "errors_per_s")]
    pub errors_per_second: Option<f64>,
}
