//! The messages that the simulator sends, one per line. Unknown keys are ignored.

mod balancer;
mod endpoints;
mod request;
mod result;

use serde::Deserialize;

pub use balancer::{BalancerStart, BalancerStop, Timer};
pub use endpoints::{EndpointEntry, EndpointList, EndpointState, EndpointTable, ListKind};
pub use request::{ClientDisconnected, FirstByte, Request, TenantName};
pub use result::{AttemptEnded, HealthChecked, LoadReport, Outcome};

/// A message from the simulator.
#[derive(Deserialize)]
pub enum Message<'a> {
    /// Begins a batch.
    BeginBatch(BatchStart),
    /// Ends a batch, after which the reply is sent.
    Commit {},
    /// Defines a list of endpoints for later reference.
    Table(EndpointTable),
    /// Starts a balancer.
    #[serde(rename = "PowerOn")]
    BalancerStart(BalancerStart),
    /// Stops a balancer, which loses all its state.
    #[serde(rename = "Teardown")]
    BalancerStop(BalancerStop),
    /// A watch event, or the result of a poll of discovery.
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
    /// Gossip from another balancer. It is ignored, because the policy uses no gossip.
    #[serde(rename = "Peer")]
    Gossip {
        /// Id of the balancer that receives the gossip. The key is required.
        #[serde(rename = "BalancerId")]
        _balancer: u64,
    },
}

/// The start of a batch (`BeginBatch`).
#[derive(Deserialize)]
pub struct BatchStart {
    /// Time of all events of the batch, in milliseconds.
    #[serde(rename = "NowMs")]
    pub now_ms: f64,
}
