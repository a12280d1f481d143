//! A request of a client, from its arrival to its end.

use zincstand_policy::Micros;

use super::Cause;

/// End of a request of a client, retries included, with its time in microseconds since the start of the scenario.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// The request has not ended.
    #[default]
    Open,
    /// The client received the response.
    Served(Micros),
    /// The last attempt was rejected.
    Rejected(Micros),
    /// The last attempt failed or reached its time limit.
    Failed(Micros),
}

/// Time that a request spent at a server without being worked on.
#[derive(Clone, Copy, Debug)]
struct ServerStay {
    server: u32,
    /// In microseconds.
    time: u32,
}

/// A request of a client with its work, its attempts and its end.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    /// Time of the first attempt, in microseconds since the start of the scenario.
    pub at: Micros,
    /// Index of the client's zone.
    pub zone: u32,
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant. `None` in a scenario without tenants.
    pub tenant: Option<usize>,
    /// Whether the tenant was within its quota.
    pub within_quota: bool,
    /// Work in microseconds. Each tier multiplies it by its own factor.
    pub work: f64,
    /// End of the request.
    pub end: RequestEnd,
    /// Number of attempts that balancers sent to servers.
    pub attempts: u32,
    /// Time in microseconds that was charged to each cause.
    charges: [u32; Cause::ALL.len()],
    /// The longest time at a server.
    longest_stay: Option<ServerStay>,
}

impl Arrival {
    /// Creates a request that is within its quota and has not ended.
    pub fn new(at: Micros, zone: u32, class: usize, tenant: Option<usize>, work: f64) -> Arrival {
        Arrival {
            at,
            zone,
            class,
            tenant,
            within_quota: true,
            work,
            end: RequestEnd::Open,
            attempts: 0,
            charges: [0; Cause::ALL.len()],
            longest_stay: None,
        }
    }

    /// Charges a time in microseconds to a cause and, if it was spent at a server, to the server.
    pub fn charge(&mut self, cause: Cause, server: Option<u32>, span: Micros) {
        let span = span.min(u64::from(u32::MAX)) as u32;
        let charged = &mut self.charges[cause as usize];
        *charged = charged.saturating_add(span);
        if let Some(server) = server
            && cause != Cause::Work
            && self.longest_stay.is_none_or(|longest| span > longest.time)
        {
            self.longest_stay = Some(ServerStay { server, time: span });
        }
    }

    /// Returns the server at which the request spent the longest time. `None` if it lost no time at a server.
    pub fn worst_server(&self) -> Option<u32> {
        self.longest_stay.map(|stay| stay.server)
    }

    /// Returns the cause that most time was charged to, and the first of equal causes.
    pub fn main_cause(&self) -> Cause {
        if self.attempts == 0 && matches!(self.end, RequestEnd::Rejected(_)) {
            return Cause::Rejected;
        }
        let longest = Cause::ALL
            .into_iter()
            .max_by_key(|cause| (self.charges[*cause as usize], std::cmp::Reverse(*cause)));
        match longest {
            Some(cause) if self.charges[cause as usize] > 0 => cause,
            _ => Cause::TimeOut,
        }
    }
}
