//! A client's socket and its read-ahead buffer: bytes that were read from the socket but not yet passed on to hyper.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::ReadBufCursor;
use tokio::time::Instant;

use crate::downstream::arrival_times::ArrivalTimes;
use crate::downstream::framing::{Framing, parse_request_head};
use crate::memory::MemoryBudget;
use crate::sockets::Socket;

/// Maximum size in bytes of a request head.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size in bytes of a request head while memory is short. Short requests have heads of a few hundred bytes.
pub(super) const MAX_HEAD_BYTES_WHILE_SHORT: usize = 4 * 1024;
/// Number of bytes by which the read-ahead buffer grows.
const BUFFER_STEP_BYTES: usize = 1024;
/// Maximum size in bytes of the read-ahead buffer. It holds hundreds of requests that a client sends at once.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Maximum number of bytes that one system call reads.
pub(super) const READ_CHUNK_BYTES: usize = 4096;
/// How long the kernel's last report that the client is connected stays valid. Reusing it saves system calls.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// The corresponding time for a client that has sent more than the buffer holds. Finding the end of its input takes many
/// reads, and it may send as fast as the proxy reads. An attempt may begin up to 0.1 s after its client has disconnected.
const OVERFLOWED_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of reads in one poll of the connection's task, so that other tasks run between the polls.
const MAX_READS_PER_POLL: usize = 32;
/// Maximum number of reads in one check for a disconnected client, so that a client that sends as fast as the proxy
/// reads does not occupy the thread. It covers more than a full receive buffer.
const MAX_READS_PER_DISCONNECT_CHECK: usize = 4096;

/// A client's socket and its read-ahead buffer. Hyper reads requests from it through the framer, and the connection's
/// task uses it to check whether the client is still connected.
pub struct ClientStream {
    socket: Socket,
    buffered: Vec<u8>,
    arrival_times: ArrivalTimes,
    /// When the connection was accepted: the bytes that are read before the socket is first found empty count as
    /// arrived at this time. `None` afterwards, when bytes count as arrived at the time they are read.
    unread_since: Option<Instant>,
    /// Whether the end of input was read. A client that has ended its input counts as disconnected.
    ended: bool,
    /// Whether input after an open request was dropped because the buffer was full. No further input is buffered then,
    /// because it could not be read as a request.
    overflowed: bool,
    /// Whether the runtime was told that the socket is empty although it was not read to its end.
    paused: bool,
    /// When a query of the kernel last found the client connected.
    last_connected_at: Option<Instant>,
    /// The memory of the process.
    memory: Rc<MemoryBudget>,
}

impl ClientStream {
    /// Creates the stream of a socket from which nothing has been read. Bytes that are already in it count as arrived
    /// at `accepted_at`.
    pub fn new(socket: Socket, accepted_at: Instant, memory: Rc<MemoryBudget>) -> Rc<RefCell<ClientStream>> {
        Rc::new(RefCell::new(ClientStream {
            socket,
            buffered: Vec::new(),
            arrival_times: ArrivalTimes::default(),
            unread_since: Some(accepted_at),
            ended: false,
            overflowed: false,
            paused: false,
            last_connected_at: None,
            memory,
        }))
    }

    /// Reads at most `limit` bytes into the buffer. Becomes ready with their number, 0 at the end of input.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn poll_fill(&mut self, cx: &mut Context<'_>, limit: usize) -> Poll<io::Result<usize>> {
        if self.ended {
            return Poll::Ready(Ok(0));
        }
        if !self.paused && self.socket.poll_readable(cx).is_pending() {
            self.unread_since = None;
            return Poll::Pending;
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        let Poll::Ready(result) = self.poll_read(cx, &mut chunk[..limit.min(READ_CHUNK_BYTES)]) else {
            self.unread_since = None;
            return Poll::Pending;
        };
        let read = result?;
        self.append(&chunk[..read]);
        Poll::Ready(Ok(read))
    }

    fn poll_read(&mut self, cx: &mut Context<'_>, chunk: &mut [u8]) -> Poll<io::Result<usize>> {
        if std::mem::take(&mut self.paused)
            && let Some(read) = self.socket.read_now(chunk)
        {
            return Poll::Ready(read);
        }
        self.socket.poll_read(cx, chunk)
    }

    /// Returns the memory in bytes of the input that was read but not yet passed on.
    pub fn buffered_capacity(&self) -> usize {
        self.buffered.capacity()
    }

    /// Drops the input that was not passed on, and all input that is read ahead from now on: none of it is a request.
    pub fn drop_input(&mut self) {
        self.overflowed = true;
        self.clear_buffered();
    }

    /// Returns the bytes that were read but not yet passed on.
    pub fn buffered(&self) -> &[u8] {
        &self.buffered
    }

    /// Drops the bytes that were read but not yet passed on.
    pub fn clear_buffered(&mut self) {
        self.arrival_times.remove(self.buffered.len());
        self.buffered = Vec::new();
    }

    /// Returns when the last byte that was passed on arrived. Once a complete request has been passed on, that is the
    /// request's last byte. `None` before the first byte.
    pub fn last_passed_byte_arrived_at(&self) -> Option<Instant> {
        self.arrival_times.last_removed_arrival()
    }

    /// Returns when the last byte arrived that was read but not yet passed on; `None` if there is none.
    pub fn last_buffered_byte_arrived_at(&self) -> Option<Instant> {
        self.arrival_times.last_arrival()
    }

    /// Moves at most `limit` bytes from the buffer to `target`, and returns their number. Frees the memory of an empty
    /// buffer.
    pub fn move_buffered_to(&mut self, target: &mut ReadBufCursor<'_>, limit: u64) -> u64 {
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let byte_count = self.buffered.len().min(target.remaining()).min(limit);
        target.put_slice(&self.buffered[..byte_count]);
        self.buffered.drain(..byte_count);
        self.arrival_times.remove(byte_count);
        if self.buffered.is_empty() {
            self.clear_buffered();
        }
        byte_count as u64
    }

