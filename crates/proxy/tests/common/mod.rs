//! Helpers for tests that run the program between small fake peers on loopback. Every wait is for an event, within wide
//! bounds.

// Each test program uses only a part of these helpers.
#![allow(dead_code, unused_imports)]

mod balancer;
mod disconnect;
mod endpoint_list;
mod message;
mod peer;
mod process;
mod setup;

use std::time::Duration;

pub use balancer::Balancer;
pub use disconnect::{LEAVINGS, Leaving, leave};
pub use endpoint_list::{entry, list};
pub use message::{Message, READY, answer, closed, exchange, ok, read, read_body, read_head, request};
pub use peer::{Peer, Stalled, nowhere};
pub use process::{Folder, start_on};
pub use setup::{Setup, good_config};

/// The limit on any wait for a single event; nothing takes this long.
pub const LONG: Duration = Duration::from_secs(30);
