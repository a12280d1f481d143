//! What control costs with no calls at all: processor time and bytes, by upstreams known.

use std::time::Duration;

use anyhow::{Context, Result};
use tokio::time::{Instant, sleep};
use zincstand_testbed::balancer::{Balancer, Settings, Usage, stop};
use zincstand_testbed::discovery::{Discovery, Entry, Mode, Traffic};
use zincstand_testbed::machine::Needs;
use zincstand_testbed::report::Slope;
use zincstand_testbed::slope::Point;

use super::Bench;

/// How long nothing happens, and how long discovery is down and then silent.
const IDLE: Duration = Duration::from_secs(15);
const DOWN: Duration = Duration::from_secs(8);
const QUICK: Duration = Duration::from_millis(1500);
/// How often each event happens, and how far apart.
const TIMES: u32 = 30;
const QUICK_TIMES: u32 = 10;
const APART: Duration = Duration::from_millis(150);
/// Before the first measurement: what the start left over.
const SETTLED: Duration = Duration::from_secs(1);

/// What happens to the list.
#[derive(Clone, Copy)]
enum News {
    /// This part of the entries changes, one at the least.
    Part(f64),
    /// The whole list is told anew.
    Whole,
}

const NEWS: [(&str, News); 5] = [
    ("change-of-one", News::Part(0.0)),
    ("change-of-a-hundredth", News::Part(0.01)),
    ("change-of-a-tenth", News::Part(0.1)),
    ("change-of-all", News::Part(1.0)),
    ("whole-list", News::Whole),
];

pub fn plan(bench: &Bench) -> (String, Needs) {
    let processes = bench.upstreams.len();
    let (idle, down) = spans(bench);
    let seconds = (SETTLED + idle + 2 * down + (NEWS.len() as u32 + 1) * times(bench) * APART).as_secs();
    let text =
        format!("control: {processes} balancers and as many discoveries at once, no calls, {seconds} s");
    (
        text,
        Needs {
            processes,
            memory_mb: (processes * 32 + bench.most_upstreams() / 50 + 50) as u64,
            descriptors: 1000,
        },
    )
}

fn times(bench: &Bench) -> u32 {
    if bench.quick { QUICK_TIMES } else { TIMES }
}

fn spans(bench: &Bench) -> (Duration, Duration) {
    if bench.quick { (QUICK, QUICK) } else { (IDLE, DOWN) }
}

pub async fn measure(bench: &Bench) -> Result<Vec<Slope>> {
    let mut sides = Vec::new();
    for &known in &bench.upstreams {
        sides.push(Side::start(bench, known).await?);
    }
    sleep(SETTLED).await;
    let (idle_span, down_span) = spans(bench);
    let mut slopes = Vec::new();

    let before = taken(&sides)?;
    sleep(idle_span).await;
    let idle = spent(&sides, &before)?;
    slopes.extend(per_second("control/idle", &idle));

    let mut by_entries = Vec::new();
    for (name, news) in NEWS {
        let before = taken(&sides)?;
        for turn in 0..times(bench) {
            for side in &sides {
                side.tell(news, turn)?;
            }
            sleep(APART).await;
        }
        let spent = spent(&sides, &before)?;
        let events = beyond_idle(&spent, &idle, times(bench));
        slopes.extend(per_event(&format!("control/{name}"), "a change", &events));
        if let (News::Part(part), Some(event)) = (news, events.last()) {
            by_entries.push(Event { known: changed(part, event.known as usize) as f64, ..*event });
        }
    }
    let most = bench.most_upstreams();
    for mut slope in per_event("control/change-by-entries", "a change", &by_entries) {
        slope.x = "entries changed".to_owned();
        slopes.push(slope.remark(format!("{most} upstreams known")));
    }

    let before = taken(&sides)?;
    for _ in 0..times(bench) {
        for side in &sides {
            side.balancer.reload(&side.settings)?;
        }
        sleep(APART).await;
    }
    let events = beyond_idle(&spent(&sides, &before)?, &idle, times(bench));
    let processor = events.iter().map(|e| Point { x: e.known, y: e.processor_us }).collect();
    slopes.push(Slope::new("control/reload/processor", "upstreams known", "us a SIGHUP", processor));

    for (name, mode) in [("discovery-down", Mode::Down), ("discovery-silent", Mode::Silent)] {
        for side in &sides {
            side.discovery.set_mode(mode)?;
        }
        let before = taken(&sides)?;
        sleep(down_span).await;
        slopes.extend(per_second(&format!("control/{name}"), &spent(&sides, &before)?));
        for side in &sides {
            side.discovery.set_mode(Mode::Up)?;
        }
        sleep(SETTLED).await;
    }
    stop(sides.into_iter().map(|side| side.balancer)).await?;
    Ok(slopes)
}

/// How many entries a part of the list is.
fn changed(part: f64, known: usize) -> usize {
    ((known as f64 * part).round() as usize).clamp(1, known)
}

