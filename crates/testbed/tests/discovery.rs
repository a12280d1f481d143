//! The stand-in discovery, by the protocol.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;
use zincstand_testbed::discovery::{Discovery, Entry, KEPT_VERSIONS, Lifecycle, Mode};

fn entry(number: usize) -> Entry {
    Entry::serving(number, 2, SocketAddr::from(([127, 0, 0, 1], 9)))
}

fn connect(discovery: &Discovery) -> TcpStream {
    let stream = TcpStream::connect(discovery.address()).expect("it listens");
    stream.set_read_timeout(Some(Duration::from_secs(30))).expect("an option");
    stream
}

fn ask(stream: &mut TcpStream, query: &str) {
    write!(stream, "GET /registry/instances{query} HTTP/1.1\r\nHost: d\r\n\r\n").expect("written");
}

fn answer(stream: &mut TcpStream) -> Value {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a head");
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).expect("text");
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")).expect("a length");
    let mut body = vec![0; length.parse().expect("a number")];
    stream.read_exact(&mut body).expect("a body");
    serde_json::from_slice(&body).expect("JSON")
}

#[test]
fn a_watch_gets_the_changes_since_its_version_and_a_snapshot_where_that_is_too_old() {
    let discovery = Discovery::start().expect("it starts");
    let set = discovery.replace((0..3).map(entry).collect()).expect("set").version;
    let mut stream = connect(&discovery);
    ask(&mut stream, "");
    let snapshot = answer(&mut stream);
    assert_eq!((snapshot["generation"].as_u64(), snapshot["reset"].as_bool()), (Some(set), Some(true)));
    assert_eq!(snapshot["instances"][1]["instanceId"], "s-00000001");
    assert_eq!(snapshot["instances"].as_array().map(Vec::len), Some(3));
    // Nothing new until its wait is over.
    ask(&mut stream, &format!("?index={set}&wait=1"));
    let empty = answer(&mut stream);
    assert_eq!(empty, serde_json::json!({"generation": set, "reset": false, "instances": []}));
    // It waits and is notified; the next watch from the older version gets both changes, each entry once.
    ask(&mut stream, &format!("?index={set}&wait=60000"));
    let first =
        discovery.change(vec![entry(1).with_lifecycle(Lifecycle::Draining)]).expect("changed").version;
    let delta = answer(&mut stream);
    assert_eq!((delta["generation"].as_u64(), delta["reset"].as_bool()), (Some(first), Some(false)));
    assert_eq!(delta["instances"][0]["lifecycle"], "DRAINING");
    let gone = [entry(1).with_lifecycle(Lifecycle::Deleted), entry(2).with_lifecycle(Lifecycle::Draining)];
    discovery.change(gone.to_vec()).expect("changed");
    ask(&mut stream, &format!("?index={set}&wait=60000"));
    let both = answer(&mut stream);
    let lives: Vec<_> =
        both["instances"].as_array().expect("a list").iter().map(|entry| &entry["lifecycle"]).collect();
    assert_eq!(lives, ["DELETED", "DRAINING"]);
    ask(&mut stream, "");
    assert_eq!(answer(&mut stream)["instances"].as_array().map(Vec::len), Some(2));
    for _ in 0..KEPT_VERSIONS {
        discovery.change(vec![entry(0)]).expect("changed");
    }
    ask(&mut stream, &format!("?index={set}&wait=60000"));
    assert_eq!(answer(&mut stream)["reset"], true);
    let counted = discovery.counters().expect("counted");
    assert_eq!((counted.total.connections, counted.total.requests, counted.open_connections), (1, 6, 1));
    assert_eq!((counted.total.snapshots, counted.total.deltas, counted.total.empty), (3, 2, 1));
    let acknowledged: Vec<_> = discovery
        .take_acknowledgements()
        .expect("acknowledgements")
        .iter()
        .map(|acknowledgement| acknowledgement.version)
        .collect();
    assert_eq!(acknowledged, [set]);
}

#[test]
fn it_refuses_while_down_and_responds_to_nothing_while_silent_and_recovers_at_its_address() {
    let discovery = Discovery::start().expect("it starts");
    let mut stream = connect(&discovery);
    ask(&mut stream, "");
    answer(&mut stream);
    discovery.set_mode(Mode::Down).expect("down");
    assert_eq!(stream.read(&mut [0]).expect("closed"), 0);
    assert!(TcpStream::connect(discovery.address()).is_err());
    discovery.set_mode(Mode::Silent).expect("silent");
    let mut stream = connect(&discovery);
    ask(&mut stream, "");
    while discovery.counters().expect("counted").total.requests < 2 {}
    assert_eq!(discovery.counters().expect("counted").total.snapshots, 1);
    discovery.set_mode(Mode::Up).expect("up");
    assert_eq!(answer(&mut stream)["generation"], 1);
    discovery.close_connections().expect("broken");
    assert_eq!(stream.read(&mut [0]).expect("closed"), 0);
    let mut stream = connect(&discovery);
    ask(&mut stream, "");
    assert_eq!(answer(&mut stream)["generation"], 1);
}
