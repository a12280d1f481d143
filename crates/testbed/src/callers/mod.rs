//! Callers: clients that send requests to balancers or straight to upstreams.

mod http;
mod open_connections;
mod open_loop;

use std::io;
use std::net::SocketAddr;

pub use open_connections::OpenConnections;
pub use open_loop::{Outcome, Schedule, ScheduledCall, Target, open_loop};

/// Why calls cannot be made.
#[derive(Debug, thiserror::Error)]
pub enum CallerError {
    /// A connection cannot be made.
    #[error("a caller cannot connect to {address}; if descriptors are missing, see `ulimit -n`")]
    Connect {
        /// Who was to be called.
        address: SocketAddr,
        /// The system's reason.
        #[source]
        source: io::Error,
    },
    /// A thread that reads responses cannot be started.
    #[error("a caller has no thread: ask for fewer connections")]
    Thread(#[source] io::Error),
    /// A request cannot be sent.
    #[error("a caller's connection was closed before its request")]
    Send(#[source] io::Error),
    /// A connection's read timeout cannot be set.
    #[error("a caller's connection cannot be read from")]
    Receive(#[source] io::Error),
    /// No response came.
    #[error("a caller's response does not come in time or is broken off")]
    NoResponse,
}
