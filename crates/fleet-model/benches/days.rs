//! What a day of the model costs: `cargo bench -p zincstand-fleet`.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use zincstand_fleet_model::catalog::{self, Size};
use zincstand_fleet_model::policy::Kind;
use zincstand_fleet_model::scenario::Scenario;
use zincstand_fleet_model::{Span, play};

fn drawn(kind: &str, size: Size) -> Scenario {
    catalog::generate(kind, 1, size).expect("a kind that is known")
}

/// The day in service: 8 + 9 servers, 69 requests a second, 60 s.
fn service() -> Scenario {
    let mut day = drawn("errors+heavy+deploy", Size::Site);
    (day.tiers[0].servers, day.tiers[1].servers) = (vec![4, 4], vec![5, 4]);
    (day.load.rate, day.length) = (69.0, Span::s(60.0));
    day.faults.retain(|f| f.which.iter().all(|w| *w < 8));
    day
}

fn one_day(c: &mut Criterion) {
    let day = service();
    let mut group = c.benchmark_group("60 s, 8 + 9 servers, 69 a second");
    group.measurement_time(Duration::from_secs(5)).sample_size(20);
    for kind in [Kind::Module, Kind::TwoChoices] {
        group.bench_function(kind.name(), |b| b.iter(|| play(black_box(&day), kind, false)));
    }
    group.finish();
}

/// The same load a server on ever more servers: time for an event shows what grows with the fleet.
fn growth(c: &mut Criterion) {
    let mut group = c.benchmark_group("an event, by servers");
    group.measurement_time(Duration::from_secs(5)).sample_size(10);
    for times in [1u32, 2, 4, 8] {
        let mut day = drawn("deploy", Size::Vast);
        for tier in &mut day.tiers {
            tier.servers.iter_mut().for_each(|n| *n = *n * times / 2);
        }
        day.faults.clear();
        day.load.rate *= f64::from(times) / 2.0;
        day.length = Span::s(10.0);
        let most = day.balancers.zones.len() * times as usize / 2;
        day.balancers.zones = day.balancers.zones.iter().cycle().take(most).cloned().collect();
        let servers: u32 = day.tiers.iter().flat_map(|t| &t.servers).sum();
        for kind in [Kind::Module, Kind::TwoChoices] {
            let events = play(&day, kind, false).map_or(0, |p| p.result.events);
            group.throughput(Throughput::Elements(events));
            let id = BenchmarkId::new(kind.name(), servers);
            group.bench_function(id, |b| b.iter(|| play(black_box(&day), kind, false)));
        }
    }
    group.finish();
}

fn vast(c: &mut Criterion) {
    let mut group = c.benchmark_group("100 balancers, 60 servers");
    group.measurement_time(Duration::from_secs(10)).sample_size(10);
    for kind in ["deploy", "zone", "join"] {
        let day = drawn(kind, Size::Vast);
        group.bench_function(kind, |b| b.iter(|| play(black_box(&day), Kind::Module, false)));
    }
    group.finish();
}

criterion_group!(benches, one_day, growth, vast);
criterion_main!(benches);
