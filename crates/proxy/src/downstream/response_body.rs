//! The body of a response on its way to the client.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use crate::downstream::ConnectionProgress;
use crate::log::limited_log_line;
use crate::upstream::{ResponseBodyStream, ResponseError};

/// The body of a response.
pub struct ResponseBody {
    source: Source,
}

/// Where the bytes of the body come from.
enum Source {
    /// All bytes are in memory.
    Complete(Full<Bytes>),
    /// The bytes are read from the upstream as fast as the client reads them.
    Streamed { body: Box<ResponseBodyStream>, progress: Rc<ConnectionProgress> },
}

impl ResponseBody {
    /// Creates a body whose bytes are all in memory.
    pub fn complete(body: Bytes) -> ResponseBody {
        ResponseBody { source: Source::Complete(Full::new(body)) }
    }

    /// Creates a body that is still arriving from the upstream. Records in `progress` when its last byte was read.
    pub fn streamed(body: Box<ResponseBodyStream>, progress: Rc<ConnectionProgress>) -> ResponseBody {
        ResponseBody { source: Source::Streamed { body, progress } }
    }

    /// Returns whether the body is read from the upstream while it is written to the client.
    pub fn is_streamed(&self) -> bool {
        matches!(self.source, Source::Streamed { .. })
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseError>>> {
        match &mut self.get_mut().source {
            Source::Complete(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            Source::Streamed { body, progress } => {
                let polled = body.poll_frame(context);
                if body.is_complete() {
                    progress.record_response_complete();
                }
                progress.record_upstream_silence(body.silent_since());
                if let Poll::Ready(Some(Err(error))) = &polled {
                    let (bytes, name) = (body.forwarded(), progress.request_name());
                    limited_log_line!("response: cut off after {bytes} bytes: {error} (id {name})");
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Complete(body) => body.is_end_stream(),
            Source::Streamed { body, .. } => body.is_complete(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Complete(body) => body.size_hint(),
            Source::Streamed { body, .. } => body.size_hint(),
        }
    }
}
