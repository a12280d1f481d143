use super::*;

#[test]
fn a_smaller_limit_holds_for_what_is_acquired_from_then_on() {
    let limit = ResizableLimit::new(4);
    let permits: Vec<_> = (0..4).map(|_| limit.try_acquire(1).expect("room")).collect();
    assert!(limit.try_acquire(1).is_none());
    limit.resize(2);
    assert_eq!(limit.excess(), 2);
    drop(permits);
    let two = limit.try_acquire(2).expect("room");
    assert!(limit.try_acquire(usize::MAX).is_none());
    assert!(limit.try_acquire(1).is_none());
    assert_eq!(limit.excess(), 0);
    drop(two);
}
