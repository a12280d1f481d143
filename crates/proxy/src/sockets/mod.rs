//! All calls on TCP sockets. Each is repeated where a signal interrupted it, and a call that transfers less than it could
//! is no end: the folders above meet only errors that say something of the peer or of this machine's resources.

mod accept;
mod connect;
mod resources;
mod socket;

pub use accept::{accept, accept_queued};
pub use connect::connect;
pub use resources::is_out_of_resources;
pub use socket::{Socket, has_unread_bytes};

#[cfg(test)]
mod tests;
