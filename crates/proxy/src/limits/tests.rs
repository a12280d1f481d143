use super::*;

#[test]
fn a_smaller_limit_applies_to_later_permits_and_leaves_earlier_ones_valid() {
    let limit = ResizableLimit::new(4);
    let permits: Vec<_> = (0..4).map(|_| limit.try_acquire(1).expect("a permit is granted")).collect();
    assert!(limit.try_acquire(1).is_none());
    limit.resize(2);
    assert_eq!(limit.excess(), 2);
    drop(permits);
    let permit_for_all = limit.try_acquire(2).expect("a permit is granted");
    assert!(limit.try_acquire(usize::MAX).is_none());
    assert!(limit.try_acquire(1).is_none());
    assert_eq!(limit.excess(), 0);
    drop(permit_for_all);
}
