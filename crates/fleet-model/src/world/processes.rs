//! Start and end of balancer processes.

use rand::RngExt;
use zincstand_policy::{LearnedState, Micros};

use super::event::{Reply, UpdateScope, WorldEvent};
use super::index::{ProcessIndex, ServerIndex};
use super::state::{BalancerPlace, Caller, FrontBalancer, Process};
use super::{World, keys};
use crate::policy::Policy;
use crate::random::{self, Purpose};
use crate::scenario::DiscoveryMode;

/// Time from the start of a process until discovery sends it the first endpoint list.
const FIRST_LIST_DELAY: Micros = 20_000;

/// How clients detect the end of a balancer's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessEnd {
    /// The clients' connections are reset.
    ConnectionsReset,
    /// Clients do not detect the end, and wait until their time limits expire.
    Silent,
}

impl World<'_> {
    /// Starts a process of a balancer, with the last endpoint list of its predecessor, or the current list if it has no
    /// predecessor.
    fn start_process(&mut self, place: BalancerPlace, predecessor: Option<ProcessIndex>) -> ProcessIndex {
        let policy = self.start_policy(place);
        let clock_offset = self.clock_offset(place);
        let push_mode = self.scenario.discovery.mode == DiscoveryMode::Push;
        let process = self
            .processes
            .push(Process { watching: push_mode, ..Process::new(place, policy, clock_offset, self.now) });
        let position = match predecessor {
            Some(predecessor) => self.processes[predecessor].log_position,
            None => self.discovery_log[place.tier].len(),
        };
        self.restore_cached_list(process, position);
        if push_mode {
            let event = WorldEvent::DiscoveryUpdate { process, scope: UpdateScope::Snapshot };
            self.schedule_after(FIRST_LIST_DELAY, event);
        }
        process
    }

    /// Creates the policy of the next process.
    fn start_policy(&self, place: BalancerPlace) -> Box<dyn Policy> {
        let number = u64::from(self.processes.next_index());
        let settings = self.scenario.settings(place.tier, place.balancer, place.zone);
        let seed = random::stream(self.scenario.seed, Purpose::Process, number).random();
        (self.create_policy)(settings, seed)
            .unwrap_or_else(|error| unreachable!("the settings were checked before the run started: {error}"))
    }

    /// Returns the time by which the clock of a balancer is ahead of the world's clock.
    fn clock_offset(&self, place: BalancerPlace) -> Micros {
        let key = keys::balancer_clock(place.balancer, place.tier);
        let drawn = random::unit(self.scenario.seed, Purpose::Process, key);
        (self.scenario.balancers.clock_spread.0 as f64 * drawn) as Micros
    }

    /// Starts a process of a balancer of the first tier. It restores `learned`, the state of a predecessor, if given.
    pub(super) fn start_front_balancer(&mut self, balancer: usize, learned: Option<LearnedState>) {
        let FrontBalancer { zone, process: predecessor, .. } = self.front_balancers[balancer];
        let place = BalancerPlace { tier: 0, balancer: balancer as u32, zone };
        let process = self.start_process(place, predecessor);
        if let Some(learned) = learned {
            let record = &mut self.processes[process];
            record.policy.restore(self.now + record.clock_offset, &learned);
        }
        self.front_balancers[balancer].process = Some(process);
    }

    /// Starts the balancer through which a server calls the next tier. Has no effect in the last tier.
    pub(super) fn start_sidecar(&mut self, server: ServerIndex) {
        let record = &self.servers[server];
        let tier = record.tier;
        let zone = record.zone;
        if tier + 1 < self.scenario.tiers.len() {
            let balancer = (record.address - self.first_address_of_tier[tier]) as u32;
            let predecessor = self.sidecars[server];
            let place = BalancerPlace { tier: tier + 1, balancer, zone };
            let process = self.start_process(place, predecessor);
            self.sidecars[server] = Some(process);
        }
    }

    /// Ends a process with its requests, attempts and connections.
    pub(super) fn end_process(&mut self, process: ProcessIndex, end: ProcessEnd) {
        let record = &mut self.processes[process];
        record.alive = false;
        record.inbox.clear();
        record.recent_events.clear();
        let open_requests = std::mem::take(&mut record.open_requests);
        let attempts = std::mem::take(&mut record.attempts_in_flight);
        let idle_connections = std::mem::take(&mut record.idle_connections);
        for (address, idle) in idle_connections {
            for connection in idle.connections {
                self.disconnect(self.server_at_address[address as usize], connection.epoch);
            }
        }
        let latency = self.scenario.network.client.0;
        for request in open_requests {
            let request = &mut self.requests[request];
            request.closed = true;
            if let (Caller::Client { arrival, number }, ProcessEnd::ConnectionsReset) = (request.caller, end)
            {
                let reply = Reply::Unreachable;
                let event = WorldEvent::ReplyArrived { arrival, number, reply, useful: 0.0 };
                self.schedule_after(latency, event);
            }
        }
        for attempt in attempts {
            self.end_attempt(attempt, false);
        }
    }
}
