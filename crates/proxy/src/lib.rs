//! The real balancer as a library: the decisions of `zincstand_policy` between callers, upstreams and discovery. The
//! binary only starts it; the rig uses the same discovery code and the same engine, many times in one process.

mod config;
pub mod discovery;
pub mod engine;
mod framing;
mod gate;
mod gauge;
mod handover;
mod management;
pub mod orders;
mod pool;
pub mod registry;
mod server;
mod service;
mod stream;
mod upstream;
pub mod wire;

pub use service::start;
