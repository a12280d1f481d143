use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsRawFd, IntoRawFd};

use super::saved_state::SAVED_STATE_FILE;
use super::*;

#[test]
fn only_a_listening_tcp_socket_is_inherited() {
    let listening = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listening.local_addr().expect("the local address is known");
    let connected = TcpStream::connect(address).expect("the listener accepts connections");
    let udp_socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    for (text, why) in [
        (String::new(), "is not a descriptor"),
        ("seven".to_owned(), "is not a descriptor"),
        ("-1".to_owned(), "is not a descriptor"),
        ("100000".to_owned(), "is not an open socket"),
        (connected.as_raw_fd().to_string(), "is not a listening TCP socket"),
        (udp_socket.as_raw_fd().to_string(), "is not a listening TCP socket"),
    ] {
        let error = inherit_listener(&text).expect_err("the value is rejected").to_string();
        assert!(error.contains("EDGE_FD") && error.contains(why), "{error}");
    }
    let inherited =
        inherit_listener(&listening.into_raw_fd().to_string()).expect("the listener is inherited");
    assert_eq!(inherited.local_addr().expect("the local address is known"), address);
    let info = std::fs::read_to_string(format!("/proc/self/fdinfo/{}", inherited.as_raw_fd()))
        .expect("the descriptor is open");
    let flags =
        info.lines().find_map(|line| line.strip_prefix("flags:")).expect("the file has a flags line").trim();
    let close_on_exec = 0o2_000_000;
    assert_ne!(u32::from_str_radix(flags, 8).expect("the flags are octal") & close_on_exec, 0, "{flags}");
    drop((connected, inherited));
}

#[test]
fn a_saved_state_that_cannot_be_read_is_ignored() {
    let folder = std::env::temp_dir().join(format!("zincstand-saved-state-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    assert!(SavedState::load(&folder).is_none());
    std::fs::write(folder.join(SAVED_STATE_FILE), b"{\"learned\":{\"at\":1").expect("the file is written");
    assert!(SavedState::load(&folder).is_none());
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}

#[test]
fn other_processes_are_counted_while_they_run() {
    let folder = std::env::temp_dir().join(format!("zincstand-registration-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let first = ProcessRegistration::register(&folder).expect("a lock file is free");
    assert_eq!(first.count_others(), 0);
    let second = ProcessRegistration::register(&folder).expect("a lock file is free");
    assert_eq!((first.count_others(), second.count_others()), (1, 1));
    drop(first);
    assert_eq!(second.count_others(), 0);
    let third = ProcessRegistration::register(&folder).expect("a lock file is free");
    assert_eq!((third.count_others(), second.count_others()), (1, 1));
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}

#[test]
fn registration_waits_while_another_process_tests_the_last_free_lock_file() {
    let folder = std::env::temp_dir().join(format!("zincstand-tested-lock-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let _others = [(); 3].map(|()| ProcessRegistration::register(&folder).expect("a lock file is free"));
    let last_free = std::fs::File::open(folder.join("sloeline-process-3.lock")).expect("the file is opened");
    last_free.lock_shared().expect("the file is locked");
    // Another process tests the file to count the running processes, and is delayed while it holds the lock.
    let counting = std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_millis(50));
        drop(last_free);
    });
    let _fourth = ProcessRegistration::register(&folder).expect("a lock file is free");
    counting.join().expect("the thread does not panic");
    assert!(ProcessRegistration::register(&folder).is_err(), "all four lock files are locked");
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}
