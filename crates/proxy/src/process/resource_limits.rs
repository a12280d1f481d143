//! The division of the balancer's descriptors and memory between its processes, and within one of them between
//! clients and upstreams.

use crate::config::Config;
use crate::downstream::ConnectionLimits;

/// Descriptors that neither clients nor upstreams get: the runtime, the signals, the listeners, discovery, the lock
/// files, operators' calls and the standard streams need them.
const RESERVED_DESCRIPTORS: usize = 40;
/// The least number of descriptors for connections: one to a client and one to an upstream.
const MIN_CONNECTION_DESCRIPTORS: usize = 2;
/// Share of the connection descriptors that clients may hold; upstreams have the rest.
const CLIENT_SHARE: f64 = 0.55;
/// Share of the memory that the bodies of active requests and their responses may fill. The rest is for what each
/// connection needs besides: with 32 MB and 256 descriptors, 8 KB buffers and heads take 5 MB and the program 2 MB.
const BODY_MEMORY_SHARE: f64 = 0.4;

/// What all processes of this balancer together may hold.
#[derive(Clone, Copy)]
pub struct ResourceBudget {
    /// Descriptors.
    descriptors: usize,
    /// Memory in bytes.
    memory: usize,
}

/// What one process may hold.
pub struct ResourceLimits {
    /// Connections to upstreams.
    pub upstream_connections: usize,
    /// The clients' connections and bodies.
    pub client: ConnectionLimits,
}

impl ResourceBudget {
    /// The budget that the configuration sets.
    pub fn new(config: &Config) -> ResourceBudget {
        ResourceBudget { descriptors: config.max_descriptors, memory: config.max_memory }
    }

    /// The limits of each of `processes` processes, which is at least 1.
    pub fn limits_of_one(self, processes: usize) -> ResourceLimits {
        let connections = (self.descriptors / processes)
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CONNECTION_DESCRIPTORS);
        let client_connections = ((connections as f64 * CLIENT_SHARE) as usize).max(1);
        let body_bytes = (self.memory as f64 * BODY_MEMORY_SHARE) as usize / processes;
        ResourceLimits {
            upstream_connections: connections - client_connections,
            client: ConnectionLimits { connections: client_connections, body_bytes },
        }
    }
}

#[cfg(test)]
mod tests;
