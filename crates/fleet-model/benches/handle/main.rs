//! Time and allocations of a call of the decision module, by the number of servers that it knows: `cargo bench -p
//! zincstand-fleet-model --bench handle`.
//!
//! A pair is a request and its outcome through `Balancer::handle`. No simulated world and no sockets are involved.

mod balancer;
mod measurement;

use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

use crate::balancer::Sharing;
use crate::measurement::{OPERATIONS_PER_BALANCER, Operation};

/// Numbers of servers that the balancer knows.
const SERVERS: [u32; 5] = [10, 34, 200, 600, 2_000];

fn bench_handle(criterion: &mut Criterion) {
    for sharing in [Sharing::Alone, Sharing::OneOfMany] {
        for operation in Operation::ALL {
            let name = format!("{}, {}", sharing.name(), operation.name());
            let mut group = criterion.benchmark_group(name);
            group.warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_secs(1));
            group.sample_size(10);
            for servers in SERVERS {
                let id = BenchmarkId::from_parameter(servers);
                group.bench_function(id, |bencher| {
                    bencher
                        .iter_custom(|count| operation.measure(servers, sharing, count).times.iter().sum());
                });
            }
            group.finish();
        }
    }
}

/// Prints a table of time, allocations and bytes of the operations. Unlike a mean, the median and the lowest tenth are
/// hardly affected if a busy machine interrupts the measurement.
fn print_table(_: &mut Criterion) {
    println!("sender       operation          servers  ns (median)  ns (lowest tenth)  allocations  bytes");
    for sharing in [Sharing::Alone, Sharing::OneOfMany] {
        for operation in Operation::ALL {
            for servers in SERVERS {
                print_row(sharing, operation, servers);
            }
        }
    }
}

fn print_row(sharing: Sharing, operation: Operation, servers: u32) {
    let balancer_count = if servers > 300 { 4 } else { 16 };
    let mut measurement = operation.measure(servers, sharing, balancer_count * OPERATIONS_PER_BALANCER);
    let times = &mut measurement.times;
    times.sort();
    let median = times[times.len() / 2].as_nanos();
    let lowest_tenth = times[times.len() / 10].as_nanos();
    println!(
        "{:12} {:18} {servers:7} {median:12} {lowest_tenth:18} {:12.1} {:6.0}",
        sharing.name(),
        operation.name(),
        measurement.allocations,
        measurement.bytes
    );
}

criterion_group!(benches, print_table, bench_handle);
criterion_main!(benches);
