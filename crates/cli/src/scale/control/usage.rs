//! Resources that balancers and their discovery use, and the slopes made of them.

use anyhow::{Context, Result};
use tokio::time::Instant;
use zincstand_testbed::balancer::Usage;
use zincstand_testbed::discovery::Traffic;
use zincstand_testbed::report::Slope;
use zincstand_testbed::slope::Point;

use super::MeasuredBalancer;

/// Counters of a balancer and of its discovery at one moment.
pub struct Snapshot {
    usage: Usage,
    traffic: Traffic,
    at: Instant,
}

/// Returns the counters of all balancers now.
///
/// # Errors
/// A balancer or its discovery has ended.
pub fn snapshots(balancers: &[MeasuredBalancer]) -> Result<Vec<Snapshot>> {
    let mut snapshots = Vec::new();
    for balancer in balancers {
        let usage = balancer
            .process
            .usage()
            .context("cannot read the resource usage of a balancer; its process may have ended")?;
        let traffic = balancer.discovery.counters()?.total;
        snapshots.push(Snapshot { usage, traffic, at: Instant::now() });
    }
    Ok(snapshots)
}

/// Resources that a balancer and its discovery used within an interval.
pub struct UsageDelta {
    /// Number of known upstreams.
    known_upstreams: f64,
    seconds: f64,
    processor_us: f64,
    /// Context switches of the balancer.
    context_switches: f64,
    traffic: Traffic,
}

impl UsageDelta {
    fn bytes(&self) -> f64 {
        (self.traffic.bytes_in + self.traffic.bytes_out) as f64
    }

    /// Returns the number of events that reached the balancer: responses with changes, so that two changes in one
    /// response count as one. Without such responses it is `triggered`, the number of events that the
    /// measurement triggered.
    fn events(&self, triggered: u32) -> f64 {
        match self.traffic.deltas + self.traffic.snapshots {
            0 => f64::from(triggered),
            responses => responses as f64,
        }
    }
}

/// Returns the resources that each balancer has used since the snapshots `before`.
///
/// # Errors
/// A balancer or its discovery has ended.
pub fn usage_since(balancers: &[MeasuredBalancer], before: &[Snapshot]) -> Result<Vec<UsageDelta>> {
    let after = snapshots(balancers)?;
    let mut deltas = Vec::new();
    for ((balancer, after), before) in balancers.iter().zip(&after).zip(before) {
        let processor = after.usage.processor_time.saturating_sub(before.usage.processor_time);
        deltas.push(UsageDelta {
            known_upstreams: balancer.entries.len() as f64,
            seconds: (after.at - before.at).as_secs_f64(),
            processor_us: processor.as_secs_f64() * 1e6,
            context_switches: after.usage.context_switches.saturating_sub(before.usage.context_switches)
                as f64,
            traffic: after.traffic.since(&before.traffic),
        });
    }
    Ok(deltas)
}

/// Cost of one event.
#[derive(Clone, Copy)]
pub struct EventCost {
    /// Position on the horizontal axis: the number of known upstreams, or of changed entries.
    pub x: f64,
    /// Processor time of the balancer, in microseconds.
    pub processor_us: f64,
    /// Bytes in both directions between the balancer and discovery.
    pub bytes: f64,
}

/// Returns the cost of one event for each size: the resources used beyond those of an idle interval of the same length,
/// divided by the number of events.
pub fn event_costs(used: &[UsageDelta], idle: &[UsageDelta], triggered: u32) -> Vec<EventCost> {
    let mut costs = Vec::new();
    for (used, idle) in used.iter().zip(idle) {
        let events = used.events(triggered);
        let idle_processor_us = idle.processor_us * used.seconds / idle.seconds;
        costs.push(EventCost {
            x: used.known_upstreams,
            processor_us: (used.processor_us - idle_processor_us) / events,
            // The bytes of idle time are not subtracted: a watch that ends with a change gets no empty response, so all
            // bytes belong to the events.
            bytes: used.bytes() / events,
        });
    }
    costs
}

/// Returns the slopes of processor time, bytes and context switches per second.
pub fn per_second(name: &str, used: &[UsageDelta]) -> Vec<Slope> {
    let slope = |what: &str, unit: &str, value: fn(&UsageDelta) -> f64| {
        let point = |used: &UsageDelta| Point { x: used.known_upstreams, y: value(used) / used.seconds };
        let points = used.iter().map(point).collect();
        Slope::new(format!("{name}/{what}"), "upstreams known", unit, points)
    };
    vec![
        slope("processor", "us a second", |used| used.processor_us),
        slope("bytes", "bytes a second", UsageDelta::bytes),
        slope("switches", "switches a second", |used| used.context_switches),
    ]
}

/// Returns the slopes of processor time and bytes per event. `event` is the end of their unit, such as "a change".
pub fn per_event(name: &str, event: &str, costs: &[EventCost]) -> Vec<Slope> {
    let slope = |what: &str, unit: &str, value: fn(&EventCost) -> f64| {
        let points = costs.iter().map(|cost| Point { x: cost.x, y: value(cost) }).collect();
        Slope::new(format!("{name}/{what}"), "upstreams known", &format!("{unit} {event}"), points)
    };
    vec![slope("processor", "us", |cost| cost.processor_us), slope("bytes", "bytes", |cost| cost.bytes)]
}
