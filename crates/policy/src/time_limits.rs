//! Time limits: how long an attempt may take, when a request can no longer finish, and the split of a
//! deadline among the tiers.

use crate::context::Context;
use crate::event::{ClassId, Micros};
use crate::latency::Latencies;
use crate::request::{AttemptLimit, Request, TimeoutAttribution};
use crate::retry;
use crate::settings::{Class, Idempotency, Settings};

/// An attempt is sent while this share of its class's latency objective is left, whatever the learned
/// latencies.
const ALWAYS_SENT: f64 = 0.5;
/// Minimum time left for an attempt, in medians, or the 90th percentile where that is less. With less time
/// left than five medians, about half of the attempts that take long would finish too late. Where latencies
/// vary little, the 90th percentile is enough, and callers that limit their attempts to their 99th percentile
/// leave no more time.
const MIN_TIME: f64 = 5.0;
/// Time for a retry is reserved only if the first attempt still has this many medians.
const MIN_TIME_BESIDE_RETRY: f64 = 12.0;
/// Limit of an attempt that no retry may follow, in 99th percentiles. Its time-out frees a slot but loses the
/// request.
const LAST_ATTEMPT_FACTOR: f64 = 3.0;
/// A time-out after more medians than this counts against the server, whatever set the limit.
const SILENCE_LIMIT: f64 = 12.0;

/// Returns whether too little time is left for an attempt to finish.
///
/// A request whose deadline lies before the next expiry check counts too: with checks further apart than the
/// grace after the deadline, its final answer would otherwise be too late.
pub(crate) fn cannot_finish(
    latencies: &Latencies,
    context: &Context,
    request: &Request,
    expiry_interval: Micros,
) -> bool {
    let now = request.effective_now(context.now());
    let time_left = request.useful_until().saturating_sub(now) as f64;
    let objective = tier_objective(&context.settings, request.class());
    let known = latencies.known(request.class());
    let usual = known.map_or(0.0, |known| known.p90().min(known.median() * MIN_TIME));
    let needed = usual.min(objective * ALWAYS_SENT) * request.work_scale();
    now + expiry_interval >= request.deadline() || time_left <= 0.0 || time_left < needed
}

/// Returns the limit of the request's next attempt.
///
/// A long time-out counts against the server even where the remaining time of the request set the limit. A
/// server that never answers would otherwise go unnoticed.
pub(crate) fn attempt_limit(latencies: &Latencies, context: &Context, request: &Request) -> AttemptLimit {
    let mut limit = learned_limit(latencies, context, request);
    let median = latencies.known_median(request.class()).unwrap_or(f64::INFINITY);
    if limit.duration as f64 > median * request.work_scale() * SILENCE_LIMIT {
        limit.timeout_attribution = TimeoutAttribution::Server;
    }
    limit
}

/// Returns the limit from the learned latencies: the 99th percentile for a first attempt, with time reserved
/// for a retry where one may follow, and the median for a retry.
///
/// A time-out does not count against the server where the remaining time of the request set the limit, nor
/// for a retry: half of all attempts take longer than the median. Callers with little time would otherwise
/// open breakers.
fn learned_limit(latencies: &Latencies, context: &Context, request: &Request) -> AttemptLimit {
    let time_left = (request.useful_until() - request.effective_now(context.now())) as f64;
    // Only the class's own histogram counts. While a class of long requests is rare, the histogram of all
    // classes would cut its attempts short.
    let Some(histogram) = latencies.known_in_class(request.class()) else {
        return AttemptLimit { duration: time_left as Micros, timeout_attribution: TimeoutAttribution::None };
    };
    let median = histogram.median() * request.work_scale();
    let tail = histogram.p99() * request.work_scale();
    if request.retried() {
        let limit = shorter_limit(median, time_left, time_left);
        return AttemptLimit { timeout_attribution: TimeoutAttribution::None, ..limit };
    }
    if context.settings.classes[request.class()].idempotency == Idempotency::NotIdempotent {
        return shorter_limit(tail * LAST_ATTEMPT_FACTOR, time_left, time_left);
    }
    let beside_retry = time_left - median * (1.0 + retry::BACKOFF);
    let has_time_for_retry = beside_retry > median * MIN_TIME_BESIDE_RETRY;
    shorter_limit(tail, if has_time_for_retry { beside_retry } else { time_left }, time_left)
}

/// Returns the least of a learned limit, the time `available` for the attempt, and the time left, in
/// microseconds. A time-out counts against the server only if the learned limit is less than the available
/// time.
fn shorter_limit(learned: f64, available: f64, time_left: f64) -> AttemptLimit {
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

/// Returns for how long after the arrival of a request its response is of use.
///
/// A caller that does not propagate its remaining time sends the whole deadline, of which the tiers above
/// have used their part already. Only this tier's part counts, so that no server works for a caller that has
/// given up.
pub(crate) fn useful_time(settings: &Settings, class: &Class, work: Option<Micros>) -> Micros {
    let for_work = (class.objective_per_work * work.unwrap_or(0) as f64) as Micros;
    let deadline =
        if settings.propagates_deadline { class.deadline } else { tier_part(settings, class.deadline) };
    let objective = (class.latency_objective + for_work).min(deadline);
    if class.late_weight > 0.0 { deadline } else { objective.saturating_sub(settings.tick) }
}
