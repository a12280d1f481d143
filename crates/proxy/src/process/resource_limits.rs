//! The division of the balancer's descriptors and memory between its processes, and of a process's share between clients
//! and upstreams.

use crate::config::Config;
use crate::memory::process_share;

/// Number of descriptors that are reserved for purposes other than connections to clients and upstreams: the runtime, the
/// listeners, discovery, the files in `TMPDIR`, admin connections and the standard streams.
const RESERVED_DESCRIPTORS: usize = 40;
/// Minimum number of descriptors for connections: one to a client and one to an upstream.
const MIN_CONNECTION_DESCRIPTORS: usize = 2;
/// Share of the connection descriptors that client connections may use. Upstream connections use the rest.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.55;

/// The resources that all processes of this balancer together may use.
#[derive(Clone, Copy)]
pub struct ResourceBudget {
    /// Number of descriptors.
    descriptors: usize,
    /// Memory in bytes.
    memory_bytes: usize,
}

/// The resources that one process may use.
pub struct ResourceLimits {
    /// Maximum number of connections to upstreams.
    pub upstream_connections: usize,
    /// Maximum number of connections of clients.
    pub client_connections: usize,
    /// Memory in bytes.
    pub memory_bytes: usize,
}

impl ResourceBudget {
    /// Returns the budget that the configuration sets.
    pub fn new(config: &Config) -> ResourceBudget {
        ResourceBudget { descriptors: config.max_descriptors, memory_bytes: config.max_memory_bytes }
    }

    /// Returns the limits of one process if `processes` processes share the budget.
    ///
    /// # Panics
    /// `processes` is 0.
    pub fn limits_per_process(self, processes: usize) -> ResourceLimits {
        let connections = (self.descriptors / processes)
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CONNECTION_DESCRIPTORS);
        let client_connections = ((connections as f64 * CLIENT_DESCRIPTOR_SHARE) as usize).max(1);
        ResourceLimits {
            upstream_connections: connections - client_connections,
            client_connections,
            memory_bytes: process_share(self.memory_bytes, processes),
        }
    }
}

#[cfg(test)]
mod tests;
