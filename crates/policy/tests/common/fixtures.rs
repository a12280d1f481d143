//! Units of time, and settings for tests.

use zincstand_policy::{Class, Idempotency, Micros, Settings};

/// One millisecond.
pub const MS: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;

/// Returns a class with a latency objective of half a second and a deadline of two seconds.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        idempotency,
        latency_objective: 500 * MS,
        objective_per_work: 0.0,
        deadline: 2 * SECOND,
        priority_weight: 1.0,
        late_weight: 0.0,
        streaming: false,
    }
}

/// Returns the settings of one of two balancers, with one class for each element of `idempotencies`.
pub fn settings(idempotencies: &[Idempotency]) -> Settings {
    let mut settings = Settings::new(idempotencies.iter().copied().map(class).collect());
    settings.balancer_count = 2;
    settings.limits.cancel = true;
    settings.limits.health_checks = true;
    settings.rules.initial_capacity = 0.2;
    settings.rules.warm_up_time = 20 * SECOND;
    settings
}
