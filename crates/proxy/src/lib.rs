//! The HTTP/1.1 proxy as a library. It carries out the policy's decisions between clients, upstreams and discovery. The
//! binary only calls [`start`]; the testbed runs the discovery client and the dispatcher many times in one process.

mod admin;
mod config;
pub mod discovery;
pub mod dispatch;
mod downstream;
mod error_chain;
pub mod lifecycle;
mod limits;
mod log;
mod memory;
mod process;
mod request_ids;
mod sockets;
mod upstream;

pub use config::ConfigError;
pub use error_chain::ErrorChain;
pub use process::{StartError, start};
