//! Conversion of learned state to and from its stored form. Decides nothing.

use crate::admission::{ClassQueue, Queues};
use crate::circuit_breaker::{Breaker, BreakerState, Breakers};
use crate::decaying_rate::DecayingRate;
use crate::event::{Micros, ZoneId};
use crate::fleet::{Fleet, Server, ZoneState};
use crate::histogram::DecayingHistogram;
use crate::learned::{LatencyHistogram, LearnedClass, LearnedServer, LearnedState, LearnedZone};
use crate::outlier::OutlierDetector;
use crate::time_limits::{ClassLatency, Latencies};

/// Exports all that was learned.
pub(crate) fn save_learned(
    now: Micros,
    send_rate: &DecayingRate,
    outliers: &OutlierDetector,
    latencies: &Latencies,
    queues: &Queues,
    fleet: &Fleet,
) -> LearnedState {
    let classes = latencies.classes.iter().zip(&queues.classes);
    LearnedState {
        saved_at: now,
        first_started_at: send_rate.started_at,
        recent_sends: send_rate.recent,
        failure_share: outliers.failure_share,
        all_classes: save_histogram(&latencies.all),
        classes: classes.map(|(latency, queue)| save_class(latency, queue)).collect(),
        zones: fleet.zones.iter().map(|(&zone, state)| save_zone(zone, state)).collect(),
        servers: fleet.servers.iter().map(|server| save_server(server, now)).collect(),
    }
}

/// Takes over what was learned, as far as its classes, zones and servers are known.
pub(crate) fn restore_learned(
    learned: &LearnedState,
    send_rate: &mut DecayingRate,
    outliers: &mut OutlierDetector,
    latencies: &mut Latencies,
    queues: &mut Queues,
    fleet: &mut Fleet,
) {
    send_rate.started_at = learned.first_started_at;
    send_rate.recent = learned.recent_sends;
    outliers.failure_share = learned.failure_share;
    restore_histogram(&mut latencies.all, learned.saved_at, &learned.all_classes);
    let classes = latencies.classes.iter_mut().zip(&mut queues.classes);
    for ((latency, queue), learned_class) in classes.zip(&learned.classes) {
        restore_class(latency, queue, learned.saved_at, learned_class);
    }
    for learned_zone in &learned.zones {
        if let Some(zone) = fleet.zones.get_mut(&learned_zone.zone) {
            zone.restore(learned_zone.concurrency_limit, learned_zone.outstanding);
        }
    }
    for learned_server in &learned.servers {
        if let Some(&index) = fleet.index_by_id.get(&learned_server.server) {
            restore_breakers(&mut fleet.servers[index].breakers, learned_server);
        }
    }
}

fn save_histogram(histogram: &DecayingHistogram) -> LatencyHistogram {
    LatencyHistogram { counts: histogram.buckets().collect(), tail_factor: histogram.tail_factor }
}

fn restore_histogram(histogram: &mut DecayingHistogram, saved_at: Micros, learned: &LatencyHistogram) {
    histogram.restore(saved_at, &learned.counts, learned.tail_factor);
}

fn save_class(latency: &ClassLatency, queue: &ClassQueue) -> LearnedClass {
    LearnedClass {
        latency: save_histogram(&latency.histogram),
        lowest_median: latency.lowest_median,
        mean_work: latency.mean_work,
        recent_offered: queue.recent_offered,
        recent_served: queue.recent_served,
    }
}

fn restore_class(
    latency: &mut ClassLatency,
    queue: &mut ClassQueue,
    saved_at: Micros,
    learned: &LearnedClass,
) {
    restore_histogram(&mut latency.histogram, saved_at, &learned.latency);
    latency.lowest_median = learned.lowest_median;
    latency.mean_work = learned.mean_work;
    queue.recent_offered = learned.recent_offered;
    queue.recent_served = learned.recent_served;
}

fn save_zone(zone: ZoneId, state: &ZoneState) -> LearnedZone {
    LearnedZone {
        zone,
        concurrency_limit: state.concurrency_limit,
        outstanding: f64::from(state.in_flight) + state.abandoned_in_flight,
    }
}

fn save_server(server: &Server, now: Micros) -> LearnedServer {
    let save_breaker = |breaker: &Breaker| match breaker.state {
        BreakerState::Closed => (breaker.failures, None),
        BreakerState::Open { until } => (breaker.failures, Some(until)),
        BreakerState::HalfOpen => (breaker.failures, Some(now)),
    };
    LearnedServer { server: server.entry.id, breakers: server.breakers.0.iter().map(save_breaker).collect() }
}

fn restore_breakers(breakers: &mut Breakers, learned: &LearnedServer) {
    for (breaker, &(failures, open_until)) in breakers.0.iter_mut().zip(&learned.breakers) {
        breaker.failures = failures;
        breaker.state = open_until.map_or(BreakerState::Closed, |until| BreakerState::Open { until });
    }
}
