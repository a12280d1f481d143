//! The goal: weights of the components of the score, and prices.

/// Prices of resources and failures, in points of the score. None is negative.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// Price of attempts across zones, per request.
    pub cross_zone: f64,
    /// Price of health checks, per request.
    pub health_check: f64,
    /// Price of the priority weight of requests that fail after their latency objective.
    pub late_fail: f64,
    /// Price of server work without a served response, per offered work.
    pub waste: f64,
    /// Price of open connections, per hundred servers.
    pub connection: f64,
    /// Price of new connections, per request.
    pub handshake: f64,
    /// Price of entries of the endpoint list, per hundred requests.
    pub discovery: f64,
}

/// Weights of the components of the score. None is negative.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Goal {
    /// Weight of the share of utility over all requests.
    pub overall: f64,
    /// Weight of the share of utility in the worst window of time.
    pub worst_window: f64,
    /// Weight of the share of utility of the worst-served class.
    pub worst_class: f64,
    /// Weight of the share of utility of the worst-served tenant, within its share of the service.
    pub worst_tenant: f64,
    /// Weight of the latency tail. It counts in full only while few requests miss their latency objective.
    pub tail: f64,
    /// Share of the requests that may miss their objective for `tail` to count in full. An early rejection
    /// does not count as a miss.
    pub tail_miss: f64,
}
