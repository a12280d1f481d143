//! What outlives a request: operator overrides and the replacement of the process.

pub mod hot_restart;
pub mod overrides;
