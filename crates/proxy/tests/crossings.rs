//! Rare events that meet: each alone is harmless.

mod common;

use std::fs;
use std::io::Write;
use std::net::TcpListener;
use std::time::Duration;

use common::*;

#[test]
fn a_folder_on_a_full_disk_does_not_keep_a_process_from_its_start() {
    let upstream = Peer::new();
    let address = upstream.address;
    let _requests = upstream.serve(|_, stream| ok(stream));
    let folder = Folder::new("full-disk");
    let inherited_listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let setup = Setup {
        inherited_listener: Some(inherited_listener),
        folder: Some(folder.0.clone()),
        ..Setup::knowing(&[address])
    };
    let balancer = Setup { management: Some("127.0.0.1:0"), faults: "create:ENOSPC", ..setup }.start();
    assert_eq!(balancer.ask(READY).status(), 200);
    assert_eq!(balancer.ask(&request("look", "r-1", "")).status(), 200);
    assert!(balancer.call("POST", "/api/evacuate") >= 500);
}

#[test]
fn a_configuration_that_was_half_written_at_its_signal_is_read_again() {
    let [first, second] = [Peer::new(), Peer::new()];
    let setup = || Setup::knowing(&[nowhere()]);
    let balancer = Setup { discovery: Some(first.address), ..setup() }.start();
    read(&mut first.accept()).expect("a call");
    let config = Setup { discovery: Some(second.address), ..setup() }.config();
    balancer.reload(&config[..config.len() / 2]);
    balancer.logged("rejected");
    fs::write(&balancer.file, &config).expect("a file");
    let moved = second.incoming().recv_timeout(Duration::from_secs(3));
    assert!(moved.is_ok(), "the new address of discovery was never used");
}

#[test]
fn a_request_whose_head_has_just_come_whole_is_not_closed_for_another_client() {
    for round in 0..10 {
        let upstream = Peer::new();
        let address = upstream.address;
        let _requests = upstream.serve(|_, stream| ok(stream));
        // One permit for clients.
        let balancer = Setup { sockets: 42, ..Setup::knowing(&[address]) }.start();
        let whole = request("pull", &format!("r-{round}"), "");
        let mut slow = balancer.connect();
        slow.write_all(&whole.as_bytes()[..40]).expect("it reads");
        // From then on it may be closed for others.
        std::thread::sleep(Duration::from_millis(1050));
        let mut other = None;
        balancer.frozen(|| {
            let mut client = balancer.connect();
            client.write_all(request("look", &format!("o-{round}"), "").as_bytes()).expect("it is queued");
            slow.write_all(&whole.as_bytes()[40..]).expect("it is queued");
            other = Some(client);
        });
        assert!(read(&mut slow).is_some(), "round {round}: closed with its request come whole");
        assert!(read(&mut other.expect("it connected")).is_some(), "round {round}: the other");
    }
}
