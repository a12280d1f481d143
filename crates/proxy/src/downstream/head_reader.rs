//! Reads the heads of a connection's requests. Until a head is complete, the connection holds only the bytes that its client
//! has sent.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use crate::downstream::client_stream::{ClientStream, MAX_HEAD_BYTES, MAX_HEAD_BYTES_WHILE_SHORT};
use crate::downstream::connection_stage::ConnectionStage;
use crate::downstream::framing::{RequestHead, header_text, parse_request_head};
use crate::downstream::headers::REQ_ID;
use crate::downstream::progress::{ConnectionProgress, Rejection};
use crate::log::limited_log_line;
use crate::memory::{MemoryBudget, MemoryCause, MemoryLevel, RequestCharge};
use crate::upstream::shorten_log_name;

/// Reads request heads from a client's stream.
pub struct HeadReader {
    stream: Rc<RefCell<ClientStream>>,
    progress: Rc<ConnectionProgress>,
    memory: Rc<MemoryBudget>,
}

/// A request whose head is complete, with the memory that it was charged.
pub struct AdmittedRequest {
    /// The head, whose bytes are still in the read-ahead buffer.
    pub head: RequestHead,
    /// The charge, to be held until the response has been written.
    pub charge: RequestCharge,
}

impl HeadReader {
    /// Creates the reader of a connection.
    pub fn new(
        stream: Rc<RefCell<ClientStream>>,
        progress: Rc<ConnectionProgress>,
        memory: Rc<MemoryBudget>,
    ) -> HeadReader {
        HeadReader { stream, progress, memory }
    }

    /// Reads until a head is complete and its request is admitted. Becomes ready with `None` if no further request is read:
    /// the input has ended, or the request was rejected, which is recorded in the connection's progress.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn poll_request(&self, cx: &mut Context<'_>) -> Poll<io::Result<Option<AdmittedRequest>>> {
        if self.stream.borrow().ends_before_next_request() {
            // The response just written was the last on this connection.
            return Poll::Ready(Ok(None));
        }
        loop {
            if self.buffered_bytes() > 0 {
                if self.progress.stage() == ConnectionStage::Idle {
                    self.progress.record_head_started();
                }
                let parsed = parse_request_head(self.stream.borrow().buffered());
                match parsed {
                    Err(_) => return Poll::Ready(Ok(self.reject(Rejection::MalformedHead))),
                    Ok(Some(head)) => return Poll::Ready(Ok(self.admit(head))),
                    Ok(None) if self.buffered_bytes() >= MAX_HEAD_BYTES => {
                        return Poll::Ready(Ok(self.reject(Rejection::HeadTooLarge)));
                    }
                    Ok(None) => {}
                }
            }
            if self.buffered_bytes() >= MAX_HEAD_BYTES_WHILE_SHORT
                && self.memory.level() != MemoryLevel::Normal
            {
                return Poll::Ready(Ok(self.reject_for_memory(MemoryCause::LargeRequest)));
            }
            let free_bytes = MAX_HEAD_BYTES - self.buffered_bytes();
            if ready!(self.stream.borrow_mut().poll_fill(cx, free_bytes))? == 0 {
                return Poll::Ready(Ok(None));
            }
        }
    }

    /// Admits the request at the start of the buffer if there is memory for it.
    fn admit(&self, head: RequestHead) -> Option<AdmittedRequest> {
        match self.memory.admit(head.size()) {
            Ok(charge) => {
                self.progress.record_head(head.framing);
                Some(AdmittedRequest { head, charge })
            }
            Err(cause) => self.reject_for_memory(cause),
        }
    }

    fn reject_for_memory<R>(&self, cause: MemoryCause) -> Option<R> {
        self.memory.counts().add(cause, 1);
        {
            let stream = self.stream.borrow();
            let id = shorten_log_name(header_text(stream.buffered(), REQ_ID.as_str()).unwrap_or("-"));
            limited_log_line!("request: not forwarded: memory is short ({cause}, id {id})");
        }
        self.reject(Rejection::MemoryShort(cause))
    }

    /// Records the rejection. The connection's task sends the error response.
    fn reject<R>(&self, rejection: Rejection) -> Option<R> {
        self.progress.record_rejection(rejection);
        self.stream.borrow_mut().clear_buffered();
        None
    }

    fn buffered_bytes(&self) -> usize {
        self.stream.borrow().buffered().len()
    }
}
