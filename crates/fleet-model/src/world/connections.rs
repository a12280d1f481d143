//! Idle connections between balancers and servers.

use super::World;
use super::event::WorldEvent;
use super::index::{ProcessIndex, ServerIndex};
use super::state::IdleConnection;

impl World<'_> {
    /// Takes the most recently used idle connection to a server and returns whether there was one. Closes the idle
    /// connections that have exceeded the idle limit.
    pub(super) fn take_idle_connection(&mut self, process: ProcessIndex, server: ServerIndex) -> bool {
        let record = &self.servers[server];
        let epoch = record.epoch;
        let address = record.address as u32;
        let idle_limit = self.scenario.tiers[record.tier].connections.idle_timeout.0;
        let mut found = false;
        let mut expired = 0;
        if let Some(idle) = self.processes[process].idle_connections.get_mut(&address) {
            // The balancer detects that connections break when the process of a server ends, but not when its machine
            // vanishes.
            while let Some(connection) = idle.connections.pop_back() {
                if connection.epoch == epoch && connection.since + idle_limit > self.now {
                    found = true;
                    break;
                }
                expired += u32::from(connection.epoch == epoch);
            }
        }
        for _ in 0..expired {
            self.disconnect(server, epoch);
        }
        found
    }

    /// Returns a connection to the pool for later attempts.
    pub(super) fn pool_connection(&mut self, process: ProcessIndex, server: ServerIndex, epoch: u32) {
        let server = &self.servers[server];
        let address = server.address as u32;
        let idle_limit = self.scenario.tiers[server.tier].connections.idle_timeout.0;
        let idle = self.processes[process].idle_connections.entry(address).or_default();
        idle.connections.push_back(IdleConnection { since: self.now, epoch });
        if !idle.check_scheduled {
            idle.check_scheduled = true;
            self.schedule_after(idle_limit, WorldEvent::CloseIdleConnections { process, address });
        }
    }

    /// Closes connections that have exceeded the idle limit of the server.
    pub(super) fn close_idle_connections(&mut self, process: ProcessIndex, address: u32) {
        let server = self.server_at_address[address as usize];
        let record = &self.servers[server];
        let epoch = record.epoch;
        let idle_limit = self.scenario.tiers[record.tier].connections.idle_timeout.0;
        let Some(idle) = self.processes[process].idle_connections.get_mut(&address) else { return };
        let mut closed = 0;
        while let Some(connection) = idle.connections.front() {
            if connection.epoch == epoch && connection.since + idle_limit > self.now {
                break;
            }
            closed += u32::from(connection.epoch == epoch);
            idle.connections.pop_front();
        }
        let next_check = idle.connections.front().map(|connection| connection.since + idle_limit);
        idle.check_scheduled = next_check.is_some();
        for _ in 0..closed {
            self.disconnect(server, epoch);
        }
        if let Some(at) = next_check {
            self.schedule_at(at, WorldEvent::CloseIdleConnections { process, address });
        }
    }

    /// Closes all idle connections of a process to an address.
    pub(super) fn drop_idle_connections(&mut self, process: ProcessIndex, address: u32) {
        let Some(idle) = self.processes[process].idle_connections.get_mut(&address) else { return };
        for connection in std::mem::take(&mut idle.connections) {
            self.disconnect(self.server_at_address[address as usize], connection.epoch);
        }
    }

    /// Closes a connection to a server's process. Has no effect if that process has ended.
    pub(super) fn disconnect(&mut self, server: ServerIndex, epoch: u32) {
        let server = &mut self.servers[server];
        if server.epoch == epoch && server.connections > 0 {
            server.connections -= 1;
        }
    }
}
