//! The scenario without faults that all kinds start from: two zones, two tiers, three classes and three tenants.

mod classes;
mod environment;
mod tiers;
mod traffic;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::Size;
use crate::random::{self, Purpose, uniform};
use crate::scenario::{Goal, Limits, Prices, Rules, Scenario, Tier};
use crate::span::Span;

pub(crate) use self::classes::mean_work;
pub(crate) use self::tiers::split_between_zones;

/// Number of the random stream from which the scenario without faults is drawn.
const BASE_STREAM: u64 = 999;
/// Zones of every drawn scenario.
const ZONES: [&str; 2] = ["dakar", "thies"];

/// Numbers of servers and balancers of the first tier.
struct FleetSize {
    first_tier_servers: u32,
    balancers: u32,
}

impl FleetSize {
    fn draw(rng: &mut ChaCha8Rng, size: Size) -> FleetSize {
        match size {
            Size::Small => FleetSize { first_tier_servers: 4, balancers: 2 },
            Size::Site => FleetSize { first_tier_servers: integer(rng, 6, 8), balancers: integer(rng, 2, 3) },
            Size::Vast => FleetSize { first_tier_servers: 27, balancers: 73 },
            Size::Huge => FleetSize { first_tier_servers: 270, balancers: 730 },
        }
    }
}

/// Draws an integer between two bounds, both included.
fn integer(rng: &mut ChaCha8Rng, from: u32, to: u32) -> u32 {
    rng.random_range(from..=to)
}

/// Draws the scenario without faults of a kind with these parts. Its name is empty.
pub(in crate::catalog) fn draw(seed: u64, size: Size, parts: &[&str]) -> Scenario {
    let rng = &mut random::stream(seed, Purpose::Failure, BASE_STREAM);
    let fleet = FleetSize::draw(rng, size);
    let second_tier_servers = (f64::from(fleet.first_tier_servers) * uniform(rng, (1.1, 1.3))).round() as u32;
    let first_zone_share = uniform(rng, (0.37, 0.79));
    let mut tiers = tiers::draw(rng, fleet.first_tier_servers, second_tier_servers);
    if matches!(size, Size::Vast | Size::Huge) {
        tiers::limit_connections(&mut tiers, fleet.balancers);
    }
    let classes = classes::draw(rng);
    let capacity = capacity(&tiers, classes::mean_work_of_all(&classes, seed));
    let rate = capacity * relative_load(rng, parts);
    let tenants = traffic::tenants(rng, capacity);
    // The fields are drawn in the order in which they stand here.
    Scenario {
        name: String::new(),
        seed,
        length: Span::s(uniform(rng, (38.0, 50.0)).round()),
        zones: ZONES.map(str::to_owned).to_vec(),
        passes_deadline: rng.random(),
        network: environment::network(rng),
        discovery: environment::discovery(rng),
        balancers: environment::balancers(rng, fleet.balancers, first_zone_share),
        load: traffic::load(rng, rate, first_zone_share),
        clients: traffic::clients(rng),
        limits: limits(),
        rules: rules(),
        goal: Goal { total: 0.45, worst_window: 0.15, worst_class: 0.3, worst_tenant: 0.1 },
        prices: prices(),
        tiers,
        classes,
        tenants,
        faults: Vec::new(),
    }
}

/// Returns the requests per second that the tier with the least capacity can serve. `work` is the mean work of a
/// request in seconds.
fn capacity(tiers: &[Tier], work: f64) -> f64 {
    let mut calls = 1.0;
    tiers
        .iter()
        .map(|tier| {
            let cores = f64::from(tier.servers.iter().sum::<u32>() * tier.cores) * tier.speed;
            let work_per_request = work * tier.work * calls;
            calls *= tier.calls;
            cores / work_per_request
        })
        .fold(f64::INFINITY, f64::min)
}

/// Draws the rate of requests as a share of the capacity.
fn relative_load(rng: &mut ChaCha8Rng, parts: &[&str]) -> f64 {
    if parts.contains(&"overload") {
        uniform(rng, (0.97, 1.3))
    } else if parts.contains(&"calm") {
        uniform(rng, (0.26, 0.41))
    } else {
        uniform(rng, (0.54, 0.68))
    }
}

/// Limits of the balancers in every drawn scenario.
fn limits() -> Limits {
    Limits {
        max_attempts: 6,
        max_open_requests: 20_000,
        hedging: true,
        health_checks: true,
        retry_after: true,
        max_retry_after: Span::s(3.0),
    }
}

/// Parameters of the rules in every drawn scenario.
fn rules() -> Rules {
    Rules {
        drain_grace: Span::ms(2_500.0),
        response_grace: Span::ms(20.0),
        overload_factor: 4.0,
        overload_window: Span::ms(1_500.0),
        poll_within: Span::s(10.0),
    }
}

/// Prices in every drawn scenario.
fn prices() -> Prices {
    Prices { waste: 0.3, cross_zone: 0.07, late_fail: 0.036, health_check: 0.01, handshake: 0.0, choke: 0.08 }
}
