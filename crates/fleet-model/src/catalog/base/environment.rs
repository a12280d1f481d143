//! Network, discovery and balancers of a drawn scenario.

use rand_chacha::ChaCha8Rng;

use super::ZONES;
use super::tiers::split_between_zones;
use crate::random::uniform;
use crate::scenario::{Balancers, Discovery, DiscoveryMode, Network};
use crate::span::Span;

/// Draws the network.
pub(super) fn network(rng: &mut ChaCha8Rng) -> Network {
    Network {
        same_zone: Span::ms(uniform(rng, (0.081, 0.33))),
        cross_zone: Span::ms(uniform(rng, (5.6, 10.0))),
        client: Span::ms(uniform(rng, (0.31, 0.98))),
        jitter: uniform(rng, (0.062, 0.35)),
    }
}

/// Draws discovery.
pub(super) fn discovery(rng: &mut ChaCha8Rng) -> Discovery {
    Discovery {
        mode: DiscoveryMode::Push,
        detection_delay: Span::s(uniform(rng, (0.51, 4.0))),
        silent_detection_delay: Span::s(uniform(rng, (4.1, 12.0))),
        registration_delay: Span::s(uniform(rng, (0.42, 2.0))),
        batch_interval: Span::ms(uniform(rng, (210.0, 1_400.0))),
        max_delivery_delay: Span::ms(uniform(rng, (120.0, 490.0))),
        failure_share: 0.0,
    }
}

/// Draws the balancers of the first tier.
pub(super) fn balancers(rng: &mut ChaCha8Rng, count: u32, first_zone_share: f64) -> Balancers {
    let in_first_zone = split_between_zones(count, first_zone_share)[0];
    let zone_of = |index: u32| ZONES[usize::from(index >= in_first_zone)].to_owned();
    Balancers {
        zones: (0..count).map(zone_of).collect(),
        shares: Vec::new(),
        cores: uniform(rng, (0.25, 1.0)),
        event_cost: Span(20),
        clock_spread: Span::s(20.0),
        detection_delay: Span::s(uniform(rng, (1.2, 3.8))),
    }
}
