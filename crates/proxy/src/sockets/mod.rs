//! System calls on TCP sockets. Calls that a signal has interrupted are repeated, and a short read or write is not mistaken
//! for an empty or full socket. Callers therefore see only errors that are caused by the peer or by a lack of resources
//! on this machine.

mod accept;
mod connect;
mod resources;
mod socket;
mod tcp_info;

pub use accept::{accept, accept_queued};
pub use connect::connect;
pub use resources::is_out_of_resources;
pub use socket::{Socket, has_unread_bytes};
pub use tcp_info::time_since_last_data;

#[cfg(test)]
mod tests;
