//! The earlier names of what other modules define.

pub use crate::upstream::body_prefix::{BodyPrefix, MAX_BUFFERED_BODY as MOST_HELD, read_prefix};
pub use crate::upstream::request_body_stream::RequestBodyStream;
