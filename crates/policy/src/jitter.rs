//! Jitter of pauses, so that balancers do not act at the same time.

/// Minimum jitter factor. The maximum is one more, and the mean is 1.
const MIN_FACTOR: f64 = 0.5;

/// Returns a random factor between 0.5 and 1.5.
pub(crate) fn jitter(rng: &mut fastrand::Rng) -> f64 {
    MIN_FACTOR + rng.f64()
}
