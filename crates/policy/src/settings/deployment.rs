//! The deployment: its discovery and load reports, its limits and rules.

use crate::event::Micros;

/// Meaning of [`ServerEntry::weight`](crate::ServerEntry::weight).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerWeights {
    /// The weight is always 1.
    #[default]
    None,
    /// The registered size of the server.
    Nominal,
    /// An estimate of its size.
    Rough,
    /// Its size, divided by one plus the requests per core that it had when it was last measured.
    Live,
}

/// How the endpoint list arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery sends changes without being polled.
    Push,
    /// Discovery sends the list after [`Action::Watch`](crate::Action::Watch) or
    /// [`Action::Fetch`](crate::Action::Fetch) only.
    Poll,
}

/// How servers report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// With responses, and with the results of health checks.
    Responses,
    /// With the results of health checks only.
    HealthChecks,
    /// Servers report no load.
    None,
}

/// Limits and permissions of the deployment.
#[expect(
    clippy::struct_excessive_bools,
    reason = "permissions that are independent of each other, not states"
)]
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// [`Action::Cancel`](crate::Action::Cancel) may be used.
    pub cancel: bool,
    /// [`Action::HealthCheck`](crate::Action::HealthCheck) may be used.
    pub health_checks: bool,
    /// Two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// Clients receive the `retry_after` of [`Action::Reject`](crate::Action::Reject).
    pub retry_after: bool,
    /// Longest `retry_after` that clients follow.
    pub max_retry_after: Micros,
    /// Maximum number of attempts for one request, the first included. At least 1.
    pub max_attempts: u32,
    /// Maximum number of requests without a final response; 0 for no limit.
    pub max_open_requests: u32,
    /// Maximum number of concurrent attempts on one connection; 0 if unknown.
    pub max_streams: u32,
    /// Time after which an idle connection is closed; 0 if unknown.
    pub idle_timeout: Micros,
    /// Time after which establishing a connection fails with
    /// [`Outcome::ConnectFailed`](crate::Outcome::ConnectFailed); 0 if unknown.
    pub connect_timeout: Micros,
    /// Processor time of the balancer per second; 0 for no limit.
    pub cpu_per_second: Micros,
    /// Processor time for a request and its outcomes, in microseconds; 0 for no limit. Not negative.
    pub cpu_per_request: f64,
}

impl Limits {
    /// Creates limits with all optional actions disabled.
    pub(super) fn sending_only() -> Limits {
        Limits {
            cancel: false,
            health_checks: false,
            hedging: false,
            retry_after: false,
            max_retry_after: 0,
            max_attempts: 4,
            max_open_requests: 0,
            max_streams: 0,
            idle_timeout: 0,
            connect_timeout: 0,
            cpu_per_second: 0,
            cpu_per_request: 0.0,
        }
    }
}

/// The platform's rules on draining, slow start and discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Share of its capacity that a server has at its start. Above 0, at most 1.
    pub initial_capacity: f64,
    /// Time after its start from which a server has its full capacity.
    pub warm_up_time: Micros,
    /// A server that is warming up fails when it receives more than this multiple of its current capacity for
    /// [`overload_window`](Rules::overload_window). Not negative.
    pub overload_factor: f64,
    /// Time for which a server that is warming up withstands an overload.
    pub overload_window: Micros,
    /// Longest time between two polls of discovery without a subscription.
    pub max_poll_interval: Micros,
    /// Time within which a server must stop receiving requests after discovery announces it as removed or
    /// draining.
    pub drain_grace: Micros,
    /// Time after the client's deadline within which a final response still counts.
    pub response_grace: Micros,
}

impl Rules {
    /// Creates the rules of a typical deployment.
    pub(super) fn typical() -> Rules {
        Rules {
            initial_capacity: 0.1,
            warm_up_time: 30_000_000,
            overload_factor: 2.0,
            overload_window: 1_000_000,
            max_poll_interval: 10_000_000,
            drain_grace: 1_000_000,
            response_grace: 20_000,
        }
    }
}
