use super::*;

fn open(until: Micros) -> Breaker {
    Breaker { state: BreakerState::Open { until }, failures: 2 }
}

#[test]
fn an_open_breaker_lets_one_trial_through_once_its_time_is_over() {
    let mut breakers = Breakers::new(2);
    breakers.0[0] = open(100);
    assert_eq!(breakers.permission(0, 99), BreakerPermission::Denied);
    assert_eq!(breakers.permission(0, 100), BreakerPermission::Trial);
    breakers.start_attempt(0);
    assert_eq!(breakers.permission(0, 100), BreakerPermission::Denied);
    breakers.allow_next_trial(200);
    assert_eq!(breakers.permission(0, 200), BreakerPermission::Trial);
}

#[test]
fn the_breaker_of_a_class_blocks_that_class_alone() {
    let mut breakers = Breakers::new(2);
    breakers.0[2] = open(100);
    assert_eq!(breakers.permission(0, 0), BreakerPermission::Granted);
    assert_eq!(breakers.permission(1, 0), BreakerPermission::Denied);
    assert!(breakers.ejected() && breakers.common_closed());
}

#[test]
fn an_unknown_class_has_the_common_breaker_alone() {
    let mut breakers = Breakers::new(3);
    breakers.common_and_class(None).for_each(|breaker| breaker.failures = 1);
    breakers.common_and_class(Some(1)).for_each(|breaker| breaker.failures += 1);
    let failures: Vec<u32> = breakers.0.iter().map(|breaker| breaker.failures).collect();
    assert_eq!(failures, [2, 0, 1, 0]);
}
