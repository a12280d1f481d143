//! Helpers for tests that run the balancer as a process, with scripted upstreams, discovery services and clients on the
//! loopback interface. Every wait is for an event and is bounded by [`EVENT_TIMEOUT`].

// Each test program compiles this module and uses only a part of it.
#![allow(dead_code, unused_imports)]

mod balancer;
mod config;
mod crowd;
mod disconnect;
mod endpoint_list;
mod in_flight;
mod launch;
mod message;
mod peer;
mod process;
mod setup;
mod single_upstream;

use std::time::Duration;

pub use balancer::Balancer;
pub use crowd::{Crowd, CrowdEnds};
pub use disconnect::{Disconnect, disconnect, try_disconnect};
pub use endpoint_list::{SNAPSHOT_REQUEST, endpoint, endpoint_list, read_poll, send_snapshot, send_update};
pub use in_flight::RequestInFlight;
pub use message::{
    Message, READINESS_CHECK, exchange, large_request, peer_closed, read_body, read_head, read_message,
    request, respond, respond_ok, send,
};
pub use peer::{Peer, RespondingUpstream, StalledListener, closed_address};
pub use process::{OVERRIDES_FILE, OVERRIDES_LOCK_FILE, SharedFolder, free_listener, run_until_exit};
pub use setup::{Setup, valid_config};
pub use single_upstream::SingleUpstream;

/// Upper bound on the wait for any single event. No event takes this long, however busy the machine is.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of times that [`assert_in_time`] runs a test.
const MAX_TEST_RUNS: usize = 5;

/// Repeats a timing-sensitive test until it returns that its steps took place in time. On a busy machine the test
/// program itself may be late, and then the run proves nothing.
///
/// # Panics
/// The steps of the test were late in every run.
pub fn assert_in_time(mut test: impl FnMut() -> bool) {
    assert!((0..MAX_TEST_RUNS).any(|_| test()), "the steps of the test were late in every run");
}