/// A balancer with nothing to do, and its discovery.
struct Side {
    balancer: Balancer,
    settings: Settings,
    discovery: Discovery,
    entries: Vec<Entry>,
}

impl Side {
    async fn start(bench: &Bench, known: usize) -> Result<Side> {
        // Nobody listens there and nobody is sent to.
        let address = |i: usize| ([127, 0, (1 + i / 250) as u8, (1 + i % 250) as u8], 9).into();
        let entries: Vec<Entry> = (0..known).map(|i| Entry::serving(i, 1, address(i))).collect();
        let discovery = Discovery::start()?;
        discovery.replace(entries.clone())?;
        let settings = Settings { balancers: known as u32, ..Settings::alone(discovery.address()) };
        let balancer = Balancer::start(&bench.balancer, &settings).await?;
        Ok(Side { balancer, settings, discovery, entries })
    }

    /// Entries of other weights than before.
    fn tell(&self, news: News, turn: u32) -> Result<()> {
        let weight = if turn.is_multiple_of(2) { 1.1 } else { 1.0 };
        let number = match news {
            News::Part(part) => changed(part, self.entries.len()),
            News::Whole => self.entries.len(),
        };
        let entries = self.entries[..number].iter().map(|e| Entry { weight, ..e.clone() }).collect();
        match news {
            News::Part(_) => self.discovery.change(entries)?,
            News::Whole => self.discovery.replace(entries)?,
        };
        Ok(())
    }
}

/// Where a side was at a moment.
type Taken = (Usage, Traffic, Instant);

fn taken(sides: &[Side]) -> Result<Vec<Taken>> {
    let one = |side: &Side| {
        let usage = side.balancer.usage().context("a balancer has ended under measurement")?;
        Ok((usage, side.discovery.counters()?.total, Instant::now()))
    };
    sides.iter().map(one).collect()
}

/// What a side spent over a span.
struct Spent {
    known: f64,
    seconds: f64,
    processor_us: f64,
    switches: f64,
    traffic: Traffic,
}

impl Spent {
    fn bytes(&self) -> f64 {
        (self.traffic.bytes_in + self.traffic.bytes_out) as f64
    }
}

fn spent(sides: &[Side], before: &[Taken]) -> Result<Vec<Spent>> {
    let now = taken(sides)?;
    let one = |((side, now), before): ((&Side, &Taken), &Taken)| Spent {
        known: side.entries.len() as f64,
        seconds: (now.2 - before.2).as_secs_f64(),
        processor_us: now.0.processor.saturating_sub(before.0.processor).as_secs_f64() * 1e6,
        switches: now.0.switches.saturating_sub(before.0.switches) as f64,
        traffic: now.1.since(&before.1),
    };
    Ok(sides.iter().zip(&now).zip(before).map(one).collect())
}

/// What one of the events of a span cost.
#[derive(Clone, Copy)]
struct Event {
    known: f64,
    processor_us: f64,
    bytes: f64,
}

/// What a span took beyond as long a one without events, by event: by answers with news, so that two changes told in
/// one answer count as one; where there were none, by what was ordered so many times.
fn beyond_idle(spent: &[Spent], idle: &[Spent], times: u32) -> Vec<Event> {
    let one = |(s, i): (&Spent, &Spent)| {
        let told = s.traffic.deltas + s.traffic.snapshots;
        let events = if told > 0 { told as f64 } else { f64::from(times) };
        let idle = i.processor_us * s.seconds / i.seconds;
        // Watches that news cut short have no empty answers: all bytes are the news'.
        Event { known: s.known, processor_us: (s.processor_us - idle) / events, bytes: s.bytes() / events }
    };
    spent.iter().zip(idle).map(one).collect()
}

fn per_second(name: &str, spent: &[Spent]) -> Vec<Slope> {
    let slope = |what: &str, unit: &str, y: &dyn Fn(&Spent) -> f64| {
        Slope::new(
            format!("{name}/{what}"),
            "upstreams known",
            unit,
            spent.iter().map(|s| Point { x: s.known, y: y(s) / s.seconds }).collect(),
        )
    };
    vec![
        slope("processor", "us a second", &|s| s.processor_us),
        slope("bytes", "bytes a second", &Spent::bytes),
        slope("switches", "switches a second", &|s| s.switches),
    ]
}

fn per_event(name: &str, event: &str, events: &[Event]) -> Vec<Slope> {
    let slope = |what: &str, unit: &str, y: fn(&Event) -> f64| {
        Slope::new(
            format!("{name}/{what}"),
            "upstreams known",
            &format!("{unit} {event}"),
            events.iter().map(|e| Point { x: e.known, y: y(e) }).collect(),
        )
    };
    vec![slope("processor", "us", |e| e.processor_us), slope("bytes", "bytes", |e| e.bytes)]
}
