//! Time and allocations of a call of the decision module, by number of servers known: `cargo bench -p zincstand-fleet-model --bench handle`.
//!
//! A pair is one request and one outcome through `Balancer::handle`. Nothing else runs: no world, no sockets.

use std::alloc::System;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use zincstand_policy::{
    Action, Balancer, Class, Event, Idempotency, ListKind, Micros, Outcome, RequestId, ServerEntry, ServerId,
    Settings,
};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Numbers of servers known.
const SERVERS: [u32; 5] = [10, 34, 200, 600, 2_000];
/// Zones of the planned fleet.
const ZONES: u32 = 14;
/// Requests queued beside the attempts in flight, in the measurements that queue any.
const QUEUED: usize = 50;
/// Operations measured on one balancer before a fresh one takes over, so that limits and queues stay as prepared.
const OPERATIONS_PER_BALANCER: u64 = 64;
/// Token of the timer on which the module sweeps its queues.
const SWEEP_TOKEN: u64 = 1;
/// Requests by which a fresh balancer has learned its percentiles.
const WARM_UP_PAIRS: u32 = 256;
/// Time between two events, in microseconds.
const EVENT_INTERVAL: Micros = 10;

/// How many balancers send to the servers.
#[derive(Clone, Copy, PartialEq)]
enum Sender {
    /// One balancer for all: a front.
    Alone,
    /// One of as many balancers as there are servers: its fair share is about one server.
    OneOfMany,
}

impl Sender {
    fn name(self) -> &'static str {
        match self {
            Sender::Alone => "alone",
            Sender::OneOfMany => "one of many",
        }
    }
}

/// The operation that is measured.
#[derive(Clone, Copy, PartialEq)]
enum Operation {
    /// A request and its outcome, nothing else in flight.
    IdlePair,
    /// At the limit with `QUEUED` requests queued: an outcome, which sends a queued one, and a new request.
    QueuedPair,
    /// A sweep of `QUEUED` queued requests that changes nothing.
    Sweep,
}

impl Operation {
    const ALL: [Operation; 3] = [Operation::IdlePair, Operation::QueuedPair, Operation::Sweep];

    fn name(self) -> &'static str {
        match self {
            Operation::IdlePair => "idle pool, a pair",
            Operation::QueuedPair => "50 queued, a pair",
            Operation::Sweep => "50 queued, a sweep",
        }
    }
}

struct AttemptInFlight {
    request: RequestId,
    server: ServerId,
}

/// A balancer and the bookkeeping of whoever drives it.
struct Bench {
    balancer: Balancer,
    now: Micros,
    next_request: RequestId,
    /// Oldest first.
    in_flight: VecDeque<AttemptInFlight>,
    queued: usize,
    actions: Vec<Action>,
    outcomes: u64,
}

/// The settings of a balancer with one class of idempotent requests.
fn settings(servers: u32, sender: Sender) -> Settings {
    let class = Class {
        idempotency: Idempotency::Idempotent,
        latency_objective: 1_000_000,
        objective_per_work: 0.0,
        deadline: 1_000_000_000,
        priority_weight: 1.0,
        late_weight: 0.5,
        streaming: false,
    };
    let mut settings = Settings::new(vec![class]);
    settings.zone_count = ZONES.min(servers);
    if sender == Sender::OneOfMany {
        settings.balancer_count = servers;
        settings.balancer_index = servers / 2;
        settings.zone = settings.balancer_index % settings.zone_count;
    }
    settings
}

impl Bench {
    fn new(servers: u32, sender: Sender) -> Bench {
        let settings = settings(servers, sender);
        let zones = settings.zone_count;
        let mut balancer = Balancer::new(settings, 1).expect("the settings are valid");
        let mut actions = Vec::new();
        let entry = |id: u32| ServerEntry {
            zone: id % zones,
            ring_position: u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ..ServerEntry::new(id)
        };
        let entries = (0..servers).map(entry).collect();
        balancer.handle(0, Event::EndpointList { kind: ListKind::Snapshot, entries }, &mut actions);
        actions.clear();
        let mut bench = Bench {
            balancer,
            now: 0,
            next_request: 0,
            in_flight: VecDeque::new(),
            queued: 0,
            actions,
            outcomes: 0,
        };
        for _ in 0..WARM_UP_PAIRS {
            bench.idle_pair();
        }
        bench
    }

    /// Reaches the concurrency limit, with `QUEUED` requests queued.
    fn fill(&mut self) {
        while self.queued < QUEUED {
            self.request();
        }
    }

