//! Crowds of one form at the smallest memory limit and the largest limit on descriptors.

use crate::common::*;
use crate::load::*;

#[test]
fn a_crowd_that_sends_heads_slowly_is_held_within_the_memory_limit() {
    let head = |_| {
        let head = format!("GET /api HTTP/1.1\r\nHost: b\r\nX-Long: {}", "x".repeat(16_000));
        head.as_bytes().chunks(700).map(<[u8]>::to_vec).collect()
    };
    assert_held_within_limit(&Load { respond: respond_ok, works: true, parts_of: head });
}

#[test]
fn a_crowd_that_sends_heads_of_very_many_fields_is_held_within_the_memory_limit() {
    let head = |number| vec![request("pay", &format!("r-{number}"), &many_fields(600)).into_bytes()];
    assert_held_within_limit(&Load { respond: respond_ok, works: true, parts_of: head });
}

#[test]
fn a_crowd_that_sends_long_heads_of_very_many_fields_is_held_within_the_memory_limit() {
    let head = |number| vec![request("pay", &format!("r-{number}"), &many_fields(15 << 10)).into_bytes()];
    assert_held_within_limit(&Load { respond: respond_ok, works: true, parts_of: head });
}

#[test]
fn a_crowd_that_sends_more_behind_an_open_request_is_held_within_the_memory_limit() {
    let pipelined = |number| {
        let head = request("pay", &format!("r-{number}"), "").into_bytes();
        vec![[head, vec![b'x'; 64 << 10]].concat()]
    };
    assert_held_within_limit(&Load { respond: respond_ok, works: true, parts_of: pipelined });
}

#[test]
fn a_crowd_that_stops_in_the_middle_of_buffered_bodies_is_held_within_the_memory_limit() {
    let stalled = |number| vec![[body_head(number, Some(64 << 10)), vec![b'x'; 63 << 10]].concat()];
    assert_held_within_limit(&Load { respond: respond_ok, works: true, parts_of: stalled });
}

#[test]
fn a_crowd_that_stops_in_the_middle_of_large_bodies_is_held_within_the_memory_limit() {
    let stalled = |number| vec![[body_head(number, Some(8 << 20)), vec![b'x'; 3 << 20]].concat()];
    assert_held_within_limit(&Load { respond: respond_ok, works: true, parts_of: stalled });
}

#[test]
fn a_crowd_that_sends_tiny_chunks_is_held_within_the_memory_limit() {
    let chunked = |number| vec![[body_head(number, None), b"1\r\nx\r\n".repeat(20_000)].concat()];
    assert_held_within_limit(&Load { respond: respond_ok, works: true, parts_of: chunked });
}

#[test]
fn a_crowd_whose_bodies_wait_for_their_upstreams_is_held_within_the_memory_limit() {
    let complete = |number| vec![[body_head(number, Some(60 << 10)), vec![b'x'; 60 << 10]].concat()];
    assert_held_within_limit(&Load { respond: respond_60_kb, works: true, parts_of: complete });
}

#[test]
fn a_crowd_that_does_not_read_short_responses_is_held_within_the_memory_limit() {
    let complete = |number| vec![request("pay", &format!("r-{number}"), "").into_bytes()];
    assert_held_within_limit(&Load { respond: respond_60_kb, works: false, parts_of: complete });
}

#[test]
fn a_crowd_that_does_not_read_long_responses_is_held_within_the_memory_limit() {
    let complete = |number| vec![request("pay", &format!("r-{number}"), "").into_bytes()];
    assert_held_within_limit(&Load { respond: respond_endlessly, works: false, parts_of: complete });
}

#[test]
fn a_crowd_that_gets_responses_with_long_heads_is_held_within_the_memory_limit() {
    let complete = |number| vec![request("pay", &format!("r-{number}"), "").into_bytes()];
    assert_held_within_limit(&Load { respond: respond_with_long_head, works: false, parts_of: complete });
}
