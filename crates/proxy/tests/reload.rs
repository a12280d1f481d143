//! Reloading the configuration while the balancer runs.

mod common;

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use common::*;

/// Describes a balancer that knows one endpoint, on which nothing listens, and polls discovery at this address.
fn setup(discovery: SocketAddr) -> Setup {
    Setup::with_upstreams(&[closed_address()]).polled_discovery(discovery)
}

#[test]
fn a_new_discovery_is_polled_for_the_complete_list_at_once_and_then_watched() {
    let old = Peer::new();
    let new = Peer::new();
    let upstream = Peer::new();
    let balancer = setup(old.address).start();
    let mut watch = old.accept();
    read_poll(&mut watch);
    // The list versions of the old discovery are far ahead of those of the new one.
    send_update(&mut watch, 900, &[]);
    read_poll(&mut watch);

    balancer.reload(&setup(new.address).config());
    let mut connection = new.accept();
    assert_eq!(read_poll(&mut connection).first_line(), SNAPSHOT_REQUEST);
    assert!(peer_closed(&mut watch), "the old connection stays open");
    send_snapshot(&mut connection, 7, &[endpoint("s-9", upstream.address, "SERVING")]);
    let poll = read_poll(&mut connection);
    assert!(poll.first_line().contains("index=7&wait="), "{}", poll.first_line());
    let _requests = upstream.serve_ok();
    assert_eq!(balancer.send(&request("pay", "r-1", "")).status(), 200);
    assert!(old.has_no_new_connection(), "the old discovery is polled again");
}

#[test]
fn a_new_discovery_that_is_not_up_yet_is_polled_again() {
    let old = Peer::new();
    let new = Peer::new();
    let balancer = setup(old.address).start();
    balancer.reload(&setup(new.address).config());
    drop(read_message(&mut new.accept()));
    let mut connection = new.accept();
    assert_eq!(read_poll(&mut connection).first_line(), SNAPSHOT_REQUEST);
}

#[test]
fn the_last_of_several_reloads_applies_and_an_invalid_file_changes_nothing() {
    let discoveries: Vec<Peer> = (0..3).map(|_| Peer::new()).collect();
    let upstream = Peer::new();
    let setup_at_start = Setup::with_upstreams(&[upstream.address]).polled_discovery(discoveries[0].address);
    let mut balancer = setup_at_start.start();
    // Kept open: a watch whose connection ends reconnects to the address that is configured at that time.
    let mut first = discoveries[0].accept();
    read_poll(&mut first);
    let with_host_name = setup(discoveries[1].address).config().replace("127.0.0.1", "localhost");
    for invalid in ["", "{", &with_host_name] {
        balancer.reload(invalid);
        balancer.wait_for_log("the running configuration is kept");
    }
    fs::remove_file(&balancer.config_path).expect("the configuration file exists");
    let [mut superseded, mut current] = [&discoveries[1], &discoveries[2]].map(|discovery| {
        balancer.reload(&setup(discovery.address).config());
        let mut connection = discovery.accept();
        read_poll(&mut connection);
        connection
    });
    assert!(peer_closed(&mut superseded), "the connection to the second discovery stays open");
    // The balancer ignores this list, because the third address is configured already.
    send_snapshot(&mut superseded, 99, &[]);
    send_snapshot(&mut current, 3, &[endpoint("s-0", upstream.address, "SERVING")]);
    read_poll(&mut current);

    // A reload during a graceful shutdown changes nothing for the request in flight.
    let mut in_flight = RequestInFlight::start(balancer.connect(), &upstream, &request("pay", "r-1", ""));
    balancer.terminate();
    balancer.reload(&setup(discoveries[1].address).config());
    balancer.wait_for_log("configuration read again");
    in_flight.complete();
    balancer.assert_exits_cleanly();
}

#[test]
fn a_configuration_that_was_partly_written_at_the_reload_signal_is_read_again() {
    let [old, new] = [Peer::new(), Peer::new()];
    let balancer = setup(old.address).start();
    read_poll(&mut old.accept());
    let config = setup(new.address).config();
    balancer.reload(&config[..config.len() / 2]);
    balancer.wait_for_log("rejected");
    fs::write(&balancer.config_path, &config).expect("the configuration is written");
    let connection = new.into_connections().recv_timeout(Duration::from_secs(3));
    assert!(connection.is_ok(), "the new discovery was never polled");
}
