//! The admin API: the second address of a balancer, where operators send requests. Descriptors are reserved for
//! its connections, so that client connections cannot exhaust them or delay an admin request.

mod request;
mod response;
mod server;

pub use server::AdminServer;

#[cfg(test)]
mod tests;
