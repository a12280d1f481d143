use super::*;
use crate::memory::process_share;

const MIB: usize = 1 << 20;
const SMALL: RequestSize = RequestSize { head_bytes: 250, header_fields: 7, body_bytes: Some(0) };
const LARGE: RequestSize = RequestSize { head_bytes: 600, header_fields: 90, body_bytes: Some(0) };

fn budget() -> Rc<MemoryBudget> {
    // 10 MiB of heap, of which 1 MiB is in use.
    MemoryBudget::with_program(16 * MIB, 7 * MIB / 2, || MIB)
}

#[tokio::test(start_paused = true)]
async fn large_requests_are_refused_before_small_ones_and_for_other_causes() {
    let budget = budget();
    let mut charges = Vec::new();
    while let Ok(charge) = budget.admit(LARGE) {
        charges.push(charge);
    }
    let large_count = charges.len();
    assert_eq!(budget.admit(LARGE).err(), Some(MemoryCause::LargeRequest));
    while let Ok(charge) = budget.admit(SMALL) {
        charges.push(charge);
    }
    assert!(
        large_count > 0 && charges.len() >= large_count + RESERVE_AT_ONCE,
        "{large_count} of {}",
        charges.len()
    );
    assert_eq!(budget.admit(SMALL).err(), Some(MemoryCause::NewRequest));
    // The rest of the reserve becomes available with time.
    let at_once = charges.len();
    tokio::time::advance(RESERVE_TIME).await;
    while let Ok(charge) = budget.admit(SMALL) {
        charges.push(charge);
    }
    assert!(charges.len() > at_once + 2 * RESERVE_AT_ONCE, "{at_once} and then {}", charges.len());
    assert!(budget.used_bytes() <= budget.heap_limit());
    drop(charges);
    assert!(budget.admit(LARGE).is_ok(), "the charges are released");
}

#[tokio::test(start_paused = true)]
async fn a_shortage_that_pauses_for_a_moment_does_not_take_the_reserve_away_again() {
    let budget = budget();
    let mut large: Vec<_> = std::iter::from_fn(|| budget.admit(LARGE).ok()).collect();
    let mut small: Vec<_> = std::iter::from_fn(|| budget.admit(SMALL).ok()).collect();
    tokio::time::advance(RESERVE_TIME / 2).await;
    small.extend(std::iter::from_fn(|| budget.admit(SMALL).ok()).take(RESERVE_AT_ONCE));
    large.truncate(large.len() / 2);
    assert_eq!(budget.level(), MemoryLevel::Normal);
    large.extend(std::iter::from_fn(|| budget.admit(LARGE).ok()));
    // The first one may still be admitted in the normal level.
    let others = [budget.admit(SMALL), budget.admit(SMALL)];
    assert!(others.iter().all(Result::is_ok), "the reserve is lost");
    large.clear();
    assert_eq!(budget.level(), MemoryLevel::Normal);
    tokio::time::advance(RESERVE_TIME).await;
    large.extend(std::iter::from_fn(|| budget.admit(LARGE).ok()));
    small.extend(budget.admit(SMALL));
    assert_eq!(budget.admit(SMALL).err(), Some(MemoryCause::NewRequest), "a new shortage begins");
}

#[tokio::test]
async fn the_heap_limits_of_all_processes_together_fit_into_every_limit_of_the_platform() {
    for megabytes in 32..=192 {
        for running in 1..=3 {
            let share = process_share(megabytes * MIB, running);
            let budget = MemoryBudget::with_program(share, 7 * MIB / 2, || MIB / 2);
            // From 8 upstreams to the most that the platform lists for this much memory.
            for endpoints in [8, 200, 1000] {
                budget.set_endpoint_count(endpoints);
                let resident = budget.program_bytes + (budget.heap_limit() as f64 / HEAP_EFFICIENCY) as usize;
                assert!(resident <= share, "{megabytes} MB, {running} processes, {endpoints} endpoints");
            }
        }
    }
}

#[test]
fn a_request_with_a_body_that_is_long_or_not_declared_is_large() {
    assert!(SMALL.is_small());
    assert!(!RequestSize { body_bytes: None, ..SMALL }.is_small());
    assert!(!RequestSize { body_bytes: Some(32 << 20), ..SMALL }.is_small());
}

#[tokio::test]
async fn long_bodies_that_are_still_to_arrive_are_charged_from_the_admission_on() {
    let budget = budget();
    let long = RequestSize { body_bytes: Some(1 << 20), ..SMALL };
    let charges: Vec<_> = std::iter::from_fn(|| budget.admit(long).ok()).collect();
    let buffered_bytes = charges.len() * LONG_BODY_BYTES;
    assert!(!charges.is_empty() && budget.excess_bytes() == 0);
    assert!(budget.used_bytes() >= budget.own_bytes.get() + buffered_bytes + charges.len() * REQUEST_BYTES);
    assert_eq!(budget.admit(long).err(), Some(MemoryCause::LargeRequest));
    assert!(budget.admit(SMALL).is_ok(), "the reserve is free");
}

#[tokio::test(start_paused = true)]
async fn a_process_that_needs_its_share_for_itself_still_admits_small_requests() {
    let budget = MemoryBudget::with_program(8 * MIB, 4 * MIB, || 6 * MIB);
    let charges: Vec<_> = std::iter::from_fn(|| budget.admit(SMALL).ok()).collect();
    assert!(charges.len() >= 20, "{} requests", charges.len());
}
