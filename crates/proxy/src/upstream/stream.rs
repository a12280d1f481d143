//! How a request's body ended, and the earlier names of what the modules beside this one define.

pub use crate::upstream::body_prefix::{BodyPrefix, MAX_BUFFERED_BODY as MOST_HELD, read_prefix};
pub use crate::upstream::request_body_stream::RequestBodyStream;

/// How a caller's body ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyEnd {
    /// With its last byte.
    Whole,
    /// The caller left, or what it sent is no body.
    Broken,
    /// Over what is passed on.
    TooLong,
}
