//! The transport between a client's socket and hyper, for one request: it passes on the bytes of that request only.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use hyper::rt::{Read, ReadBufCursor, Write};

use crate::downstream::client_stream::{ClientStream, READ_CHUNK_BYTES};
use crate::downstream::connection_stage::ConnectionStage;
use crate::downstream::framing::{Framing, RequestHead};
use crate::downstream::progress::ConnectionProgress;

/// How much of the input belongs to the request.
enum Expected {
    /// This many bytes that were not passed on yet.
    Bytes(u64),
    /// The body is chunked. All input is passed on until the connection ends.
    UntilEnd,
}

/// The transport through which hyper reads one request of a client connection and writes its response.
pub struct RequestFramer {
    stream: Rc<RefCell<ClientStream>>,
    progress: Rc<ConnectionProgress>,
    expected: Expected,
}

impl RequestFramer {
    /// Creates the transport of a request whose head is complete and at the start of the read-ahead buffer.
    pub fn new(
        stream: Rc<RefCell<ClientStream>>,
        progress: Rc<ConnectionProgress>,
        head: RequestHead,
    ) -> RequestFramer {
        let expected = match head.framing {
            Framing::Length(body) => Expected::Bytes((head.length as u64).saturating_add(body)),
            Framing::Chunked => Expected::UntilEnd,
        };
        RequestFramer { stream, progress, expected }
    }

    /// Waits for the end of the input after the request. Further requests are buffered until the response has been written,
    /// and read after hyper's connection has been dropped.
    fn poll_end_of_input(&self, cx: &mut Context<'_>) -> Poll<()> {
        match self.progress.stage() {
            ConnectionStage::Body | ConnectionStage::Open => self.stream.borrow_mut().poll_disconnected(cx),
            ConnectionStage::Idle | ConnectionStage::Head => Poll::Pending,
        }
    }

    /// Passes on at most `limit` bytes to hyper. Becomes ready with their number, 0 at the end of input.
    fn poll_pass_on(
        &mut self,
        cx: &mut Context<'_>,
        target: &mut ReadBufCursor<'_>,
        limit: u64,
    ) -> Poll<io::Result<u64>> {
        if self.buffered_bytes() == 0 && ready!(self.poll_fill(cx, READ_CHUNK_BYTES))? == 0 {
            return Poll::Ready(Ok(0));
        }
        Poll::Ready(Ok(self.stream.borrow_mut().move_buffered_to(target, limit)))
    }

    /// Reads at most `limit` bytes into the buffer, and records them in the pace of a body.
    fn poll_fill(&mut self, cx: &mut Context<'_>, limit: usize) -> Poll<io::Result<usize>> {
        let polled = self.stream.borrow_mut().poll_fill(cx, limit);
        if self.progress.stage() == ConnectionStage::Body {
            match &polled {
                Poll::Ready(Ok(bytes)) => self.progress.body_pace().record_bytes(*bytes),
                // Ends the wait for the client, as the arrival of bytes does.
                Poll::Ready(Err(_)) => self.progress.body_pace().record_bytes(0),
                Poll::Pending => self.progress.body_pace().record_empty(),
            }
        }
        polled
    }

    fn buffered_bytes(&self) -> usize {
        self.stream.borrow().buffered().len()
    }

    /// Records whether the socket accepted the bytes of a write, and returns the write's result.
    fn record_write<T>(&self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if written.is_pending() {
            self.progress.record_write_blocked();
        } else {
            self.progress.record_write_unblocked();
        }
        written
    }
}

impl Read for RequestFramer {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut target: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        match this.expected {
            Expected::Bytes(0) => ready!(this.poll_end_of_input(cx)),
            Expected::Bytes(remaining) => {
                let passed = ready!(this.poll_pass_on(cx, &mut target, remaining))?;
                this.expected = Expected::Bytes(remaining - passed);
            }
            Expected::UntilEnd => {
                ready!(this.poll_pass_on(cx, &mut target, u64::MAX))?;
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for RequestFramer {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = self.stream.borrow().socket().poll_write(cx, buf);
        self.record_write(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.stream.borrow().socket().poll_write_vectored(cx, bufs);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.progress.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.borrow().socket().shut_down())
    }
}
