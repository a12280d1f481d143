//! Files that the processes of one balancer share. The fixtures were written by the program of revision a4f1f98: during
//! a hot restart, a process of that version and one of this version use the same folder.

mod common;

use std::fs::{self, File};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use common::*;
use serde_json::Value;

/// The operator overrides as the earlier version stored them.
const OVERRIDES: &str = include_str!("fixtures/sloeline-orders.json");
/// The learned state as the earlier version stored it.
const LEARNED_STATE: &str = include_str!("fixtures/sloeline-learned.json");

/// File of the learned state. Its name is fixed, because earlier versions use it too.
const LEARNED_STATE_FILE: &str = "sloeline-learned.json";

fn parse(text: &str) -> Value {
    serde_json::from_str(text).expect("the text is JSON")
}

fn read_json(folder: &Path, name: &str) -> Value {
    parse(&fs::read_to_string(folder.join(name)).expect("the file is stored"))
}

/// Asserts that two values have the same keys, the same types and, in arrays, elements of the same shape. The keys of
/// objects that are keyed by id are not compared, and `null` has the shape of any value.
fn assert_same_shape(path: &str, expected: &Value, found: &Value) {
    match (expected, found) {
        (Value::Null, _) | (_, Value::Null) => {}
        (Value::Object(expected), Value::Object(found)) if is_keyed_by_id(path) => {
            let mut examples = expected.values().chain(found.values());
            let Some(example) = examples.next() else { return };
            examples.for_each(|value| assert_same_shape(&format!("{path}.*"), example, value));
        }
        (Value::Object(expected), Value::Object(found)) => {
            let expected_keys: Vec<_> = expected.keys().collect();
            let found_keys: Vec<_> = found.keys().collect();
            assert_eq!(expected_keys, found_keys, "keys of {path}");
            for (key, value) in expected {
                assert_same_shape(&format!("{path}.{key}"), value, &found[key]);
            }
        }
        (Value::Array(expected), Value::Array(found)) if path.ends_with("[]") => {
            // An element of an array is a pair or a triple: each position has its own type.
            assert_eq!(expected.len(), found.len(), "length of {path}");
            for (expected, found) in expected.iter().zip(found) {
                assert_same_shape(path, expected, found);
            }
        }
        (Value::Array(expected), Value::Array(found)) => {
            let Some(example) = expected.first() else { return };
            for value in found {
                assert_same_shape(&format!("{path}[]"), example, value);
            }
        }
        (Value::Number(expected), Value::Number(found)) => {
            assert_eq!(expected.is_f64(), found.is_f64(), "type of {path}");
        }
        (expected, found) => {
            let same = std::mem::discriminant(expected) == std::mem::discriminant(found);
            assert!(same, "type of {path}: {expected} and {found}");
        }
    }
}

/// Returns whether the keys of the object at this path are ids rather than field names.
fn is_keyed_by_id(path: &str) -> bool {
    ["learned.zones", "learned.servers", "overrides.back"].contains(&path)
}

/// Returns the current time in microseconds since 1970.
fn unix_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is past 1970");
    u64::try_from(since_epoch.as_micros()).expect("the microseconds fit into 64 bits")
}

/// Starts a process with an inherited listener and a shared folder, as during a hot restart.
fn start(folder: &SharedFolder, upstreams: &[SocketAddr]) -> Balancer {
    Setup::with_upstreams(upstreams).inherited_listener(&free_listener()).folder(folder).with_admin().start()
}

