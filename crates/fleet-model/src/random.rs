//! Random numbers that are identified by a purpose and a number, so that they do not depend on earlier draws.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal, Pareto};

use crate::scenario::{Class, DistributionKind};

/// Purpose of a random number. Its value is part of the seed, so the order of the variants is fixed by stored results.
#[derive(Clone, Copy)]
#[repr(u64)]
pub(crate) enum Purpose {
    /// Times of first attempts, and the course of the load over time.
    Arrivals = 1,
    /// Properties of a request of a client.
    Request,
    /// Work of an attempt.
    Attempt,
    /// Properties of a server.
    Server,
    /// Jitter of a message.
    Message,
    /// Failures of attempts, and the faults of a scenario.
    Failure,
    /// Behaviour of a client.
    Client,
    /// Choice of a balancer for a client.
    BalancerChoice,
    /// Seed and clock of a balancer process, and the resamples of a bootstrap.
    Process,
    /// Delays and failures of notifications.
    Notification,
    /// Intervals between pauses of a server.
    Pause,
}

/// Returns the seed for a purpose and a number. The two rounds of mixing make the seeds of neighbouring numbers
/// independent.
fn derive_seed(seed: u64, purpose: Purpose, number: u64) -> u64 {
    let first = splitmix(seed.wrapping_add((purpose as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    splitmix(first ^ number.wrapping_mul(0xd1b5_4a32_d192_ed03))
}

/// Finalizer of the generator `SplitMix64`, which spreads each bit over the whole result.
fn splitmix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the generator for a purpose and a number.
pub(crate) fn stream(seed: u64, purpose: Purpose, number: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(derive_seed(seed, purpose, number))
}

/// Returns one number that is uniformly distributed from 0 up to 1. This is cheaper than creating a generator.
pub(crate) fn unit(seed: u64, purpose: Purpose, number: u64) -> f64 {
    (derive_seed(seed, purpose, number) >> 11) as f64 / (1u64 << 53) as f64
}

/// Combines two numbers into the key of a draw.
pub(crate) fn combine(a: u64, b: u64) -> u64 {
    a.wrapping_mul(0x1_0000_01b3) ^ b.rotate_left(17)
}

/// Draws a factor with mean 1 and the coefficient of variation `cv`.
pub(crate) fn factor(rng: &mut impl Rng, distribution: DistributionKind, cv: f64) -> f64 {
    if cv <= 0.0 {
        return 1.0;
    }
    let drawn = match distribution {
        DistributionKind::Lognormal => {
            let variance = (1.0 + cv * cv).ln();
            LogNormal::new(-variance / 2.0, variance.sqrt()).map(|sampler| sampler.sample(rng))
        }
        DistributionKind::Pareto => {
            let shape = 1.0 + (1.0 + 1.0 / (cv * cv)).sqrt();
            return Pareto::new((shape - 1.0) / shape, shape).map_or(1.0, |sampler| sampler.sample(rng));
        }
    };
    drawn.unwrap_or(1.0)
}

/// Draws the work of a request of a class, in microseconds.
pub(crate) fn request_work(class: &Class, rng: &mut impl Rng) -> f64 {
    let drawn = class.work.0 as f64 * factor(rng, class.distribution, class.work_cv);
    drawn.min(class.max_work.0 as f64)
}

/// Draws a number that is uniformly distributed within a range.
pub(crate) fn uniform(rng: &mut impl Rng, (from, to): (f64, f64)) -> f64 {
    from + (to - from) * rng.random::<f64>()
}

#[cfg(test)]
mod tests;
