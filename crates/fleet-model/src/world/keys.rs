//! Keys of random draws.
//!
//! Each key identifies what a number is drawn for, independently of all other draws, so that the numbers of a scenario
//! do not depend on the decisions of the policy. Stored results depend on how the keys are computed.

use zincstand_policy::Micros;

use super::attempts::Direction;
use super::index::{ArrivalIndex, ProcessIndex, ServerIndex};
use crate::random;

/// Offset of the keys of backoffs, which separates them from the keys of client attempts. The attempt's number is
/// added.
const BACKOFF_KEY_OFFSET: u64 = 1_000;
/// Offset of the keys of heavy requests, which separates them from other keys of an arrival. The fault's number is
/// added.
const HEAVY_TAIL_KEY_OFFSET: u64 = 1_000_000;
/// Offset of the keys of the numbers of nested calls, which separates them from other keys of an arrival. The tier is
/// added.
const CALL_COUNT_KEY_OFFSET: u64 = 77;

/// Returns the key of a client's attempt.
pub(super) fn client_attempt(arrival: ArrivalIndex, number: u32) -> u64 {
    random::combine(u64::from(arrival), u64::from(number))
}

/// Returns the key of the backoff after a client's attempt.
pub(super) fn client_backoff(arrival: ArrivalIndex, number: u32) -> u64 {
    random::combine(u64::from(arrival), BACKOFF_KEY_OFFSET + u64::from(number))
}

/// Returns the key of an attempt of a balancer in `tier`. `caller` is the number of the client's attempt, or the key
/// of the calling job.
pub(super) fn attempt(arrival: ArrivalIndex, tier: usize, number: u32, caller: u64) -> u64 {
    random::combine(u64::from(arrival) << 8 | tier as u64, u64::from(number) << 24 | caller)
}

/// Returns the key of a job's call of the next tier. `attempt_number` is the number of the attempt that the job
/// executes.
pub(super) fn nested_call(calls_left: u32, attempt_number: u32) -> u64 {
    u64::from(calls_left) << 8 | u64::from(attempt_number) << 16
}

/// Returns the key of a message between an attempt's balancer and its server.
pub(super) fn attempt_message(attempt_key: u64, direction: Direction) -> u64 {
    attempt_key ^ (direction as u64) << 60
}

/// Returns the key that decides whether an attempt fails at its server.
pub(super) fn attempt_error(attempt_key: u64) -> u64 {
    attempt_key
}

/// Returns the key that decides whether the connection of an attempt breaks.
pub(super) fn attempt_reset(attempt_key: u64) -> u64 {
    attempt_key ^ 1
}

/// Returns the key of the time at which the connection of an attempt breaks.
pub(super) fn attempt_reset_time(attempt_key: u64) -> u64 {
    attempt_key ^ 2
}

/// Returns the key that decides whether a client honours `Retry-After` after an attempt.
pub(super) fn honours_retry_after(backoff_key: u64) -> u64 {
    backoff_key ^ 1
}

/// Returns the key that decides whether a fault makes a request heavy.
pub(super) fn heavy_tail(arrival: ArrivalIndex, fault: u32) -> u64 {
    random::combine(u64::from(arrival), HEAVY_TAIL_KEY_OFFSET + u64::from(fault))
}

/// Returns the key of the number of calls of the next tier that a request makes in `tier`.
pub(super) fn call_count(arrival: ArrivalIndex, tier: usize) -> u64 {
    random::combine(u64::from(arrival), CALL_COUNT_KEY_OFFSET + tier as u64)
}

/// Returns the key of the interval before a pause of a server's process.
pub(super) fn pause(server: ServerIndex, epoch: u32, number: u32) -> u64 {
    random::combine(u64::from(server), u64::from(epoch) << 32 | u64::from(number))
}

/// Returns the key of a health check that is sent at `now`.
pub(super) fn health_check(process: ProcessIndex, server: ServerIndex, now: Micros) -> u64 {
    random::combine(u64::from(process) << 32 | u64::from(server), now)
}

/// Returns the key of the clock of a balancer.
pub(super) fn balancer_clock(balancer: u32, tier: usize) -> u64 {
    u64::from(balancer) << 8 | tier as u64
}

/// Returns the key of the delay of a notification. `version` is the length of discovery's log or an instant.
pub(super) fn notification_delay(process: ProcessIndex, version: u64) -> u64 {
    random::combine(u64::from(process), version)
}

/// Returns the key that decides whether a watch breaks at a position of discovery's log.
pub(super) fn watch_failure(process: ProcessIndex, position: usize) -> u64 {
    random::combine(u64::from(process) << 1 | 1, position as u64)
}

/// Returns the key that decides whether a call to discovery at `now` fails.
pub(super) fn call_failure(process: ProcessIndex, now: Micros) -> u64 {
    random::combine(u64::from(process) << 1, now)
}
