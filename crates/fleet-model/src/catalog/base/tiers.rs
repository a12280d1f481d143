//! The two tiers of a drawn scenario.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::integer;
use crate::random::uniform;
use crate::scenario::{Choke, Connections, Tier};
use crate::span::Span;

/// Share of the scenarios in which servers choke when they are crowded.
const CHOKING_SHARE: f64 = 0.6;

/// Divides servers or balancers between two zones. Each zone gets at least one if there are two.
pub(crate) fn split_between_zones(count: u32, first_share: f64) -> Vec<u32> {
    let rounded = (f64::from(count) * first_share).round() as u32;
    let in_first = rounded.clamp(1.min(count), count.saturating_sub(1).max(1));
    vec![in_first, count - in_first]
}

/// Draws the tiers.
pub(super) fn draw(rng: &mut ChaCha8Rng, first_tier_servers: u32, second_tier_servers: u32) -> Vec<Tier> {
    let first_zone_share = uniform(rng, (0.4, 0.6));
    let mut first = tier(
        rng,
        "front",
        split_between_zones(first_tier_servers, first_zone_share),
        (7.0, 16.0),
        (21.0, 44.0),
    );
    let mut second = tier(
        rng,
        "annonces",
        split_between_zones(second_tier_servers, first_zone_share),
        (2.0, 6.0),
        (6.5, 14.0),
    );
    first.work = 0.58;
    first.calls = uniform(rng, (1.0, 2.0));
    second.work = 0.42;
    let chokes = rng.random::<f64>() < CHOKING_SHARE;
    let mut tiers = vec![first, second];
    for tier in &mut tiers {
        // Drawn in every scenario, so that the draws after it do not depend on `chokes`.
        let drawn = choke(rng);
        tier.choke = chokes.then_some(drawn);
    }
    tiers
}

/// Limits the connections of a server where many balancers share few servers.
pub(super) fn limit_connections(tiers: &mut [Tier], balancer_count: u32) {
    for tier in tiers {
        tier.connections.max_connections = tier.connections.max_connections.min(3 * balancer_count / 2);
    }
}

/// Draws a tier. `slots` and `thrash_threshold` are ranges, `slots` for each core.
fn tier(
    rng: &mut ChaCha8Rng,
    name: &str,
    servers: Vec<u32>,
    slots: (f64, f64),
    thrash_threshold: (f64, f64),
) -> Tier {
    let cores = 2;
    let for_all_cores = |per_core: f64| (per_core * f64::from(cores)).round() as u32;
    Tier {
        name: name.to_owned(),
        servers,
        work: 1.0,
        calls: 0.0,
        cell_size: integer(rng, 4, 8),
        cores,
        speed: uniform(rng, (0.85, 1.1)),
        speed_cv: uniform(rng, (0.05, 0.2)),
        slots: for_all_cores(uniform(rng, slots)),
        queue_capacity: for_all_cores(uniform(rng, (230.0, 480.0))),
        thrash: uniform(rng, (0.032, 0.12)),
        thrash_threshold: uniform(rng, thrash_threshold),
        initial_capacity: uniform(rng, (0.3, 0.6)),
        warm_up_time: Span::s(uniform(rng, (3.8, 8.8))),
        pause_interval: Span::s(uniform(rng, (5.0, 12.0))),
        pause: Span::ms(uniform(rng, (0.0, 200.0))),
        pause_growth: uniform(rng, (0.0, 1.2)),
        error_rate: uniform(rng, (0.0, 0.001)),
        connections: Connections {
            handshake_round_trips: uniform(rng, (1.0, 3.0)),
            handshake_work: Span::ms(uniform(rng, (3.1, 6.9))),
            idle_timeout: Span::s(30.0),
            connect_timeout: Span::ms(100.0),
            max_connections: for_all_cores(uniform(rng, (600.0, 900.0))),
            full_table_overhead: uniform(rng, (0.19, 0.35)),
        },
        health_check_work: Span::ms(uniform(rng, (2.5, 4.9))),
        choke: None,
    }
}

/// Draws the metastable overload of a tier.
fn choke(rng: &mut ChaCha8Rng) -> Choke {
    Choke {
        queue_threshold: uniform(rng, (4.0, 7.0)),
        time_to_choke: Span::s(uniform(rng, (1.5, 2.5))),
        slowdown: uniform(rng, (2.1, 3.1)),
        recovery_utilization: uniform(rng, (0.25, 0.4)),
        recovery_window: Span::s(uniform(rng, (3.1, 4.7))),
        max_duration: Span::s(uniform(rng, (18.0, 33.0))),
    }
}
