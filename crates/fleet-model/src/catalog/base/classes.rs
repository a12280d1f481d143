//! The three classes of a drawn scenario.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::random::{self, Purpose, uniform};
use crate::scenario::{Class, DistributionKind, Idempotency};
use crate::span::Span;

/// Number of requests that are drawn to estimate the mean work of a class.
const MEAN_WORK_SAMPLES: u32 = 5_000;
/// Largest work of a request, as a share of the latency objective of its class. A request that no fleet can serve in
/// time would not distinguish policies.
const MAX_WORK_SHARE: f64 = 0.75;
/// Number of the random stream that estimates the mean work of a class.
const MEAN_WORK_STREAM: u64 = 1 << 40;

/// Ranges from which a class is drawn.
struct ClassRanges {
    name: &'static str,
    share: (f64, f64),
    /// Mean work in milliseconds.
    work_ms: (f64, f64),
    /// Coefficient of variation of the work.
    work_cv: (f64, f64),
    attempt_noise: (f64, f64),
}

/// Times and weights of a class, which are the same in every scenario.
struct Objectives {
    /// In seconds.
    latency_objective: f64,
    /// In seconds.
    deadline: f64,
    priority_weight: f64,
    late_weight: f64,
}

impl Objectives {
    fn of(class: &str) -> Objectives {
        match class {
            "view-ad" => {
                Objectives { latency_objective: 0.75, deadline: 2.0, priority_weight: 2.0, late_weight: 0.3 }
            }
            "search" => {
                Objectives { latency_objective: 1.5, deadline: 3.0, priority_weight: 2.0, late_weight: 0.2 }
            }
            _ => {
                Objectives { latency_objective: 2.5, deadline: 7.5, priority_weight: 3.0, late_weight: 0.25 }
            }
        }
    }
}

/// Draws the classes.
pub(super) fn draw(rng: &mut ChaCha8Rng) -> Vec<Class> {
    vec![
        class(
            rng,
            &ClassRanges {
                name: "view-ad",
                share: (0.46, 0.68),
                work_ms: (83.0, 150.0),
                work_cv: (1.7, 2.6),
                attempt_noise: (0.062, 0.54),
            },
        ),
        class(
            rng,
            &ClassRanges {
                name: "search",
                share: (0.26, 0.38),
                work_ms: (170.0, 300.0),
                work_cv: (1.7, 2.5),
                attempt_noise: (0.29, 0.59),
            },
        ),
        class(
            rng,
            &ClassRanges {
                name: "post-ad",
                share: (0.088, 0.13),
                work_ms: (350.0, 590.0),
                work_cv: (1.5, 2.7),
                attempt_noise: (0.17, 0.45),
            },
        ),
    ]
}

fn class(rng: &mut ChaCha8Rng, ranges: &ClassRanges) -> Class {
    let distribution = match ranges.name {
        "view-ad" => DistributionKind::Lognormal,
        _ if rng.random() => DistributionKind::Lognormal,
        _ => DistributionKind::Pareto,
    };
    let objectives = Objectives::of(ranges.name);
    let keyed = ranges.name == "post-ad";
    Class {
        name: ranges.name.to_owned(),
        share: uniform(rng, ranges.share),
        work: Span::ms(uniform(rng, ranges.work_ms)),
        distribution,
        work_cv: uniform(rng, ranges.work_cv),
        max_work: Span::s(objectives.latency_objective * MAX_WORK_SHARE),
        attempt_noise: uniform(rng, ranges.attempt_noise),
        latency_objective: Span::s(objectives.latency_objective),
        deadline: Span::s(objectives.deadline),
        priority_weight: objectives.priority_weight,
        late_weight: objectives.late_weight,
        idempotency: if keyed { Idempotency::WithKey } else { Idempotency::Idempotent },
        dedup_window: Span::s(if keyed { 10.0 } else { 0.0 }),
    }
}

/// Estimates the mean work of a class in seconds, with the work of each request limited to `max_work`.
pub(crate) fn mean_work(class: &Class, seed: u64) -> f64 {
    let mut rng = random::stream(seed, Purpose::Arrivals, MEAN_WORK_STREAM);
    (0..MEAN_WORK_SAMPLES).map(|_| random::request_work(class, &mut rng)).sum::<f64>()
        / 1e6
        / f64::from(MEAN_WORK_SAMPLES)
}

/// Estimates the mean work of a request of any class, in seconds.
pub(super) fn mean_work_of_all(classes: &[Class], seed: u64) -> f64 {
    let shares: f64 = classes.iter().map(|class| class.share).sum();
    classes.iter().map(|class| class.share * mean_work(class, seed)).sum::<f64>() / shares
}
