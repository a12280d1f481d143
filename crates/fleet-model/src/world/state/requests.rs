//! Records of requests, attempts and jobs.

use zincstand_policy::Micros;

use crate::server::JobIndex;
use crate::world::index::{ArrivalIndex, AttemptIndex, ProcessIndex, RequestIndex, ServerIndex};

/// The latest attempt of a client.
#[derive(Clone, Copy, Default)]
pub(in crate::world) struct ClientAttempt {
    /// Number of the attempt, from 0. It increases with each retry.
    pub number: u32,
    /// Whether the client still waits for the reply.
    pub pending: bool,
}

impl ClientAttempt {
    /// Whether the client still waits for the reply to this attempt.
    pub fn waits_for(self, number: u32) -> bool {
        self.pending && self.number == number
    }
}

/// The caller of a balancer.
#[derive(Clone, Copy)]
pub(in crate::world) enum Caller {
    /// A client, with the number of its attempt.
    Client { arrival: ArrivalIndex, number: u32 },
    /// A job at a server of the previous tier.
    Job(JobIndex),
}

/// A request at a balancer's process.
pub(in crate::world) struct Request {
    /// The process that received the request.
    pub process: ProcessIndex,
    /// The caller, which receives the final response.
    pub caller: Caller,
    /// The request of a client that this request belongs to.
    pub arrival: ArrivalIndex,
    /// Index of the class.
    pub class: usize,
    /// Deadline, on the world's clock.
    pub deadline: Micros,
    /// Whether the request has its final response, or its caller no longer waits for one.
    pub closed: bool,
    /// Number of attempts sent.
    pub attempts_sent: u32,
    /// Number of attempts without an outcome.
    pub attempts_in_flight: u32,
    /// The earliest attempt that a server may have executed. `None` if no server can have executed the request.
    pub possible_run: Option<PossibleRun>,
    /// Time since which no attempt is in flight.
    pub idle_since: Micros,
    /// The latest attempt in flight.
    pub latest_attempt: Option<AttemptIndex>,
}

/// An attempt that a server may have executed.
#[derive(Clone, Copy)]
pub(in crate::world) struct PossibleRun {
    /// The attempt.
    pub attempt: AttemptIndex,
    /// Time at which it was sent.
    pub sent_at: Micros,
    /// Cell of the server that it was sent to.
    pub cell: u32,
}

/// The connection that an attempt uses.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(in crate::world) enum AttemptConnection {
    /// The attempt was not sent.
    None,
    /// An idle connection was reused.
    Reused,
    /// A new connection is needed, and is not established.
    Connecting,
    /// A new connection, counted in the server's table.
    New,
}

impl AttemptConnection {
    /// Whether the attempt needed a new connection.
    pub fn is_new(self) -> bool {
        matches!(self, AttemptConnection::Connecting | AttemptConnection::New)
    }

    /// Whether the attempt holds a connection at the server.
    pub fn is_established(self) -> bool {
        matches!(self, AttemptConnection::Reused | AttemptConnection::New)
    }
}

/// One attempt of a request at a server.
pub(in crate::world) struct Attempt {
    /// The request.
    pub request: RequestIndex,
    /// The attempt's number within its request, from 0.
    pub number: u32,
    /// The process that sent the attempt.
    pub process: ProcessIndex,
    /// The server that the balancer chose.
    pub server: ServerIndex,
    /// The server that had the address of the chosen server when the attempt was sent.
    pub destination: ServerIndex,
    /// Time at which the attempt was sent.
    pub sent: Micros,
    /// Time limit, in microseconds from `sent`.
    pub limit: Micros,
    /// Whether the balancer has an outcome, or gave the attempt up.
    pub ended: bool,
    /// The connection that the attempt uses.
    pub connection: AttemptConnection,
    /// Epoch of the process of the destination that the connection leads to.
    pub epoch: u32,
    /// The job at the server. `None` before the server has accepted the attempt.
    pub job: Option<JobIndex>,
    /// Key of the random draws of the attempt. It does not depend on earlier decisions of the policy.
    pub key: u64,
}

/// Phase of a job.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(in crate::world) enum JobPhase {
    /// It waits in the queue.
    Waiting,
    /// It occupies a slot and runs.
    Running,
    /// It occupies a slot and waits for its call of the next tier.
    Calling,
}

/// An attempt's execution at a server.
pub(in crate::world) struct Job {
    /// The attempt.
    pub attempt: AttemptIndex,
    /// The server.
    pub server: ServerIndex,
    /// Epoch of the server's process that executes the job.
    pub epoch: u32,
    /// The request of a client that the job belongs to.
    pub arrival: ArrivalIndex,
    /// The current phase.
    pub phase: JobPhase,
    /// Time at which the phase began.
    pub since: Micros,
    /// Work of the current or next segment, in microseconds.
    pub segment: f64,
    /// Work of each segment after a call, in microseconds.
    pub segment_between_calls: f64,
    /// Number of calls of the next tier that are still to be made.
    pub calls_left: u32,
    /// Work done for the job so far in all tiers, in microseconds.
    pub useful: f64,
    /// The call of the next tier that is in flight, if any.
    pub call: Option<RequestIndex>,
}