/// Waits until the process replaces the learned state `before`, and returns the state that it has stored.
fn wait_for_new_learned_state(folder: &SharedFolder, before: &Value) -> Value {
    let start = Instant::now();
    loop {
        let learned = read_json(&folder.path, LEARNED_STATE_FILE);
        if learned != *before {
            return learned;
        }
        assert!(start.elapsed() < EVENT_TIMEOUT, "no learned state is stored");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the learned state of the earlier version, as if it had been stored a moment ago.
fn fresh_learned_state() -> Value {
    let mut learned = parse(LEARNED_STATE);
    learned["learned"]["at"] = unix_micros().into();
    learned
}

#[test]
fn overrides_of_the_earlier_version_are_applied() {
    let folder = SharedFolder::new("stored-overrides");
    // The process starts without the evacuation, whose log line would come before those that name the addresses.
    let not_evacuated = OVERRIDES.replace(r#""evacuated":true"#, r#""evacuated":false"#);
    fs::write(folder.path.join(OVERRIDES_FILE), not_evacuated).expect("the overrides are written");
    let first = RespondingUpstream::start();
    let second = RespondingUpstream::start();
    let balancer = start(&folder, &[first.address, second.address]);
    assert_eq!(balancer.send(READINESS_CHECK).status(), 200);
    balancer.serve_requests(10..20);
    assert_eq!((first.take_request_count(), second.take_request_count()), (10, 0));
    // The unchanged fixture is written while the process runs.
    let earlier = EarlierVersion::start(&folder);
    let lock = earlier.lock_overrides();
    earlier.write_overrides(&parse(OVERRIDES));
    drop(lock);
    assert_eq!(balancer.send(READINESS_CHECK).status(), 503);
    balancer.serve_requests(0..10);
    assert_eq!((first.take_request_count(), second.take_request_count()), (10, 0));
    assert_eq!(balancer.admin_status("POST", "/api/include/s-1"), 200);
    assert_eq!(balancer.admin_status("POST", "/api/rejoin"), 200);
    assert_eq!(balancer.send(READINESS_CHECK).status(), 200);
    let written = read_json(&folder.path, OVERRIDES_FILE);
    assert_eq!(written["out"], parse("[]"));
    assert_eq!(written["evacuated"], Value::Bool(false));
    assert!(written["back"]["s-1"].is_u64(), "{written}");
}

#[test]
fn overrides_are_written_as_the_earlier_version_wrote_them() {
    let folder = SharedFolder::new("stored-overrides-layout");
    let balancer = start(&folder, &[closed_address(), closed_address()]);
    for path in ["exclude/s-0", "include/s-0", "exclude/s-1", "evacuate"] {
        assert_eq!(balancer.admin_status("POST", &format!("/api/{path}")), 200);
    }
    let written = read_json(&folder.path, OVERRIDES_FILE);
    assert_same_shape("overrides", &parse(OVERRIDES), &written);
    // The fixture was written after the same admin requests, so only the times differ.
    let mut expected = parse(OVERRIDES);
    expected["back"]["s-0"] = written["back"]["s-0"].clone();
    assert_eq!(written, expected);
    let raw = fs::read_to_string(folder.path.join(OVERRIDES_FILE)).expect("the overrides are stored");
    assert!(raw.starts_with(r#"{"out":["s-1"],"back":{"s-0":"#), "{raw}");
}

#[test]
fn learned_state_of_the_earlier_version_is_loaded_and_written_in_the_same_format() {
    let folder = SharedFolder::new("stored-learned");
    let before = fresh_learned_state();
    fs::write(folder.path.join(LEARNED_STATE_FILE), before.to_string()).expect("the state is written");
    let upstreams: Vec<_> = (0..4).map(|_| RespondingUpstream::start()).collect();
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    let balancer = start(&folder, &addresses);
    let after = wait_for_new_learned_state(&folder, &before);
    assert_same_shape("learned", &before, &after);
    assert_same_shape("learned", &after, &before);
    // The start time and the measurements of the earlier process are kept.
    assert_eq!(after["learned"]["began"], before["learned"]["began"]);
    assert_eq!(after["learned"]["all"], before["learned"]["all"]);
    assert_eq!(after["servers"].as_object().map(serde_json::Map::len), Some(4));
    drop(balancer);
}

#[test]
fn learned_state_that_is_old_is_not_loaded() {
    let folder = SharedFolder::new("stored-learned-old");
    let before = parse(LEARNED_STATE);
    fs::write(folder.path.join(LEARNED_STATE_FILE), LEARNED_STATE).expect("the state is written");
    let _balancer = start(&folder, &[closed_address()]);
    let after = wait_for_new_learned_state(&folder, &before);
    assert_ne!(after["learned"]["began"], before["learned"]["began"]);
    assert_eq!(after["learned"]["all"]["counts"], parse("[]"));
}

/// A process of the earlier version, reduced to what it does with the shared files.
struct EarlierVersion {
    folder: std::path::PathBuf,
    /// The lock file that shows that this process runs.
    _own_lock: File,
    /// The other lock files, one for each process that may run.
    other_locks: Vec<File>,
}

impl EarlierVersion {
    /// Takes the first free lock of the four that each process creates.
    fn start(folder: &SharedFolder) -> EarlierVersion {
        let path = |number| folder.path.join(format!("sloeline-process-{number}.lock"));
        let mut files: Vec<_> =
            (0..4).map(|number| File::create(path(number)).expect("the lock file is created")).collect();
        let free = files.iter().position(|file| file.try_lock().is_ok()).expect("a lock is free");
        let own_lock = files.remove(free);
        EarlierVersion { folder: folder.path.clone(), _own_lock: own_lock, other_locks: files }
    }

    /// Returns the number of the other processes that run.
    fn other_processes(&self) -> usize {
        let running = |file: &&File| match file.try_lock_shared() {
            Ok(()) => file.unlock().is_err(),
            Err(fs::TryLockError::WouldBlock) => true,
            Err(fs::TryLockError::Error(_)) => false,
        };
        self.other_locks.iter().filter(running).count()
    }

    /// Waits for the lock of the overrides and takes it until the file is dropped.
    fn lock_overrides(&self) -> File {
        let lock = File::create(self.folder.join(OVERRIDES_LOCK_FILE)).expect("the lock file is created");
        lock.lock().expect("the lock is taken");
        lock
    }

    /// Replaces the overrides by a rename. The caller has locked them.
    fn write_overrides(&self, overrides: &Value) {
        let new_path = self.folder.join(format!("{OVERRIDES_FILE}.new"));
        let mut file = File::create(&new_path).expect("the new file is created");
        file.write_all(overrides.to_string().as_bytes()).expect("the overrides are written");
        fs::rename(&new_path, self.folder.join(OVERRIDES_FILE)).expect("the overrides are replaced");
    }
}

#[test]
fn processes_of_both_versions_detect_each_other() {
    let folder = SharedFolder::new("stored-processes");
    let earlier = EarlierVersion::start(&folder);
    assert_eq!(earlier.other_processes(), 0);
    let balancer = start(&folder, &[closed_address()]);
    assert_eq!(earlier.other_processes(), 1);
    // The balancer detects the start and the end of a later process.
    let another = EarlierVersion::start(&folder);
    balancer.wait_for_log("3 processes");
    assert_eq!(another.other_processes(), 2);
    drop(another);
    balancer.wait_for_log("2 processes");
    drop(earlier);
    balancer.wait_for_log("1 processes");
}

#[test]
fn processes_of_both_versions_apply_each_others_overrides() {
    let folder = SharedFolder::new("stored-both");
    let earlier = EarlierVersion::start(&folder);
    let first = RespondingUpstream::start();
    let second = RespondingUpstream::start();
    let balancer = start(&folder, &[first.address, second.address]);
    let lock = earlier.lock_overrides();
    earlier.write_overrides(&parse(r#"{"out":["s-0"],"back":{},"evacuated":false}"#));
    drop(lock);
    balancer.serve_requests(0..10);
    assert_eq!((first.take_request_count(), second.take_request_count()), (0, 10));

    // An override at this process waits for the lock of the earlier version and keeps what that version has written.
    let lock = earlier.lock_overrides();
    let mut stream = balancer.connect_admin();
    send(&mut stream, "POST /api/evacuate HTTP/1.1\r\nHost: b\r\n\r\n");
    stream.set_read_timeout(Some(Duration::from_millis(300))).expect("the read timeout is set");
    assert!(read_message(&mut stream).is_none(), "the override did not wait for the lock");
    earlier.write_overrides(&parse(r#"{"out":["s-0","s-9"],"back":{"s-1":5},"evacuated":false}"#));
    drop(lock);
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("the read timeout is set");
    assert_eq!(read_message(&mut stream).expect("a response arrives").status(), 200);
    let written = read_json(&folder.path, OVERRIDES_FILE);
    assert_eq!(written, parse(r#"{"out":["s-0","s-9"],"back":{"s-1":5},"evacuated":true}"#));
}
