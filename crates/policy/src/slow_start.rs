//! Slow start: the capacity of a server that is warming up, and the pauses between attempts to it.

use crate::context::Context;
use crate::event::{Micros, ServerEntry};
use crate::fleet::Server;
use crate::jitter::jitter;
use crate::settings::Rules;

/// Factor by which the rate of attempts to a server that is warming up may exceed the rate at which it would
/// fail if all servers were fully loaded and calls were spread evenly. While other servers are free,
/// selection by load sends it fewer attempts.
const WARM_UP_RATE_FACTOR: f64 = 1.5;

/// Longest delay of the first byte of an attempt to a server that is warming up, as a share of the time in
/// which it must not be overloaded. Attempts that wait longer for their connections could arrive together.
const MAX_BEGIN_DELAY_SHARE: f64 = 0.1;

/// Returns the share of its full capacity that a server has: 1 once it has warmed up.
pub(crate) fn capacity_share(context: &Context, entry: &ServerEntry) -> f64 {
    let Some(started) = entry.started else { return 1.0 };
    let rules = &context.settings.rules;
    let warmed_up_share = context.now().saturating_sub(started) as f64 / rules.warm_up_time.max(1) as f64;
    (rules.initial_capacity + (1.0 - rules.initial_capacity) * warmed_up_share).min(1.0)
}

/// Returns the time within which an attempt to a server must begin, `None` once the server has warmed up.
pub(crate) fn begin_limit(context: &Context, entry: &ServerEntry) -> Option<Micros> {
    let is_warming_up = capacity_share(context, entry) < 1.0;
    let delay = context.settings.rules.overload_window as f64 * MAX_BEGIN_DELAY_SHARE;
    is_warming_up.then_some(delay as Micros)
}

/// Returns the time from which a server's process counts as started, `None` for long ago.
///
/// Listed start times come from clocks that may be wrong by an hour. A process that appears after the first
/// list from discovery (`after_first_list`) has just started, whatever its listed time. A process in the
/// first list may have started long ago; its listed time is used, unless it is in the future.
pub(crate) fn effective_start(now: Micros, listed: Option<Micros>, after_first_list: bool) -> Option<Micros> {
    listed.map(|start| if after_first_list { now } else { start.min(now) })
}

/// Returns the minimum mean interval between attempts of this balancer to a server that is warming up, in
/// microseconds, before scaling by its current capacity.
///
/// At this interval all balancers together send the server no more than [`Rules::overload_factor`] allows.
/// Without it, their first calls would all reach the server at once. `ready_servers` counts those of all
/// zones, since a zone that recovers starts with one server.
pub(crate) fn warm_up_interval(mean_send_interval: f64, ready_servers: usize, rules: &Rules) -> f64 {
    mean_send_interval * ready_servers.max(1) as f64 / (WARM_UP_RATE_FACTOR * rules.overload_factor)
}

/// The event after which a server is paused.
pub(crate) enum PauseAfter {
    /// An endpoint list that contains the server.
    Discovery,
    /// An attempt to the server.
    Attempt,
}

/// Pauses a server that is warming up, at most until it has warmed up: a balancer with few calls would
/// otherwise pause it for much longer. `warm_up_interval` is the result of [`warm_up_interval`].
pub(crate) fn pause_if_warming_up(
    context: &mut Context,
    server: &mut Server,
    warm_up_interval: f64,
    after: &PauseAfter,
) {
    let share = capacity_share(context, server.entry());
    if share >= 1.0 {
        return;
    }
    let rules = &context.settings.rules;
    let pause = match after {
        PauseAfter::Discovery => warm_up_interval / rules.initial_capacity * context.rng.f64(),
        PauseAfter::Attempt => warm_up_interval / share * jitter(&mut context.rng),
    };
    let warmed_up_at = server.entry().started.unwrap_or(0) + rules.warm_up_time;
    server.pause_until((context.now() + pause as Micros).min(warmed_up_at));
}