    fn event(&mut self, event: Event) {
        self.now += EVENT_INTERVAL;
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    fn request(&mut self) {
        let id = self.next_request;
        self.next_request += 1;
        self.queued += 1;
        self.event(Event::Request {
            id,
            class: 0,
            time_left: 1_000_000_000,
            tenant: None,
            work: None,
            marked_retry: false,
            body_pending: false,
        });
        self.apply_actions();
    }

    fn outcome(&mut self) {
        let Some(AttemptInFlight { request, server }) = self.in_flight.pop_front() else { return };
        self.outcomes += 1;
        // One late answer in four keeps the concurrency limits where they are.
        let latency = if self.outcomes.is_multiple_of(4) { 800_000 } else { 2_000 };
        self.event(Event::Outcome {
            request,
            attempt: 0,
            server,
            outcome: Outcome::Ok,
            latency,
            finished: true,
            body_consumed: false,
            load: None,
        });
        self.apply_actions();
    }

    /// Follows the module's actions.
    fn apply_actions(&mut self) {
        for action in self.actions.drain(..) {
            match action {
                Action::Send { request, server, .. } => {
                    self.queued -= 1;
                    self.in_flight.push_back(AttemptInFlight { request, server });
                }
                Action::Reject { .. } | Action::Fail { .. } => self.queued -= 1,
                _ => {}
            }
        }
    }

    fn idle_pair(&mut self) {
        self.request();
        self.outcome();
    }
}

/// What operations cost.
struct Measurement {
    /// Of each operation.
    times: Vec<Duration>,
    /// Mean of an operation.
    allocations: f64,
    /// Mean bytes allocated by an operation.
    bytes: f64,
}

impl Operation {
    fn run(self, bench: &mut Bench) {
        match self {
            Operation::IdlePair => bench.idle_pair(),
            Operation::QueuedPair => {
                bench.outcome();
                bench.request();
            }
            Operation::Sweep => bench.event(Event::Timer { token: SWEEP_TOKEN }),
        }
    }

    /// Measures `count` operations.
    fn measure(self, servers: u32, sender: Sender, count: u64) -> Measurement {
        let mut times = Vec::with_capacity(count as usize);
        let mut allocations = 0;
        let mut bytes = 0;
        while (times.len() as u64) < count {
            let mut bench = Bench::new(servers, sender);
            if self != Operation::IdlePair {
                bench.fill();
            }
            for _ in 0..OPERATIONS_PER_BALANCER.min(count - times.len() as u64) {
                let region = Region::new(ALLOCATOR);
                let began = Instant::now();
                self.run(&mut bench);
                times.push(began.elapsed());
                let change = region.change();
                allocations += change.allocations + change.reallocations;
                bytes += change.bytes_allocated;
                if self == Operation::Sweep {
                    bench.apply_actions();
                }
                if self != Operation::IdlePair {
                    bench.fill();
                }
            }
        }
        Measurement {
            times,
            allocations: allocations as f64 / count as f64,
            bytes: bytes as f64 / count as f64,
        }
    }
}

fn bench_handle(criterion: &mut Criterion) {
    for sender in [Sender::Alone, Sender::OneOfMany] {
        for operation in Operation::ALL {
            let name = format!("{}, {}", sender.name(), operation.name());
            let mut group = criterion.benchmark_group(name);
            group.warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_secs(1));
            group.sample_size(10);
            for servers in SERVERS {
                let id = BenchmarkId::from_parameter(servers);
                group.bench_function(id, |bencher| {
                    bencher.iter_custom(|count| operation.measure(servers, sender, count).times.iter().sum());
                });
            }
            group.finish();
        }
    }
}

/// Prints time, allocations and bytes of an operation in one table. The median and the lowest tenth stand even where a
/// busy machine takes the processor away in between; a mean does not.
fn print_table(_: &mut Criterion) {
    println!("sender       operation          servers  ns (median)  ns (lowest tenth)  allocations  bytes");
    for sender in [Sender::Alone, Sender::OneOfMany] {
        for operation in Operation::ALL {
            for servers in SERVERS {
                print_row(sender, operation, servers);
            }
        }
    }
}

fn print_row(sender: Sender, operation: Operation, servers: u32) {
    let balancers = if servers > 300 { 4 } else { 16 };
    let mut measurement = operation.measure(servers, sender, balancers * OPERATIONS_PER_BALANCER);
    let times = &mut measurement.times;
    times.sort();
    let median = times[times.len() / 2].as_nanos();
    let lowest_tenth = times[times.len() / 10].as_nanos();
    println!(
        "{:12} {:18} {servers:7} {median:12} {lowest_tenth:18} {:12.1} {:6.0}",
        sender.name(),
        operation.name(),
        measurement.allocations,
        measurement.bytes
    );
}

criterion_group!(benches, print_table, bench_handle);
criterion_main!(benches);
