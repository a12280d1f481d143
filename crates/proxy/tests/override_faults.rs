//! Operator overrides while file operations fail: a confirmed override stays in force, and no request waits for a file.

mod common;

use std::fs::{self, File};
use std::time::{Duration, Instant};

use common::*;

/// Describes a balancer with the admin API whose processes share `folder`.
fn setup_in(folder: &SharedFolder) -> Setup {
    Setup::with_upstreams(&[closed_address()]).with_admin().folder(folder)
}

/// Reads the stored overrides.
fn stored_overrides(folder: &SharedFolder) -> String {
    fs::read_to_string(folder.path.join(OVERRIDES_FILE)).expect("the overrides are stored")
}

#[test]
fn an_admin_request_that_cannot_get_the_lock_delays_no_client() {
    let folder = SharedFolder::new("held-lock");
    let balancer = setup_in(&folder).start();
    let lock = File::create(folder.path.join(OVERRIDES_LOCK_FILE)).expect("the lock file is created");
    lock.lock().expect("the lock is taken");
    let mut admin = balancer.connect_admin();
    let sent = Instant::now();
    send(&mut admin, "POST /api/evacuate HTTP/1.1\r\nHost: b\r\n\r\n");
    for _ in 0..20 {
        let start = Instant::now();
        assert_eq!(balancer.send(READINESS_CHECK).status(), 200);
        assert!(start.elapsed() < Duration::from_millis(300), "{:?}", start.elapsed());
        std::thread::sleep(Duration::from_millis(5));
    }
    let status = read_message(&mut admin).expect("a response arrives").status();
    assert!(status >= 500, "{status}");
    assert!(sent.elapsed() < Duration::from_secs(1), "{:?}", sent.elapsed());
    drop(lock);
    assert_eq!(balancer.admin_status("POST", "/api/evacuate"), 200);
    assert_eq!(balancer.send(READINESS_CHECK).status(), 503);
}

#[test]
fn a_confirmed_override_survives_a_truncated_file() {
    let folder = SharedFolder::new("half-a-file");
    let first = setup_in(&folder).start();
    assert_eq!(first.admin_status("POST", "/api/exclude/s-0"), 200);
    assert_eq!(first.admin_status("POST", "/api/evacuate"), 200);
    drop(first);
    let complete = fs::read(folder.path.join(OVERRIDES_FILE)).expect("the overrides are stored");
    for length in [0, 1, complete.len() / 2, complete.len() - 1] {
        fs::write(folder.path.join(OVERRIDES_FILE), &complete[..length]).expect("the file is truncated");
        let restarted = setup_in(&folder).start();
        assert_eq!(
            restarted.send(READINESS_CHECK).status(),
            503,
            "not evacuated after truncation to {length} bytes"
        );
        assert_eq!(restarted.admin_status("POST", "/api/rejoin"), 200);
        assert_eq!(restarted.send(READINESS_CHECK).status(), 200);
        assert_eq!(restarted.admin_status("POST", "/api/evacuate"), 200);
        // The exclusion is still in force too, and the file is complete again.
        let stored = stored_overrides(&folder);
        assert!(stored.contains("s-0"), "{stored}");
    }
}

#[test]
fn an_override_is_confirmed_only_once_it_is_stored() {
    for faults in ["fsync:EIO", "write:ENOSPC", "rename:EIO", "create:ENOSPC"] {
        let folder = SharedFolder::new("failing-files");
        let switch = folder.path.join("switch");
        let balancer = setup_in(&folder).faults(faults).fault_switch(switch.clone()).start();
        assert_eq!(balancer.admin_status("POST", "/api/exclude/s-0"), 200, "{faults}");
        fs::write(&switch, "").expect("the faults are enabled");
        assert!(balancer.admin_status("POST", "/api/evacuate") >= 500, "{faults}");
        assert_eq!(balancer.send(READINESS_CHECK).status(), 200, "{faults}");
        fs::remove_file(&switch).expect("the faults are disabled");
        drop(balancer);
        // The override confirmed before the fault stays in force; the one that failed does not apply.
        let restarted = setup_in(&folder).start();
        assert_eq!(restarted.send(READINESS_CHECK).status(), 200, "{faults}");
        let stored = stored_overrides(&folder);
        assert!(stored.contains("s-0"), "{faults}: {stored}");
    }
}

#[test]
fn an_override_of_another_process_applies_once_its_file_can_be_read() {
    let folder = SharedFolder::new("unreadable");
    let switch = folder.path.join("switch");
    let reader = setup_in(&folder).faults("read:EIO").fault_switch(switch.clone()).start();
    let writer = setup_in(&folder).start();
    fs::write(&switch, "").expect("the faults are enabled");
    assert_eq!(writer.admin_status("POST", "/api/evacuate"), 200);
    assert_eq!(
        reader.send(READINESS_CHECK).status(),
        200,
        "the reader applied an override that it cannot read"
    );
    fs::remove_file(&switch).expect("the faults are disabled");
    let is_applied = (0..100).any(|_| {
        std::thread::sleep(Duration::from_millis(20));
        reader.send(READINESS_CHECK).status() == 503
    });
    assert!(is_applied, "the overrides were never read again");
}

#[test]
fn a_full_disk_does_not_prevent_the_start() {
    let upstream = RespondingUpstream::start();
    let folder = SharedFolder::new("full-disk");
    let setup = Setup::with_upstreams(&[upstream.address]).with_admin().folder(&folder);
    let balancer = setup.inherited_listener(&free_listener()).faults("create:ENOSPC").start();
    assert_eq!(balancer.send(READINESS_CHECK).status(), 200);
    assert_eq!(balancer.send(&request("look", "r-1", "")).status(), 200);
    assert!(balancer.admin_status("POST", "/api/evacuate") >= 500);
}
