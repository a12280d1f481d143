use std::fs;
use std::path::Path;

use super::override_file::{BACKUP_FILE, OVERRIDES_FILE};
use super::*;

/// Changes the overrides of a store.
fn change(store: &OverrideStore, change: impl FnOnce(&mut OperatorOverrides) + Send + 'static) {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("the runtime is created");
    runtime.block_on(store.change(change)).expect("the file is written");
}

/// Runs `test` with a new folder, which is removed afterwards.
fn with_folder(name: &str, test: impl FnOnce(&Path)) {
    let folder = std::env::temp_dir().join(format!("zincstand-overrides-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).expect("the folder is created");
    test(&folder);
    fs::remove_dir_all(&folder).expect("the folder is removed");
}

#[test]
fn running_processes_share_overrides_and_later_ones_read_them() {
    with_folder("shared", |folder| {
        let first = OverrideStore::open(Some(folder));
        let second = OverrideStore::open(Some(folder));
        change(&first, |overrides| overrides.exclude("s-1"));
        change(&second, |overrides| overrides.exclude("s-2"));
        let before = first.version();
        first.refresh();
        first.refresh();
        assert_eq!(first.version(), before + 1);
        for store in [&first, &second, &OverrideStore::open(Some(folder))] {
            assert_eq!(store.current().excluded.iter().collect::<Vec<_>>(), ["s-1", "s-2"]);
        }
    });
}

#[test]
fn an_inclusion_records_its_time_and_repeated_changes_have_no_effect() {
    let mut overrides = OperatorOverrides::default();
    overrides.include("s-1", 5);
    assert_eq!(
        overrides,
        OperatorOverrides::default(),
        "an upstream that is not excluded cannot be included"
    );
    overrides.exclude("s-1");
    overrides.exclude("s-1");
    overrides.include("s-1", 7);
    overrides.include("s-1", 9);
    assert_eq!(overrides.excluded.len(), 0);
    assert_eq!(overrides.included_at["s-1"], 7);
}

#[test]
fn a_truncated_file_does_not_change_the_overrides() {
    with_folder("short", |folder| {
        let store = OverrideStore::open(Some(folder));
        change(&store, |overrides| overrides.exclude("s-1"));
        fs::write(folder.join(OVERRIDES_FILE), b"{\"out\":[\"s-").expect("the file is written");
        store.refresh();
        assert!(store.current().excluded.contains("s-1"));
        // A process that starts now uses the confirmed overrides while the backup copy is intact.
        assert!(OverrideStore::open(Some(folder)).current().excluded.contains("s-1"));
        let backup = fs::read(folder.join(BACKUP_FILE)).expect("the file is read");
        let damaged = String::from_utf8(backup.clone()).expect("the file is UTF-8").replace("s-1", "s-9");
        for damaged in [damaged.as_bytes(), &backup[..backup.len() - 2]] {
            fs::write(folder.join(BACKUP_FILE), damaged).expect("the file is written");
            assert_eq!(*OverrideStore::open(Some(folder)).current(), OperatorOverrides::default());
        }
        fs::write(folder.join(BACKUP_FILE), backup).expect("the file is written");
        // The next change replaces the file with a complete one.
        change(&store, |overrides| overrides.exclude("s-2"));
        assert_eq!(OverrideStore::open(Some(folder)).current().excluded.len(), 2);
    });
}
