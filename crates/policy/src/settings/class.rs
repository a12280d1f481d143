//! Classes of requests, and the tenants that send them.

use crate::event::Micros;

/// Whether and where the requests of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// They may be repeated at any server.
    Idempotent,
    /// They carry an idempotency key: the servers of a scope drop repeats within a window, which begins with
    /// the earliest attempt that may have run.
    WithKey {
        /// The servers that drop repeats of each other's requests.
        scope: DedupScope,
        /// Length of the window.
        window: Micros,
    },
    /// They must never run twice.
    NotIdempotent,
}

/// The servers that recognize and drop repeats of each other's requests with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers of the tier.
    All,
    /// Servers of the same zone.
    Zone,
    /// Servers of the same cell.
    Cell,
}

/// Settings of a class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Whether and where its requests may be repeated.
    pub idempotency: Idempotency,
    /// A response within this time counts with the full [`priority_weight`](Class::priority_weight). Above 0.
    pub latency_objective: Micros,
    /// The latency objective grows by this multiple of the hinted work of a request. Not negative.
    pub objective_per_work: f64,
    /// How long a client waits for a final response. Above 0.
    pub deadline: Micros,
    /// Weight of one request, or of a unit of its work (see
    /// [`Settings::weight_by_work`](crate::Settings::weight_by_work)), relative to other classes. Not
    /// negative.
    pub priority_weight: f64,
    /// Share of the weight with which a response after the latency objective counts. Not negative.
    pub late_weight: f64,
    /// The response is a stream: [`Event::FirstByte`](crate::Event::FirstByte) marks its start.
    pub streaming: bool,
}

/// Settings of a tenant of a shared service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Share of the service that the tenant has. Not negative.
    pub share: f64,
    /// Requests per second within the share, over all balancers. The weight of a request beyond them is
    /// multiplied by [`Settings::over_quota_weight`](crate::Settings::over_quota_weight). Not negative.
    pub quota: f64,
}
