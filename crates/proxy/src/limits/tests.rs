use super::*;

#[test]
fn a_smaller_limit_holds_for_what_is_taken_from_then_on() {
    let gauge = ResizableLimit::new(4);
    let held: Vec<_> = (0..4).map(|_| gauge.try_acquire(1).expect("room")).collect();
    assert!(gauge.try_acquire(1).is_none());
    gauge.resize(2);
    assert_eq!(gauge.excess(), 2);
    drop(held);
    let two = gauge.try_acquire(2).expect("room");
    assert!(gauge.try_acquire(usize::MAX).is_none() && gauge.try_acquire(1).is_none() && gauge.excess() == 0);
    drop(two);
}
