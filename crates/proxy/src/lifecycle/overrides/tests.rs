use super::*;

/// A folder of the test's own.
fn with(name: &str, test: impl FnOnce(&Path)) {
    let folder = std::env::temp_dir().join(format!("zincstand-orders-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    test(&folder);
    fs::remove_dir_all(&folder).expect("a folder");
}

#[test]
fn what_one_process_is_told_the_other_sees_and_a_later_one_finds() {
    with("shared", |folder| {
        let (one, other) = (OverrideStore::open(Some(folder)), OverrideStore::open(Some(folder)));
        one.change(|o| o.exclude("s-1")).expect("it is written");
        other.change(|o| o.exclude("s-2")).expect("it is written");
        let before = one.version();
        one.refresh();
        one.refresh();
        assert_eq!(one.version(), before + 1);
        for store in [&one, &other, &OverrideStore::open(Some(folder))] {
            assert_eq!(store.current().excluded.iter().collect::<Vec<_>>(), ["s-1", "s-2"]);
        }
    });
}

#[test]
fn orders_are_a_set_and_a_return_is_a_start() {
    let mut orders = OperatorOverrides::default();
    orders.include("s-1", 5);
    assert_eq!(orders, OperatorOverrides::default(), "it was never out");
    orders.exclude("s-1");
    orders.exclude("s-1");
    orders.include("s-1", 7);
    orders.include("s-1", 9);
    assert_eq!((orders.excluded.len(), orders.included_at["s-1"]), (0, 7));
}

#[test]
fn a_file_that_is_cut_short_changes_nothing() {
    with("short", |folder| {
        let store = OverrideStore::open(Some(folder));
        store.change(|o| o.exclude("s-1")).expect("it is written");
        fs::write(folder.join(FILE), b"{\"out\":[\"s-").expect("a file");
        store.refresh();
        assert!(store.current().excluded.contains("s-1"));
        assert_eq!(*OverrideStore::open(Some(folder)).current(), OperatorOverrides::default());
        // The next change makes it whole again.
        store.change(|o| o.exclude("s-2")).expect("it is written");
        assert_eq!(OverrideStore::open(Some(folder)).current().excluded.len(), 2);
    });
}
