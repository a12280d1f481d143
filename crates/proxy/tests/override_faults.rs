//! The operators' overrides while files fail: an order that was confirmed holds, and no call waits on a file.

mod common;

use std::fs::{self, File};
use std::io::Write;
use std::time::{Duration, Instant};

use common::*;

const OVERRIDES_FILE: &str = "sloeline-orders.json";
const LOCK_FILE: &str = "sloeline-orders.lock";

fn managed(folder: &Folder) -> Setup {
    let setup = Setup::knowing(&[nowhere()]);
    Setup { management: Some("127.0.0.1:0"), folder: Some(folder.0.clone()), ..setup }
}

#[test]
fn an_operators_call_that_cannot_get_the_lock_delays_no_client() {
    let folder = Folder::new("held-lock");
    let balancer = managed(&folder).start();
    let lock = File::create(folder.0.join(LOCK_FILE)).expect("a file");
    lock.lock().expect("a lock");
    let mut operator = balancer.connect_operator();
    let called = Instant::now();
    operator.write_all(b"POST /api/evacuate HTTP/1.1\r\nHost: b\r\n\r\n").expect("it reads");
    for _ in 0..20 {
        let start = Instant::now();
        assert_eq!(balancer.ask(READY).status(), 200);
        assert!(start.elapsed() < Duration::from_millis(300), "{:?}", start.elapsed());
        std::thread::sleep(Duration::from_millis(5));
    }
    let status = read(&mut operator).expect("an answer").status();
    assert!(status >= 500, "{status}");
    assert!(called.elapsed() < Duration::from_secs(1), "{:?}", called.elapsed());
    drop(lock);
    assert_eq!(balancer.call("POST", "/api/evacuate"), 200);
    assert_eq!(balancer.ask(READY).status(), 503);
}

#[test]
fn a_confirmed_order_survives_half_a_file() {
    let folder = Folder::new("half-a-file");
    let first = managed(&folder).start();
    assert_eq!(first.call("POST", "/api/exclude/s-0"), 200);
    assert_eq!(first.call("POST", "/api/evacuate"), 200);
    drop(first);
    let whole = fs::read(folder.0.join(OVERRIDES_FILE)).expect("a file");
    for length in [0, 1, whole.len() / 2, whole.len() - 1] {
        fs::write(folder.0.join(OVERRIDES_FILE), &whole[..length]).expect("a file");
        let next = managed(&folder).start();
        assert_eq!(next.ask(READY).status(), 503, "evacuated, with {length} bytes");
        assert_eq!(next.call("POST", "/api/rejoin"), 200);
        assert_eq!(next.ask(READY).status(), 200);
        assert_eq!(next.call("POST", "/api/evacuate"), 200);
        // The other order holds too, and the file is whole again.
        let stored = fs::read_to_string(folder.0.join(OVERRIDES_FILE)).expect("a file");
        assert!(stored.contains("s-0"), "{stored}");
    }
}

#[test]
fn an_order_is_confirmed_only_once_it_is_stored() {
    for faults in ["fsync:EIO", "write:ENOSPC", "rename:EIO", "create:ENOSPC"] {
        let folder = Folder::new("failing-files");
        let switch = folder.0.join("switch");
        let setup = Setup { faults, fault_switch: Some(switch.clone()), ..managed(&folder) };
        let balancer = setup.start();
        assert_eq!(balancer.call("POST", "/api/exclude/s-0"), 200, "{faults}");
        fs::write(&switch, "").expect("a file");
        assert!(balancer.call("POST", "/api/evacuate") >= 500, "{faults}");
        assert_eq!(balancer.ask(READY).status(), 200, "{faults}");
        fs::remove_file(&switch).expect("a file");
        drop(balancer);
        // What was confirmed before is still owed, and what was not is not in force.
        let next = managed(&folder).start();
        assert_eq!(next.ask(READY).status(), 200, "{faults}");
        let stored = fs::read_to_string(folder.0.join(OVERRIDES_FILE)).expect("a file");
        assert!(stored.contains("s-0"), "{faults}: {stored}");
    }
}

#[test]
fn an_order_of_another_process_holds_once_its_file_can_be_read() {
    let folder = Folder::new("unreadable");
    let switch = folder.0.join("switch");
    let faults = "read:EIO";
    let reader = Setup { faults, fault_switch: Some(switch.clone()), ..managed(&folder) }.start();
    let writer = managed(&folder).start();
    fs::write(&switch, "").expect("a file");
    assert_eq!(writer.call("POST", "/api/evacuate"), 200);
    assert_eq!(reader.ask(READY).status(), 200, "it cannot know");
    fs::remove_file(&switch).expect("a file");
    let held = (0..100).any(|_| {
        std::thread::sleep(Duration::from_millis(20));
        reader.ask(READY).status() == 503
    });
    assert!(held, "the order was never read again");
}
