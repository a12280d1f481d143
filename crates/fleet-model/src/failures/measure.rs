//! Measurement of one failure: goodput by second, recovery, traffic of discovery, and computing time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use zincstand_policy::{Action, Event, LearnedState, Micros, Settings, SettingsError};

use super::{DiscoveryTotal, Failure, Row, Sizes, build_scenario};
use crate::policy::{Kind, Policy};
use crate::scenario::ScenarioError;
use crate::scoring::{NotificationCount, Rule, Second};
use crate::server::GroundTruth;
use crate::world::{ScenarioRun, run_scenario_with};

/// Size of an entry of a list on the wire, in bytes. A list of 2,000 entries has 340 KB.
const ENTRY_BYTES: u64 = 170;
/// Share of the goodput before a failure at which the fleet counts as recovered.
const RECOVERED_SHARE: f64 = 0.9;
/// Number of consecutive seconds that must reach this share.
const STEADY_SECONDS: usize = 3;

/// Computing time of the decision modules of all processes.
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
        let began = Instant::now();
        self.inner.handle(now, event, truth, actions);
        self.time.nanoseconds.fetch_add(began.elapsed().as_nanos() as u64, Ordering::Relaxed);
        self.time.calls.fetch_add(1, Ordering::Relaxed);
    }

    fn learned_state(&self, now: Micros) -> Option<LearnedState> {
        self.inner.learned_state(now)
    }

    fn restore(&mut self, now: Micros, learned: &LearnedState) {
        self.inner.restore(now, learned);
    }
}

/// Runs the scenario of a failure and measures its cost. The scenario without a failure is measured over the same time.
///
/// # Errors
///
/// The sizes require a scenario that cannot be run.
pub(super) fn measure(seed: u64, sizes: &Sizes, failure: Failure) -> Result<Row, ScenarioError> {
    let time = Arc::new(ModuleTime::default());
    let start = |settings: Settings, seed: u64| -> Result<Box<dyn Policy>, SettingsError> {
        let inner = Kind::Module.create_policy(settings, seed)?;
        Ok(Box::new(TimedPolicy { inner, time: Arc::clone(&time) }))
    };
    let began = Instant::now();
    let run = run_scenario_with(&build_scenario(seed, sizes, failure), &start, false)?;
    let seconds = began.elapsed().as_secs_f64();
    let span = sizes.failure_span();
    let begin = span.begin as usize;
    let goodput = Goodput::of(&run.detail.seconds, begin);
    let lowest = goodput.lowest_from(begin);
    let discovery = DiscoveryTraffic::of(run.detail.discovery.get(begin..).unwrap_or_default());
    let result = &run.result;
    Ok(Row {
        failure,
        servers: sizes.servers_per_zone() * sizes.zones,
        calls: result.requests,
        goodput_before: goodput.before,
        lowest_goodput: lowest.goodput,
        lowest_at: lowest.second,
        recovered: goodput.recovery_after(span.begin),
        recovered_after_end: goodput.recovery_after(span.end),
        collapsed: result.collapsed,
        broken: result.breach_count,
        rules: broken_rules(&run),
        messages: discovery.busiest.messages,
        entries: discovery.busiest.entries,
        bytes: discovery.busiest.entries * ENTRY_BYTES,
        discovery_total: discovery.total,
        events: result.events,
        seconds,
        module_seconds: time.nanoseconds.load(Ordering::Relaxed) as f64 / 1e9,
        handled: time.calls.load(Ordering::Relaxed),
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
    /// Computes the goodput of a scenario whose failure begins in the second `begin`.
    fn of(seconds: &[Second], begin: usize) -> Goodput {
        let share = |second: &Second| {
            let all = second.served + second.late + second.rejected + second.failed;
            f64::from(second.served) / f64::from(all.max(1))
        };
        let by_second: Vec<f64> = seconds.iter().map(share).collect();
        let before = &by_second[begin / 2..begin];
        let before = before.iter().sum::<f64>() / before.len().max(1) as f64;
        Goodput { by_second, before }
    }

    fn lowest_from(&self, begin: usize) -> LowestGoodput {
        let seconds = self.by_second.iter().copied().enumerate().skip(begin);
        let lowest = seconds.min_by(|a, b| a.1.total_cmp(&b.1));
        let (second, goodput) = lowest.unwrap_or((begin, self.before));
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

/// Traffic of discovery from the begin of a failure.
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
