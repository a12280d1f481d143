//! Stand-ins on loopback sockets around real balancers, and what is measured with them.

#![forbid(unsafe_code)]

pub mod balancer;
pub mod callers;
pub mod discovery;
pub mod hollow;
pub mod machine;
pub mod quiet_stderr;
pub mod report;
pub mod slope;
pub mod upstreams;
