//! The stand-in for discovery: its protocol and its failure modes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;
use zincstand_testbed::discovery::{Discovery, Entry, Lifecycle, Mode, RETAINED_VERSIONS};

/// Returns the query of a watch that waits longer than any test takes.
fn watch_from(version: u64) -> String {
    format!("?index={version}&wait=60000")
}

fn entry(number: usize) -> Entry {
    Entry::serving(number, 2, SocketAddr::from(([127, 0, 0, 1], 9)))
}

/// A connection to discovery.
struct Client {
    stream: TcpStream,
}

impl Client {
    fn connect(discovery: &Discovery) -> Client {
        let stream = TcpStream::connect(discovery.address()).expect("discovery listens");
        stream.set_read_timeout(Some(Duration::from_secs(30))).expect("the read timeout is set");
        Client { stream }
    }

    /// Sends a request for the endpoint list, which without a query is a request for a snapshot.
    fn send(&mut self, query: &str) {
        let request = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: d\r\n\r\n");
        self.stream.write_all(request.as_bytes()).expect("the request is written");
    }

    /// Reads the body of the next response.
    fn receive(&mut self) -> Value {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.stream.read_exact(&mut byte).expect("a complete response head is received");
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).expect("the head is in UTF-8");
        let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
        let mut body =
            vec![0; length.expect("the head has a Content-Length").parse().expect("the length is a number")];
        self.stream.read_exact(&mut body).expect("a complete body is received");
        serde_json::from_slice(&body).expect("the body is in JSON")
    }

    /// Sends a request for the endpoint list and returns the body of the response.
    fn exchange(&mut self, query: &str) -> Value {
        self.send(query);
        self.receive()
    }

    /// Asserts that discovery closes the connection without sending anything.
    #[track_caller]
    fn assert_closed(&mut self) {
        assert_eq!(self.stream.read(&mut [0]).expect("the connection is closed"), 0);
    }
}

/// Asserts the version of a list, and whether it is a snapshot.
#[track_caller]
fn assert_list(list: &Value, version: u64, is_snapshot: bool) {
    assert_eq!((list["generation"].as_u64(), list["reset"].as_bool()), (Some(version), Some(is_snapshot)));
}

fn entry_count(list: &Value) -> Option<usize> {
    list["instances"].as_array().map(Vec::len)
}

/// Changes entries and returns the new version of the list.
fn change(discovery: &Discovery, entries: Vec<Entry>) -> u64 {
    discovery.change(entries).expect("the list is changed").version
}

/// Asserts the counts of one client that has sent six requests: three were answered by a snapshot, two by a
/// delta, and one by an empty list.
#[track_caller]
fn assert_counts_of_six_requests(discovery: &Discovery) {
    let counters = discovery.counters().expect("the counters are read");
    let total = &counters.total;
    assert_eq!((total.connections, total.requests, counters.open_connections), (1, 6, 1));
    assert_eq!((total.snapshots, total.deltas, total.empty), (3, 2, 1));
}

#[test]
fn a_watch_gets_the_changes_since_its_version_or_a_snapshot_if_the_version_is_too_old() {
    let discovery = Discovery::start().expect("discovery starts");
    let first = discovery.replace((0..3).map(entry).collect()).expect("the list is replaced").version;
    let mut client = Client::connect(&discovery);
    let snapshot = client.exchange("");
    assert_list(&snapshot, first, true);
    assert_eq!(snapshot["instances"][1]["instanceId"], "s-00000001");
    assert_eq!(entry_count(&snapshot), Some(3));
    // The list does not change before the wait ends.
    let unchanged = client.exchange(&format!("?index={first}&wait=1"));
    assert_eq!(unchanged, serde_json::json!({"generation": first, "reset": false, "instances": []}));
    // A waiting watch is notified of a change.
    client.send(&watch_from(first));
    let second = change(&discovery, vec![entry(1).with_lifecycle(Lifecycle::Draining)]);
    let delta = client.receive();
    assert_list(&delta, second, false);
    assert_eq!(delta["instances"][0]["lifecycle"], "DRAINING");
    // A watch from the older version gets both changes, each entry once.
    let deleted = entry(1).with_lifecycle(Lifecycle::Deleted);
    change(&discovery, vec![deleted, entry(2).with_lifecycle(Lifecycle::Draining)]);
    let both = client.exchange(&watch_from(first));
    let entries = both["instances"].as_array().expect("the instances are an array");
    let lifecycles: Vec<_> = entries.iter().map(|entry| &entry["lifecycle"]).collect();
    assert_eq!(lifecycles, ["DELETED", "DRAINING"]);
    assert_eq!(entry_count(&client.exchange("")), Some(2));
    for _ in 0..RETAINED_VERSIONS {
        change(&discovery, vec![entry(0)]);
    }
    assert_eq!(client.exchange(&watch_from(first))["reset"], true);
    assert_counts_of_six_requests(&discovery);
    let acknowledgements = discovery.take_acknowledgements().expect("the acknowledgements are read");
    let versions: Vec<_> = acknowledgements.iter().map(|acknowledgement| acknowledgement.version).collect();
    assert_eq!(versions, [first]);
}

#[test]
fn discovery_refuses_connections_while_down_does_not_respond_while_silent_and_recovers() {
    let discovery = Discovery::start().expect("discovery starts");
    let total = || discovery.counters().expect("the counters are read").total;
    let mut client = Client::connect(&discovery);
    client.exchange("");
    discovery.set_mode(Mode::Down).expect("discovery is down");
    client.assert_closed();
    assert!(TcpStream::connect(discovery.address()).is_err());

    discovery.set_mode(Mode::Silent).expect("discovery is silent");
    let mut client = Client::connect(&discovery);
    client.send("");
    while total().requests < 2 {}
    assert_eq!(total().snapshots, 1);

    discovery.set_mode(Mode::Up).expect("discovery is up");
    assert_eq!(client.receive()["generation"], 1);
    discovery.close_connections().expect("the connections are closed");
    client.assert_closed();
    assert_eq!(Client::connect(&discovery).exchange("")["generation"], 1);
}
