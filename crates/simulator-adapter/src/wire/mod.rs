//! The messages of the simulator's wire protocol.
//!
//! Names of messages, keys and values are fixed by the platform's wire protocol. The serde attributes in
//! these two modules map them to the names that the rest of the program uses.

pub mod action;
pub mod message;
