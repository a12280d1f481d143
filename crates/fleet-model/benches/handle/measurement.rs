//! Operations of the decision module, and the measurement of their time and allocations.

use std::alloc::System;
use std::time::{Duration, Instant};

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use zincstand_policy::Event;

use crate::balancer::{BalancerBench, Sharing};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Number of operations measured on one balancer. It is then replaced by a new one, so that limits and queues stay as
/// prepared.
pub const OPERATIONS_PER_BALANCER: u64 = 64;
/// Token of the timer on which the module expires queued requests.
const EXPIRY_TOKEN: u64 = 1;

/// The operation that is measured.
#[derive(Clone, Copy, PartialEq)]
pub enum Operation {
    /// A request and its outcome, with nothing else in flight.
    IdlePair,
    /// At the concurrency limit with `QUEUED_REQUESTS` queued: an outcome, which sends a queued request, and a new
    /// request.
    QueuedPair,
    /// The expiry timer with `QUEUED_REQUESTS` queued, none of which expires.
    Expiry,
}

impl Operation {
    /// All operations, in the order of tables.
    pub const ALL: [Operation; 3] = [Operation::IdlePair, Operation::QueuedPair, Operation::Expiry];

    /// Returns the name of the operation in tables.
    pub fn name(self) -> &'static str {
        match self {
            Operation::IdlePair => "idle pool, a pair",
            Operation::QueuedPair => "50 queued, a pair",
            Operation::Expiry => "50 queued, expiry",
        }
    }
}

/// Time and allocations of operations.
pub struct Measurement {
    /// Time of each operation.
    pub times: Vec<Duration>,
    /// Mean number of allocations of an operation.
    pub allocations: f64,
    /// Mean number of bytes allocated by an operation.
    pub bytes: f64,
}

impl Operation {
    fn run(self, bench: &mut BalancerBench) {
        match self {
            Operation::IdlePair => bench.idle_pair(),
            Operation::QueuedPair => {
                bench.outcome();
                bench.request();
            }
            Operation::Expiry => bench.event(Event::Timer { token: EXPIRY_TOKEN }),
        }
    }

    /// Measures `count` operations of a balancer that knows this many servers.
    pub fn measure(self, servers: u32, sharing: Sharing, count: u64) -> Measurement {
        let mut times = Vec::with_capacity(count as usize);
        let mut allocations = 0;
        let mut bytes = 0;
        while (times.len() as u64) < count {
            let mut bench = BalancerBench::new(servers, sharing);
            if self != Operation::IdlePair {
                bench.fill();
            }
            for _ in 0..OPERATIONS_PER_BALANCER.min(count - times.len() as u64) {
                let region = Region::new(ALLOCATOR);
                let started_at = Instant::now();
                self.run(&mut bench);
                times.push(started_at.elapsed());
                let change = region.change();
                allocations += change.allocations + change.reallocations;
                bytes += change.bytes_allocated;
                if self == Operation::Expiry {
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
