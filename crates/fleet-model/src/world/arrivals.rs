//! The traffic of a scenario: when clients send their first attempts, and the work of each.

use rand::RngExt;
use zincstand_policy::Micros;

use crate::random::{self, Purpose};
use crate::scenario::{LoadShape, Scenario, Tenant};
use crate::scoring::Arrival;

/// Length of a phase of high or low load in a bursty scenario, in seconds.
const PHASE_SECONDS: f64 = 1.5;
/// Number of waves of the load in a scenario whose load is a sine.
const WAVES: f64 = 1.5;
/// Number of seconds whose quota a tenant may use at once.
const QUOTA_BURST_SECONDS: f64 = 1.0;

/// Token bucket of a tenant. Requests that find a token are within the quota.
struct TokenBucket {
    tokens: f64,
    /// Time of the last refill, in seconds.
    refilled_at: f64,
}

impl TokenBucket {
    fn full(tenant: &Tenant) -> TokenBucket {
        TokenBucket { tokens: tenant.quota * QUOTA_BURST_SECONDS, refilled_at: 0.0 }
    }

    /// Refills the bucket and takes a token if there is one.
    fn take(&mut self, now: f64, quota: f64) -> bool {
        let refilled = self.tokens + (now - self.refilled_at) * quota;
        self.tokens = refilled.min(quota * QUOTA_BURST_SECONDS);
        self.refilled_at = now;
        let within = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(within));
        within
    }
}

/// Returns the deviation of the load from its mean at a time of the scenario, from -1 to 1.
fn load_swing(scenario: &Scenario, phase: f64, seconds: f64) -> f64 {
    match scenario.load.shape {
        LoadShape::Sine => (std::f64::consts::TAU * (seconds / scenario.length.secs() * WAVES + phase)).sin(),
        LoadShape::Bursty => {
            let drawn = random::unit(scenario.seed, Purpose::Arrivals, 1 + (seconds / PHASE_SECONDS) as u64);
            if drawn < 0.5 { -1.0 } else { 1.0 }
        }
    }
}

/// Draws all first attempts of the scenario, in the order in which they are sent.
pub(super) fn draw_arrivals(scenario: &Scenario) -> Vec<Arrival> {
    let mut rng = random::stream(scenario.seed, Purpose::Arrivals, 0);
    let phase: f64 = rng.random();
    let length = scenario.length.secs();
    let peak_rate = scenario.load.rate * (1.0 + scenario.load.amplitude);
    let mut buckets: Vec<TokenBucket> = scenario.tenants.iter().map(TokenBucket::full).collect();
    let mut arrivals = Vec::new();
    let mut now = 0.0;
    loop {
        now += -(1.0 - rng.random::<f64>()).ln() / peak_rate;
        if now >= length {
            return arrivals;
        }
        // Thinning: candidates come at the peak rate, and are accepted with the ratio of the present rate to it.
        let rate = scenario.load.rate * (1.0 + scenario.load.amplitude * load_swing(scenario, phase, now));
        if rng.random::<f64>() * peak_rate > rate {
            continue;
        }
        let mut arrival = draw_arrival(scenario, arrivals.len(), now);
        if let Some(tenant) = arrival.tenant {
            arrival.within_quota = buckets[tenant].take(now, scenario.tenants[tenant].quota);
        }
        arrivals.push(arrival);
    }
}

/// Draws zone, class, tenant and work of one first attempt.
fn draw_arrival(scenario: &Scenario, number: usize, now: f64) -> Arrival {
    let mut rng = random::stream(scenario.seed, Purpose::Request, number as u64);
    let zone = weighted_index(rng.random(), scenario.load.zone_shares.iter().copied());
    let class = weighted_index(rng.random(), scenario.classes.iter().map(|class| class.share));
    let drawn: f64 = rng.random();
    let tenant_weights = scenario.tenants.iter().map(|tenant| tenant.share * tenant.usage);
    let tenant = (!scenario.tenants.is_empty()).then(|| weighted_index(drawn, tenant_weights));
    let work = random::request_work(&scenario.classes[class], &mut rng);
    Arrival::new((now * 1e6) as Micros, zone as u32, class, tenant, work)
}

/// Returns the index whose part of the total weight contains `drawn`, a number from 0 to 1.
pub(super) fn weighted_index(drawn: f64, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = drawn * weights.clone().sum::<f64>();
    let mut last = 0;
    for (index, weight) in weights.enumerate() {
        if weight > 0.0 {
            last = index;
            if left < weight {
                return index;
            }
        }
        left -= weight;
    }
    last
}
