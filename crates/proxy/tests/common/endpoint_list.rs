//! Endpoint lists in the JSON format of discovery, and the responses that carry them.

use std::net::{SocketAddr, TcpStream};

use super::{Message, read_message, respond};

/// Returns an entry of an endpoint list as JSON; `lifecycle` is `SERVING`, `DRAINING` or `DELETED`.
pub fn endpoint(id: &str, address: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"a","machineType":"k","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

/// Returns an endpoint list of version `generation` as JSON: a snapshot or an incremental update.
pub fn endpoint_list(generation: u64, is_snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"generation":{generation},"reset":{is_snapshot},"instances":[{}]}}"#, entries.join(","))
}

/// Request line with which the balancer asks for a snapshot.
pub const SNAPSHOT_REQUEST: &str = "GET /registry/instances HTTP/1.1";

/// Waits for the next request to discovery on a connection.
#[track_caller]
pub fn read_poll(stream: &mut TcpStream) -> Message {
    read_message(stream).expect("a request to discovery arrives")
}

/// Responds to a request to discovery with a snapshot.
pub fn send_snapshot(stream: &mut TcpStream, generation: u64, entries: &[String]) {
    respond(stream, "200 OK", "", endpoint_list(generation, true, entries).as_bytes());
}

/// Responds to a request to discovery with an incremental update.
pub fn send_update(stream: &mut TcpStream, generation: u64, entries: &[String]) {
    respond(stream, "200 OK", "", endpoint_list(generation, false, entries).as_bytes());
}
