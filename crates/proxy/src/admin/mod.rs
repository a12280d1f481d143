//! The second address, where operators call. It has descriptors of its own, so clients can neither fill nor delay it.

mod call;
mod response;
mod server;

pub use server::AdminServer;

#[cfg(test)]
mod tests;
