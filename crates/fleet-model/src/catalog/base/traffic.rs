//! Load, clients and tenants of a drawn scenario.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::integer;
use crate::random::uniform;
use crate::scenario::{Clients, Load, LoadShape, Tenant};
use crate::span::Span;

/// Draws the load with a mean rate in requests per second.
pub(super) fn load(rng: &mut ChaCha8Rng, rate: f64, first_zone_share: f64) -> Load {
    Load {
        rate,
        amplitude: uniform(rng, (0.22, 0.38)),
        shape: if rng.random() { LoadShape::Sine } else { LoadShape::Bursty },
        zone_shares: vec![first_zone_share, 1.0 - first_zone_share],
        over_quota_weight: 0.1,
    }
}

/// Draws the behaviour of the clients.
pub(super) fn clients(rng: &mut ChaCha8Rng) -> Clients {
    Clients {
        retries: integer(rng, 1, 2),
        attempt_timeout_share: uniform(rng, (0.5, 0.8)),
        backoff: Span::ms(uniform(rng, (48.0, 380.0))),
        retry_after_share: uniform(rng, (0.7, 1.0)),
        early_cancel_share: uniform(rng, (0.0, 0.03)),
    }
}

/// Draws the tenants. The quotas add up to a share of the capacity, which is in requests per second.
pub(super) fn tenants(rng: &mut ChaCha8Rng, capacity: f64) -> Vec<Tenant> {
    let total_quota = capacity * uniform(rng, (0.77, 0.9));
    let mut tenant = |name: &str, share: f64, usage: (f64, f64)| Tenant {
        name: name.to_owned(),
        share,
        quota: total_quota * share,
        usage: uniform(rng, usage),
    };
    vec![
        tenant("marche-dakar", 0.62, (0.5, 1.2)),
        tenant("coin-thies", 0.21, (0.65, 1.4)),
        tenant("annonces-kaolack", 0.17, (0.71, 1.4)),
    ]
}
