//! The downstream side: the listener, client connections, their requests and the final responses.

mod arrival_times;
mod body_pace;
mod client_stream;
mod connection;
mod connection_driver;
mod connection_permits;
mod connection_registry;
mod connection_stage;
mod evacuation;
mod evictable_connections;
mod framer;
mod framing;
mod head_reader;
mod headers;
mod linger;
mod listener;
mod memory_shedding;
mod progress;
mod request_validation;
mod response_body;
mod responses;
mod server;
mod service;
mod shutdown;

#[cfg(test)]
pub(crate) use client_stream::ClientStream;
pub(crate) use listener::{BACKLOG, Listener};
pub(crate) use progress::ConnectionProgress;
pub(crate) use server::{Server, ServerResources};
