//! Time limits: how long an attempt may take, when a request can no longer finish, and the split of a
//! deadline among the tiers.

use crate::context::Context;
use crate::event::{ClassId, Micros};
use crate::latency::Latencies;
use crate::request::{AttemptLimit, Request, TimeoutAttribution};
use crate::retry;
use crate::settings::{Class, Idempotency, Settings};

/// Share of the latency objective that is always enough time for an attempt, whatever the learned latencies.
const SUFFICIENT_OBJECTIVE_SHARE: f64 = 0.5;
/// Minimum time left for an attempt, in median latencies. The 90th percentile replaces it where that is less.
///
/// With less time left than five medians, about half of the slow attempts would finish too late. Where
/// latencies vary little, the 90th percentile is enough, and callers that limit their attempts to their 99th
/// percentile leave no more time.
const MIN_TIME_MEDIANS: f64 = 5.0;
/// Time for a retry is reserved only if more than this many median latencies remain for the first attempt.
const MIN_FIRST_ATTEMPT_MEDIANS: f64 = 12.0;
/// Limit of an attempt that no retry may follow, as a multiple of the 99th percentile. A timeout frees the
/// slot but fails the request.
const LAST_ATTEMPT_FACTOR: f64 = 3.0;
/// A timeout after more than this many median latencies counts against the server, whatever set the limit.
const UNRESPONSIVE_MEDIANS: f64 = 12.0;

/// Returns whether too little time is left for an attempt to finish.
///
/// This includes a request whose deadline is before the next expiry check. Otherwise its final response would
/// be too late where the checks are further apart than the grace period after the deadline.
pub(crate) fn cannot_finish(
    latencies: &Latencies,
    context: &Context,
    request: &Request,
    expiry_interval: Micros,
) -> bool {
    let now = request.effective_now(context.now());
    let time_left = request.useful_until().saturating_sub(now) as f64;
    let objective = tier_objective(&context.settings, request.class());
    let histogram = latencies.class_or_overall_histogram(request.class());
    let learned =
        histogram.map_or(0.0, |histogram| histogram.p90().min(histogram.median() * MIN_TIME_MEDIANS));
    let needed = learned.min(objective * SUFFICIENT_OBJECTIVE_SHARE) * request.work_scale();
    now + expiry_interval >= request.deadline() || time_left <= 0.0 || time_left < needed
}

/// Returns the limit of the request's next attempt.
///
/// A long timeout counts against the server even where the remaining time of the request set the limit. A
/// server that never answers would otherwise go unnoticed.
pub(crate) fn attempt_limit(latencies: &Latencies, context: &Context, request: &Request) -> AttemptLimit {
    let mut limit = learned_limit(latencies, context, request);
    let median = latencies.class_or_overall_median(request.class()).unwrap_or(f64::INFINITY);
    if limit.duration as f64 > median * request.work_scale() * UNRESPONSIVE_MEDIANS {
        limit.timeout_attribution = TimeoutAttribution::Server;
    }
    limit
}

/// Returns the limit from the learned latencies: the 99th percentile for a first attempt, with time reserved
/// for a retry where one may follow, and the median for a retry.
///
/// A timeout does not count against the server where the remaining time of the request set the limit, nor
/// for a retry: half of all attempts take longer than the median. Otherwise callers with little time left
/// would open breakers.
fn learned_limit(latencies: &Latencies, context: &Context, request: &Request) -> AttemptLimit {
    let time_left = (request.useful_until() - request.effective_now(context.now())) as f64;
    // Only the class's own histogram counts. While a class of long requests is rare, the histogram of all
    // classes would cut its attempts short.
    let Some(histogram) = latencies.class_histogram(request.class()) else {
        return AttemptLimit { duration: time_left as Micros, timeout_attribution: TimeoutAttribution::None };
    };
    let median = histogram.median() * request.work_scale();
    let p99 = histogram.p99() * request.work_scale();
    if request.retried() {
        let limit = shortest_limit(median, time_left, time_left);
        return AttemptLimit { timeout_attribution: TimeoutAttribution::None, ..limit };
    }
    if context.settings.classes[request.class()].idempotency == Idempotency::NotIdempotent {
        return shortest_limit(p99 * LAST_ATTEMPT_FACTOR, time_left, time_left);
    }
    let time_before_retry = time_left - median * (1.0 + retry::BACKOFF_MEDIANS);
    let has_time_for_retry = time_before_retry > median * MIN_FIRST_ATTEMPT_MEDIANS;
    shortest_limit(p99, if has_time_for_retry { time_before_retry } else { time_left }, time_left)
}

/// Returns the shortest of a learned limit, the time `available` for the attempt, and the time left, in
/// microseconds. A timeout counts against the server only if the learned limit is less than the available
/// time.
fn shortest_limit(learned: f64, available: f64, time_left: f64) -> AttemptLimit {
    AttemptLimit {
        duration: learned.min(available).min(time_left).max(1.0) as Micros,
        timeout_attribution: if learned < available {
            TimeoutAttribution::Server
        } else {
            TimeoutAttribution::None
        },
    }
}

/// Returns this tier's part of a class's time, which includes the parts of the tiers below it.
fn tier_part(settings: &Settings, duration: Micros) -> Micros {
    let tiers = u64::from(settings.tier_count);
    duration * (tiers - u64::from(settings.tier)) / tiers
}

/// Returns this tier's part of the class's latency objective, in microseconds.
pub(crate) fn tier_objective(settings: &Settings, class: ClassId) -> f64 {
    tier_part(settings, settings.classes[class].latency_objective) as f64
}

/// Returns for how long after the arrival of a request a response to it is useful.
///
/// A caller that does not propagate its remaining time sends the whole deadline, although the tiers above
/// have already used their part of it. Only this tier's part counts, so that no server works for a caller
/// that has given up.
pub(crate) fn useful_time(settings: &Settings, class: &Class, work: Option<Micros>) -> Micros {
    let work_allowance = (class.objective_per_work * work.unwrap_or(0) as f64) as Micros;
    let deadline =
        if settings.propagates_deadline { class.deadline } else { tier_part(settings, class.deadline) };
    let objective = (class.latency_objective + work_allowance).min(deadline);
    if class.late_weight > 0.0 { deadline } else { objective.saturating_sub(settings.tick) }
}
