//! The resident memory of real processes under crowds that make them hold as much as they can, and the requests of other
//! clients meanwhile. Each test names the form of its load.

#[path = "../common/mod.rs"]
mod common;
mod disconnects;
mod forms;
mod load;
mod processes;
mod request_ids;
mod slow_transfers;
