//! What a call costs the decision module, by servers known: `cargo bench -p zincstand-fleet --bench handle`.
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

const SERVERS: [u32; 5] = [10, 34, 200, 600, 2_000];
const ZONES: u32 = 14;
/// Requests held beside the attempts that are out, in the measurements that hold any.
const HELD: usize = 50;
/// Pairs measured on one balancer; a fresh one follows, so that windows and queues stay where they were put.
const CHUNK: u64 = 64;
/// Token of the module's look at what it holds.
const SWEEP: u64 = 1;

/// Who sends to the servers.
#[derive(Clone, Copy, PartialEq)]
enum Sender {
    /// One balancer for all: a front.
    Alone,
    /// One of as many balancers as there are servers: its share is about one server.
    OneOfMany,
}

impl Sender {
    fn name(self) -> &'static str {
        if self == Sender::Alone { "alone" } else { "one of many" }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Measured {
    /// A request and its outcome, nothing else out.
    Idle,
    /// All places taken and `HELD` requests held: an outcome, which sends a held one, and a new request.
    Holding,
    /// A look at `HELD` held requests that changes nothing.
    Look,
}

impl Measured {
    fn name(self) -> &'static str {
        match self {
            Measured::Idle => "idle pool, a pair",
            Measured::Holding => "50 held, a pair",
            Measured::Look => "50 held, a look",
        }
    }
}

struct Bench {
    balancer: Balancer,
    now: Micros,
    next: RequestId,
    /// Attempts that are out, oldest first.
    out: VecDeque<(RequestId, ServerId)>,
    held: usize,
    actions: Vec<Action>,
    ended: u64,
}

impl Bench {
    fn new(servers: u32, sender: Sender) -> Bench {
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
        let zones = ZONES.min(servers);
        settings.zone_count = zones;
        if sender == Sender::OneOfMany {
            (settings.balancer_count, settings.balancer_index) = (servers, servers / 2);
            settings.zone = settings.balancer_index % zones;
        }
        let mut balancer = Balancer::new(settings, 1).expect("settings that make sense");
        let mut actions = Vec::new();
        let entry = |id: u32| ServerEntry {
            zone: id % zones,
            ring_position: u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ..ServerEntry::new(id)
        };
        let entries = (0..servers).map(entry).collect();
        balancer.handle(0, Event::EndpointList { kind: ListKind::Snapshot, entries }, &mut actions);
        actions.clear();
        let mut bench = Bench { balancer, now: 0, next: 0, out: VecDeque::new(), held: 0, actions, ended: 0 };
        // Percentiles are known.
        (0..256).for_each(|_| bench.idle_pair());
        bench
    }

    /// Fills every place, and holds `HELD` requests.
    fn fill(&mut self) {
        while self.held < HELD {
            self.request();
        }
    }

    fn event(&mut self, event: Event) {
        self.now += 10;
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    fn request(&mut self) {
        let id = self.next;
        self.next += 1;
        self.held += 1;
        self.event(Event::Request {
            id,
            class: 0,
            time_left: 1_000_000_000,
            tenant: None,
            work: None,
            marked_retry: false,
            body_pending: false,
        });
        self.book();
    }

    fn outcome(&mut self) {
        let Some((request, server)) = self.out.pop_front() else { return };
        self.ended += 1;
        // One late answer in four keeps the windows where they are.
        let latency = if self.ended.is_multiple_of(4) { 800_000 } else { 2_000 };
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
        self.book();
    }

    fn book(&mut self) {
        for action in self.actions.drain(..) {
            match action {
                Action::Send { request, server, .. } => {
                    self.held -= 1;
                    self.out.push_back((request, server));
                }
                Action::Reject { .. } | Action::Fail { .. } => self.held -= 1,
                _ => {}
            }
        }
    }

    fn idle_pair(&mut self) {
        self.request();
        self.outcome();
    }
}

/// Time of each of so many pairs or looks, and allocations and bytes of one.
fn measure(servers: u32, sender: Sender, what: Measured, count: u64) -> (Vec<Duration>, f64, f64) {
    let (mut times, mut allocations, mut bytes, mut done) = (Vec::new(), 0, 0, 0);
    times.reserve(count as usize);
    while done < count {
        let mut bench = Bench::new(servers, sender);
        if what != Measured::Idle {
            bench.fill();
        }
        for _ in 0..CHUNK.min(count - done) {
            let region = Region::new(ALLOCATOR);
            let began = Instant::now();
            match what {
                Measured::Idle => bench.idle_pair(),
                Measured::Holding => {
                    bench.outcome();
                    bench.request();
                }
                Measured::Look => bench.event(Event::Timer { token: SWEEP }),
            }
            times.push(began.elapsed());
            let change = region.change();
            allocations += change.allocations + change.reallocations;
            bytes += change.bytes_allocated;
            if what == Measured::Look {
                bench.book();
            }
            if what != Measured::Idle {
                bench.fill();
            }
            done += 1;
        }
    }
    (times, allocations as f64 / count as f64, bytes as f64 / count as f64)
}

fn handle(c: &mut Criterion) {
    for sender in [Sender::Alone, Sender::OneOfMany] {
        for what in [Measured::Idle, Measured::Holding, Measured::Look] {
            let mut group = c.benchmark_group(format!("{}, {}", sender.name(), what.name()));
            group.warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_secs(1));
            group.sample_size(10);
            for servers in SERVERS {
                let id = BenchmarkId::from_parameter(servers);
                group.bench_function(id, |b| {
                    b.iter_custom(|n| measure(servers, sender, what, n).0.iter().sum())
                });
            }
            group.finish();
        }
    }
}

/// Time, allocations and bytes of a pair or a look, in one table. The median and the lowest tenth stand where a
/// busy machine takes the processor away in between; a mean does not.
fn table(_: &mut Criterion) {
    println!("sender       measured           servers  ns (median)  ns (lowest tenth)  allocations  bytes");
    for sender in [Sender::Alone, Sender::OneOfMany] {
        for what in [Measured::Idle, Measured::Holding, Measured::Look] {
            for servers in SERVERS {
                let count = if servers > 300 { 4 * CHUNK } else { 16 * CHUNK };
                let (mut times, allocations, bytes) = measure(servers, sender, what, count);
                times.sort();
                let (median, tenth) = (times[times.len() / 2].as_nanos(), times[times.len() / 10].as_nanos());
                let (sender, what) = (sender.name(), what.name());
                println!(
                    "{sender:12} {what:18} {servers:7} {median:12} {tenth:18} {allocations:12.1} {bytes:6.0}"
                );
            }
        }
    }
}

criterion_group!(benches, table, handle);
criterion_main!(benches);
