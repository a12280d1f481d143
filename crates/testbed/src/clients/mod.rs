//! Clients that send requests to balancers, or directly to upstreams.

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

/// An error of sending requests or receiving responses.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// A connection cannot be established.
    #[error(
        "a client cannot connect to {address}: if the limit on descriptors is reached, raise `ulimit -n`"
    )]
    Connect {
        /// The address of the target.
        address: SocketAddr,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// A thread that reads responses cannot be started.
    #[error("a thread that reads responses cannot be started: ask for fewer connections")]
    Thread(#[source] io::Error),
    /// A request cannot be written.
    #[error("a request cannot be written: the connection was closed")]
    Send(#[source] io::Error),
    /// A connection's read timeout cannot be set.
    #[error("the read timeout of a client's connection cannot be set")]
    Receive(#[source] io::Error),
    /// The histogram of latencies cannot be created.
    #[error("the histogram of latencies cannot be created")]
    Histogram(#[source] hdrhistogram::CreationError),
    /// A response did not arrive completely in time.
    #[error("a response was not received completely within the timeout")]
    NoResponse,
}
