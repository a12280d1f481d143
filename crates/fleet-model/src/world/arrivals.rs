//! The traffic of a scenario: when clients send their first attempts, and the work of each.

use rand::RngExt;
use zincstand_policy::Micros;

use crate::random::{self, Purpose};
use crate::scenario::{LoadShape, Scenario, Tenant};
use crate::scoring::Arrival;

/// Length of an interval of high or low load in a bursty scenario, in seconds.
const BURST_INTERVAL_SECONDS: f64 = 1.5;
/// Number of periods of the load during a scenario whose load is a sine wave.
const WAVE_PERIODS: f64 = 1.5;
/// Largest burst of a tenant, in seconds of its quota.
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
        let within_quota = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(within_quota));
        within_quota
    }
}

/// Returns the deviation of the load from its mean at a time of the scenario, from -1 to 1.
fn load_swing(scenario: &Scenario, phase: f64, seconds: f64) -> f64 {
    match scenario.load.shape {
        LoadShape::Sine => {
            (std::f64::consts::TAU * (seconds / scenario.length.secs() * WAVE_PERIODS + phase)).sin()
        }
        LoadShape::Bursty => {
            let drawn =
                random::unit(scenario.seed, Purpose::Arrivals, 1 + (seconds / BURST_INTERVAL_SECONDS) as u64);
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
        // Thinning: candidates arrive at the peak rate, and are accepted with probability current rate / peak rate.
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

/// Draws the zone, class, tenant and work of one first attempt.
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

/// Chooses an index with a probability proportional to its weight. `drawn` is a random number from 0 to 1.
pub(super) fn weighted_index(drawn: f64, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut remaining = drawn * weights.clone().sum::<f64>();
    let mut last = 0;
    for (index, weight) in weights.enumerate() {
        if weight > 0.0 {
            last = index;
            if remaining < weight {
                return index;
            }
        }
        remaining -= weight;
    }
    last
}
