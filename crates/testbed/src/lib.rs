//! Stand-ins for upstreams, discovery and clients of real balancers, which communicate over loopback sockets, and the
//! measurements made with them.

#![forbid(unsafe_code)]

mod accept;
pub mod balancer;
pub mod clients;
pub mod discovery;
pub mod hollow;
pub mod machine;
pub mod quiet_stderr;
pub mod report;
pub mod slope;
pub mod upstreams;