    /// Returns whether the input cannot be read as another request: a part of it was dropped because the buffer was full,
    /// and what was buffered before holds no complete request any more.
    pub fn ends_before_next_request(&self) -> bool {
        self.overflowed && !self.has_complete_request()
    }

    fn has_complete_request(&self) -> bool {
        let Ok(Some(head)) = parse_request_head(&self.buffered) else { return false };
        match head.framing {
            Framing::Length(body) => (head.length as u64).saturating_add(body) <= self.buffered.len() as u64,
            Framing::Chunked => false,
        }
    }

    /// Becomes ready once the client of a complete request has disconnected or ended its input. Reads and buffers the
    /// input that arrives meanwhile, since the end of input is visible only after the bytes before it were read. Input
    /// that exceeds the buffer is dropped, and the connection closes after the responses to the requests before it.
    ///
    /// While memory is short, a long input stays in the kernel, which reports its end anyway.
    pub fn poll_disconnected(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        for _ in 0..MAX_READS_PER_POLL {
            if !self.may_read_ahead() {
                self.paused = true;
                return self.socket.poll_peer_closed(cx);
            }
            match ready!(self.poll_fill(cx, READ_CHUNK_BYTES)) {
                Ok(1..) => {}
                Ok(0) | Err(_) => return Poll::Ready(()),
            }
        }
        // More input is waiting. The task is polled again after the others.
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Returns whether the client has disconnected, even if the runtime has not polled the socket since.
    pub fn disconnected_now(&mut self, cx: &mut Context<'_>) -> bool {
        self.poll_disconnected(cx).is_ready() || self.read_to_end_of_input()
    }

    /// Returns whether the client has disconnected, without registering a task to be woken. Queries the kernel at most
    /// once per [`DISCONNECT_CHECK_INTERVAL`], or [`OVERFLOWED_CHECK_INTERVAL`].
    pub fn disconnected(&mut self) -> bool {
        let interval = if self.overflowed { OVERFLOWED_CHECK_INTERVAL } else { DISCONNECT_CHECK_INTERVAL };
        if self.ended || self.last_connected_at.is_some_and(|at| at.elapsed() < interval) {
            return self.ended;
        }
        self.read_to_end_of_input()
    }

    /// Reads the input that has arrived, and returns whether its end was found. A client that sends as fast as the proxy
    /// reads counts as connected.
    fn read_to_end_of_input(&mut self) -> bool {
        for _ in 0..MAX_READS_PER_DISCONNECT_CHECK {
            if !self.may_read_ahead() {
                let has_closed = self.socket.has_peer_closed();
                self.last_connected_at = (!has_closed).then(Instant::now);
                return has_closed;
            }
            match self.read_from_kernel() {
                Some(0) => return true,
                Some(_) => {}
                None => return false,
            }
        }
        self.last_connected_at = Some(Instant::now());
        false
    }

    /// Returns whether the client of an incomplete request has ended its input, so that the request stays incomplete.
    /// Reads nothing, since the rest of the body may exceed the buffer. An end of input that follows unread bytes is
    /// therefore noticed only once the runtime has polled the socket.
    pub fn ended_early(&self) -> bool {
        let peeked_end = matches!(self.socket.peek_now(), Some(Ok(0) | Err(_)));
        self.ended || peeked_end || self.socket.is_read_closed()
    }

    /// Returns whether input has arrived that was not passed on. Queries the kernel, since the runtime may not have
    /// polled the socket, and closing a socket with unread input would lose the request in it.
    pub fn has_unread_input(&self) -> bool {
        !self.buffered.is_empty() || self.socket.has_unread_bytes()
    }

    /// Returns the socket, for writing.
    pub fn socket(&self) -> &Socket {
        &self.socket
    }

    /// Returns the socket, for use after hyper has finished.
    pub fn into_socket(self) -> Socket {
        self.socket
    }

    /// Reads from the kernel into the buffer without waiting for the runtime, which may not have polled the socket
    /// yet. Returns the number of bytes, 0 if the client has disconnected, or `None` if there is nothing to read.
    fn read_from_kernel(&mut self) -> Option<usize> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let Some(read) = self.socket.read_now(&mut chunk) else {
            self.last_connected_at = Some(Instant::now());
            self.unread_since = None;
            return None;
        };
        let read = read.unwrap_or(0);
        self.append(&chunk[..read]);
        Some(read)
    }

    /// Appends the bytes of one read to the buffer as far as they fit. An empty read is the end of input.
    fn append(&mut self, bytes: &[u8]) {
        self.ended = bytes.is_empty();
        if self.overflowed {
            return;
        }
        let retained = bytes.len().min(MAX_READ_AHEAD_BYTES.saturating_sub(self.buffered.len()));
        self.overflowed = retained < bytes.len();
        let arrived_at = self.unread_since.unwrap_or_else(Instant::now);
        self.arrival_times.append(retained, arrived_at);
        let needed = self.buffered.len() + retained;
        if needed > self.buffered.capacity() {
            let capacity = needed.next_multiple_of(BUFFER_STEP_BYTES);
            self.buffered.reserve_exact(capacity - self.buffered.len());
        }
        self.buffered.extend_from_slice(&bytes[..retained]);
    }

    /// Returns whether more input may be read while a request is open. Input that is dropped takes no memory.
    fn may_read_ahead(&self) -> bool {
        self.ended || self.overflowed || self.memory.may_buffer(self.buffered.len())
    }
}
