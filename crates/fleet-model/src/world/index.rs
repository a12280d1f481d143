//! Indexes into the world's tables.

pub(super) type ServerIndex = u32;
pub(super) type ProcessIndex = u32;
pub(super) type RequestIndex = u32;
pub(super) type AttemptIndex = u32;
