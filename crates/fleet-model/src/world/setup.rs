//! Construction of the world at the beginning of a scenario.

use super::event::{EventQueue, WorldEvent};
use super::index::ServerIndex;
use super::state::{ClientAttempt, FrontBalancer};
use super::{MICROS_PER_SECOND, PolicyFactory, World, arrivals};
use crate::scenario::Scenario;
use crate::scoring::Metrics;
use crate::server::{Server, ServerPlace};
use crate::table::Table;

impl<'d> World<'d> {
    /// Builds the world of a scenario. The order of the steps determines the order of events of the same instant.
    pub(super) fn new(scenario: &'d Scenario, create_policy: PolicyFactory<'d>, detail: bool) -> World<'d> {
        let mut world = World::empty(scenario, create_policy, detail);
        world.add_servers();
        let arrivals = arrivals::draw_arrivals(scenario);
        world.client_attempts = Table::from(vec![ClientAttempt::default(); arrivals.len()]);
        world.arrivals = Table::from(arrivals);
        for server in world.servers.indexes() {
            world.schedule_pause(server, 0, 0);
            world.list_initial_server(server);
        }
        world.start_balancers();
        world.update_front_routes();
        world.schedule_faults();
        world.schedule_arrivals();
        if detail {
            world.schedule_at(MICROS_PER_SECOND / 2, WorldEvent::SampleServers);
        }
        world
    }

    fn empty(scenario: &'d Scenario, create_policy: PolicyFactory<'d>, detail: bool) -> World<'d> {
        World {
            scenario,
            create_policy,
            now: 0,
            queue: EventQueue::default(),
            arrivals: Table::default(),
            client_attempts: Table::default(),
            servers: Table::default(),
            server_at_address: Vec::new(),
            first_address_of_tier: Vec::new(),
            front_balancers: Vec::new(),
            front_routes: vec![Vec::new(); scenario.zones.len()],
            processes: Table::default(),
            sidecars: Table::default(),
            requests: Table::default(),
            attempts: Table::default(),
            jobs: Table::default(),
            discovery_log: scenario.tiers.iter().map(|_| Vec::new()).collect(),
            discovery_down: false,
            partitioned_zones: vec![false; scenario.zones.len()],
            excluded_by_operator: Vec::new(),
            heavy_tails: Vec::new(),
            collapsed: 0,
            metrics: Metrics::default(),
            actions: Vec::new(),
            samples: detail.then(Vec::new),
            start_recording: None,
        }
    }

    fn add_servers(&mut self) {
        let scenario = self.scenario;
        let mut cell = 0;
        for (tier_index, tier) in scenario.tiers.iter().enumerate() {
            self.first_address_of_tier.push(self.servers.len());
            for (zone, &count) in tier.servers.iter().enumerate() {
                for in_zone in 0..count {
                    let number = self.servers.len();
                    // A cell never spans two zones.
                    cell += u32::from(in_zone % tier.cell_size == 0);
                    let place = ServerPlace { tier: tier_index, zone: zone as u32, cell, address: number };
                    self.servers.push(Server::new(scenario.seed, number as u64, tier, place));
                    self.server_at_address.push(number as ServerIndex);
                    self.sidecars.push(None);
                }
            }
        }
    }

    fn start_balancers(&mut self) {
        let scenario = self.scenario;
        for (balancer, name) in scenario.balancers.zones.iter().enumerate() {
            let zone = scenario.zones.iter().position(|zone| zone == name).unwrap_or(0) as u32;
            self.front_balancers.push(FrontBalancer { zone, process: None, listed: true });
            self.start_front_balancer(balancer, None);
        }
        for server in self.servers.indexes() {
            self.start_sidecar(server);
        }
    }

    fn schedule_arrivals(&mut self) {
        for arrival in self.arrivals.indexes() {
            let at = self.arrivals[arrival].at;
            self.schedule_at(at, WorldEvent::ClientAttempt { arrival, number: 0 });
        }
    }
}
