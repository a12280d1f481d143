//! Reloading the configuration while the balancer runs.

mod common;

use std::net::SocketAddr;

use common::*;

/// The configuration with discovery at another address.
fn config_with(discovery: SocketAddr) -> String {
    Setup { discovery: Some(discovery), ..Setup::knowing(&[nowhere()]) }.config()
}

#[test]
fn a_new_discovery_is_polled_for_the_complete_list_at_once_and_then_watched() {
    let old = Peer::new();
    let new = Peer::new();
    let upstream = Peer::new();
    let setup = Setup { discovery: Some(old.address), ..Setup::knowing(&[nowhere()]) };
    let balancer = setup.start();
    let mut watch = old.accept();
    read(&mut watch).expect("a call");
    // Its list versions are far ahead of the new one's.
    answer(&mut watch, "200 OK", "", list(900, false, &[]).as_bytes());
    read(&mut watch).expect("the watch");

    balancer.reload(&config_with(new.address));
    let mut connection = new.accept();
    assert_eq!(read(&mut connection).expect("a call").first_line(), "GET /registry/instances HTTP/1.1");
    assert!(closed(&mut watch), "the old connection stays open");
    answer(
        &mut connection,
        "200 OK",
        "",
        list(7, true, &[entry("s-9", upstream.address, "SERVING")]).as_bytes(),
    );
    let call = read(&mut connection).expect("the watch");
    assert!(call.first_line().contains("index=7&wait="), "{}", call.first_line());
    let _requests = upstream.serve(|_, stream| ok(stream));
    assert_eq!(balancer.ask(&request("pay", "r-1", "")).status(), 200);
    assert!(old.quiet(), "the old one is polled again");
}

#[test]
fn a_discovery_that_is_not_up_yet_is_polled_again() {
    let old = Peer::new();
    let new = Peer::new();
    let setup = Setup { discovery: Some(old.address), ..Setup::knowing(&[nowhere()]) };
    let balancer = setup.start();
    balancer.reload(&config_with(new.address));
    drop(read(&mut new.accept()));
    let mut connection = new.accept();
    assert_eq!(read(&mut connection).expect("a call").first_line(), "GET /registry/instances HTTP/1.1");
}

#[test]
fn the_last_of_several_reloads_holds_and_a_bad_file_changes_nothing() {
    let peers: Vec<Peer> = (0..3).map(|_| Peer::new()).collect();
    let upstream = Peer::new();
    let setup = Setup { discovery: Some(peers[0].address), ..Setup::knowing(&[upstream.address]) };
    let mut balancer = setup.start();
    // Kept open: a watch that ends is started again, at the address that holds by then.
    let mut first = peers[0].accept();
    read(&mut first).expect("a call");
    for bad in ["", "{", &config_with(peers[1].address).replace("127.0.0.1", "localhost")] {
        balancer.reload(bad);
        balancer.logged("the running configuration is kept");
    }
    std::fs::remove_file(&balancer.file).expect("a file");
    let mut connections = Vec::new();
    for peer in [&peers[1], &peers[2]] {
        balancer.reload(&config_with(peer.address));
        let mut connection = peer.accept();
        read(&mut connection).expect("a call");
        connections.push(connection);
    }
    assert!(closed(&mut connections[0]), "the connection in between stays open");
    // Too late: another address holds by now.
    answer(&mut connections[0], "200 OK", "", list(99, true, &[]).as_bytes());
    answer(
        &mut connections[1],
        "200 OK",
        "",
        list(3, true, &[entry("s-0", upstream.address, "SERVING")]).as_bytes(),
    );
    read(&mut connections[1]).expect("the watch");

    let mut client = balancer.connect();
    std::io::Write::write_all(&mut client, request("pay", "r-1", "").as_bytes()).expect("the balancer reads");
    let mut stream = upstream.accept();
    read(&mut stream).expect("an attempt");
    balancer.terminate();
    balancer.reload(&config_with(peers[1].address));
    balancer.logged("configuration read again");
    ok(&mut stream);
    assert_eq!(read(&mut client).expect("an answer").status(), 200);
    assert!(balancer.child.wait().expect("it ends").success());
}
