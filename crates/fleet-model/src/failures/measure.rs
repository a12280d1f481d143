//! Measurement of one failure: goodput by second, recovery, traffic of discovery, and computing time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use zincstand_policy::{Action, Event, LearnedState, Micros, Settings, SettingsError};

use super::{DiscoveryTotal, Failure, Parameters, Row, build_scenario};
use crate::policy::{Kind, Policy};
use crate::scenario::ScenarioError;
use crate::scoring::{NotificationCount, Rule, Second};
use crate::server::GroundTruth;
use crate::world::{ScenarioRun, run_scenario_with};

/// Size of an entry of a list on the wire, in bytes. A list of 2,000 entries takes 340 KB.
const ENTRY_BYTES: u64 = 170;
/// Share of the goodput before a failure at or above which the fleet counts as recovered.
const RECOVERED_SHARE: f64 = 0.9;
/// Number of consecutive seconds that must reach [`RECOVERED_SHARE`].
const STEADY_SECONDS: usize = 3;

/// Computing time and calls of the decision modules of all balancer processes.
#[derive(Default)]
struct ModuleTime {
    nanoseconds: AtomicU64,
    calls: AtomicU64,
}

/// A decision module whose computing time is measured.
struct TimedPolicy {
    inner: Box<dyn Policy>,
    time: Arc<ModuleTime>,
}

impl Policy for TimedPolicy {
    fn handle(&mut self, now: Micros, event: Event, truth: &GroundTruth<'_>, actions: &mut Vec<Action>) {
        let started_at = Instant::now();
        self.inner.handle(now, event, truth, actions);
        self.time.nanoseconds.fetch_add(started_at.elapsed().as_nanos() as u64, Ordering::Relaxed);
        self.time.calls.fetch_add(1, Ordering::Relaxed);
    }

    fn learned_state(&self, now: Micros) -> Option<LearnedState> {
        self.inner.learned_state(now)
    }

    fn restore(&mut self, now: Micros, learned: &LearnedState) {
        self.inner.restore(now, learned);
    }
}

/// Runs the scenario of a failure and measures its cost. [`Failure::None`] is measured over the same seconds.
///
/// # Errors
///
/// The parameters require a scenario that cannot be run.
pub(super) fn measure(seed: u64, parameters: &Parameters, failure: Failure) -> Result<Row, ScenarioError> {
    let time = Arc::new(ModuleTime::default());
    let create_policy = |settings: Settings, seed: u64| -> Result<Box<dyn Policy>, SettingsError> {
        let inner = Kind::Module.create_policy(settings, seed)?;
        Ok(Box::new(TimedPolicy { inner, time: Arc::clone(&time) }))
    };
    let started_at = Instant::now();
    let run = run_scenario_with(&build_scenario(seed, parameters, failure), &create_policy, false)?;
    let seconds = started_at.elapsed().as_secs_f64();
    let span = parameters.failure_span();
    let start = span.start as usize;
    let goodput = Goodput::of(&run.detail.seconds, start);
    let lowest = goodput.lowest_from(start);
    let discovery = DiscoveryTraffic::of(run.detail.discovery.get(start..).unwrap_or_default());
    let result = &run.result;
    Ok(Row {
        failure,
        servers: parameters.servers_per_zone() * parameters.zones,
        calls: result.requests,
        goodput_before: goodput.before,
        lowest_goodput: lowest.goodput,
        lowest_at: lowest.second,
        recovered: goodput.recovery_after(span.start),
        recovered_after_end: goodput.recovery_after(span.end),
        collapsed: result.collapsed,
        broken: result.breach_count,
        broken_rules: broken_rules(&run),
        messages: discovery.busiest.messages,
        entries: discovery.busiest.entries,
        bytes: discovery.busiest.entries * ENTRY_BYTES,
        discovery_total: discovery.total,
        events: result.events,
        seconds,
        module_seconds: time.nanoseconds.load(Ordering::Relaxed) as f64 / 1e9,
        module_calls: time.calls.load(Ordering::Relaxed),
    })
}

fn broken_rules(run: &ScenarioRun) -> Vec<Rule> {
    let mut rules: Vec<Rule> = run.result.breaches.iter().map(|breach| breach.rule).collect();
    rules.dedup();
    rules
}

/// Share of the calls of each second that were answered within the latency objective.
struct Goodput {
    by_second: Vec<f64>,
    /// Mean goodput over the second half of the time before the failure.
    before: f64,
}

/// The second with the lowest goodput.
struct LowestGoodput {
    second: usize,
    goodput: f64,
}

impl Goodput {
    /// Computes the goodput of a scenario whose failure starts in second `start`.
    fn of(seconds: &[Second], start: usize) -> Goodput {
        let share = |second: &Second| {
            let all = second.served + second.late + second.rejected + second.failed;
            f64::from(second.served) / f64::from(all.max(1))
        };
        let by_second: Vec<f64> = seconds.iter().map(share).collect();
        let before = &by_second[start / 2..start];
        let before = before.iter().sum::<f64>() / before.len().max(1) as f64;
        Goodput { by_second, before }
    }

    fn lowest_from(&self, start: usize) -> LowestGoodput {
        let seconds = self.by_second.iter().copied().enumerate().skip(start);
        let lowest = seconds.min_by(|a, b| a.1.total_cmp(&b.1));
        let (second, goodput) = lowest.unwrap_or((start, self.before));
        LowestGoodput { second, goodput }
    }

    /// Returns the seconds from `from` until the goodput has recovered. `None` if it never recovers.
    fn recovery_after(&self, from: f64) -> Option<f64> {
        let threshold = RECOVERED_SHARE * self.before;
        let steady = |second: &usize| {
            self.by_second[*second..*second + STEADY_SECONDS].iter().all(|g| *g >= threshold)
        };
        let last = self.by_second.len().saturating_sub(STEADY_SECONDS - 1);
        let recovered = (from as usize..last).find(steady)?;
        Some(recovered as f64 - from)
    }
}

/// Traffic of discovery from the start of a failure.
struct DiscoveryTraffic {
    busiest: NotificationCount,
    total: DiscoveryTotal,
}

impl DiscoveryTraffic {
    fn of(seconds: &[NotificationCount]) -> DiscoveryTraffic {
        DiscoveryTraffic {
            busiest: seconds.iter().copied().max_by_key(|count| count.entries).unwrap_or_default(),
            total: DiscoveryTotal {
                messages: seconds.iter().map(|count| count.messages).sum(),
                entries: seconds.iter().map(|count| count.entries).sum(),
            },
        }
    }
}
