//! Time that running a scenario of the model takes: `cargo bench -p zincstand-fleet-model --bench scenarios`.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use zincstand_fleet_model::catalog::{self, Size};
use zincstand_fleet_model::policy::Kind;
use zincstand_fleet_model::scenario::Scenario;
use zincstand_fleet_model::{Span, run_scenario};

/// The decision module, and a cheap baseline that shows the cost of the world alone.
const POLICIES: [Kind; 2] = [Kind::Module, Kind::TwoChoices];

fn drawn(kind: &str, size: Size) -> Scenario {
    catalog::generate(kind, 1, size).expect("the catalog has this kind")
}

/// The scenario in service: 8 + 9 servers, 69 requests a second, 60 s.
fn service_scenario() -> Scenario {
    let mut scenario = drawn("errors+heavy+deploy", Size::Site);
    scenario.tiers[0].servers = vec![4, 4];
    scenario.tiers[1].servers = vec![5, 4];
    scenario.load.rate = 69.0;
    scenario.length = Span::s(60.0);
    scenario.faults.retain(|fault| fault.targets.iter().all(|server| *server < 8));
    scenario
}

fn bench_service_scenario(criterion: &mut Criterion) {
    let scenario = service_scenario();
    let mut group = criterion.benchmark_group("60 s, 8 + 9 servers, 69 a second");
    group.measurement_time(Duration::from_secs(5)).sample_size(20);
    for kind in POLICIES {
        group.bench_function(kind.name(), |bencher| {
            bencher.iter(|| run_scenario(black_box(&scenario), kind, false));
        });
    }
    group.finish();
}

/// A scenario of half the vast fleet times `factor`, with the same load for each server.
fn grown_scenario(factor: u32) -> Scenario {
    let mut scenario = drawn("deploy", Size::Vast);
    for count in scenario.tiers.iter_mut().flat_map(|tier| &mut tier.servers) {
        *count = *count * factor / 2;
    }
    scenario.faults.clear();
    scenario.load.rate *= f64::from(factor) / 2.0;
    scenario.length = Span::s(10.0);
    let balancers = scenario.balancers.zones.len() * factor as usize / 2;
    scenario.balancers.zones = scenario.balancers.zones.iter().cycle().take(balancers).cloned().collect();
    scenario
}

/// Time for an event on ever larger fleets shows what grows with the number of servers.
fn bench_growth(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("an event, by servers");
    group.measurement_time(Duration::from_secs(5)).sample_size(10);
    for factor in [1u32, 2, 4, 8] {
        let scenario = grown_scenario(factor);
        let servers: u32 = scenario.tiers.iter().flat_map(|tier| &tier.servers).sum();
        for kind in POLICIES {
            let events = run_scenario(&scenario, kind, false).map_or(0, |run| run.result.events);
            group.throughput(Throughput::Elements(events));
            let id = BenchmarkId::new(kind.name(), servers);
            group.bench_function(id, |bencher| {
                bencher.iter(|| run_scenario(black_box(&scenario), kind, false));
            });
        }
    }
    group.finish();
}

fn bench_vast_scenarios(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("100 balancers, 60 servers");
    group.measurement_time(Duration::from_secs(10)).sample_size(10);
    for kind in ["deploy", "zone", "join"] {
        let scenario = drawn(kind, Size::Vast);
        group.bench_function(kind, |bencher| {
            bencher.iter(|| run_scenario(black_box(&scenario), Kind::Module, false));
        });
    }
    group.finish();
}

criterion_group!(benches, bench_service_scenario, bench_growth, bench_vast_scenarios);
criterion_main!(benches);
