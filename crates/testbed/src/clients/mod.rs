//! Callers: clients that send requests to balancers, or directly to upstreams.

mod http;
mod open_connections;
mod open_loop;
mod outcome;
mod target_load;

use std::io;
use std::net::SocketAddr;

pub use open_connections::OpenConnections;
pub use open_loop::{Schedule, ScheduledRequest, Target, run_open_loop};
pub use outcome::Outcome;

/// An error of making calls.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// A connection cannot be established.
    #[error("a caller cannot connect to {address}; if descriptors are missing, see `ulimit -n`")]
    Connect {
        /// The address of the target.
        address: SocketAddr,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// A thread that reads responses cannot be started.
    #[error("a caller has no thread: ask for fewer connections")]
    Thread(#[source] io::Error),
    /// A request cannot be written.
    #[error("a caller's connection was closed before its request")]
    Send(#[source] io::Error),
    /// A connection's read timeout cannot be set.
    #[error("a caller's connection cannot be read from")]
    Receive(#[source] io::Error),
    /// The histogram of latencies cannot be created.
    #[error("a caller cannot create its histogram of latencies")]
    Histogram(#[source] hdrhistogram::CreationError),
    /// A response did not arrive completely in time.
    #[error("a caller's response does not come in time or is broken off")]
    NoResponse,
}
