//! A client's socket, with what has been read of it and not yet passed on to hyper.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::ReadBufCursor;
use tokio::time::Instant;

use crate::downstream::arrival_times::ArrivalTimes;
use crate::sockets::Socket;

/// Most that is read ahead and kept; also the longest head.
pub(super) const MAX_BUFFERED: usize = 16 * 1024;
/// Most that one call reads.
pub(super) const READ_CHUNK: usize = 4096;
/// For this long the kernel's last word that the client is connected is taken for current: asking costs a call.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Most reads in one look at a socket, more than a receive buffer holds: a client may send as fast as this reads.
const MAX_READS_PER_CHECK: usize = 4096;

/// A client's socket and its read-ahead buffer. It is used from both sides of hyper: hyper reads requests through
/// the framer, and the connection's task checks whether the client is still there.
pub struct ClientStream {
    socket: Socket,
    buffered: Vec<u8>,
    arrival_times: ArrivalTimes,
    /// Since when the next bytes may have waited to be read; none once the socket was seen empty.
    unread_since: Option<Instant>,
    /// The end of the client's sending was read: nobody waits for an answer.
    ended: bool,
    /// So much came behind an open request that some of it was dropped: nothing behind it is a request any more.
    overflowed: bool,
    /// When the kernel last said that the client is connected.
    last_seen: Option<Instant>,
}

impl ClientStream {
    /// A socket of which nothing has been read. What has come on it may have waited since `accepted_at`.
    pub fn new(socket: Socket, accepted_at: Instant) -> Rc<RefCell<ClientStream>> {
        Rc::new(RefCell::new(ClientStream {
            socket,
            buffered: Vec::new(),
            arrival_times: ArrivalTimes::default(),
            unread_since: Some(accepted_at),
            ended: false,
            overflowed: false,
            last_seen: None,
        }))
    }

    /// Reads more into the buffer, at most `limit` bytes; ready with their number, 0 at the end of input.
    pub fn poll_fill(&mut self, cx: &mut Context<'_>, limit: usize) -> Poll<io::Result<usize>> {
        if self.ended {
            return Poll::Ready(Ok(0));
        }
        let mut chunk = [0; READ_CHUNK];
        let Poll::Ready(result) = self.socket.poll_read(cx, &mut chunk[..limit.min(READ_CHUNK)]) else {
            self.unread_since = None;
            return Poll::Pending;
        };
        let read = result?;
        self.append(&chunk[..read]);
        Poll::Ready(Ok(read))
    }

    /// What was read and not passed on.
    pub fn buffered(&self) -> &[u8] {
        &self.buffered
    }

    /// Drops what was read and not passed on.
    pub fn clear_buffered(&mut self) {
        self.arrival_times.remove(self.buffered.len());
        self.buffered = Vec::new();
    }

    /// When the last byte came that was passed on; for a request that has come completely, its own last byte.
    pub fn last_passed_at(&self) -> Option<Instant> {
        self.arrival_times.last_removed()
    }

    /// Passes on at most `limit` bytes of the buffer; returns their number. An empty buffer holds no memory.
    pub fn pass(&mut self, target: &mut ReadBufCursor<'_>, limit: u64) -> u64 {
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let passed = self.buffered.len().min(target.remaining()).min(limit);
        target.put_slice(&self.buffered[..passed]);
        self.buffered.drain(..passed);
        self.arrival_times.remove(passed);
        if self.buffered.is_empty() {
            self.clear_buffered();
        }
        passed as u64
    }

    /// Whether some of what came behind an open request was dropped.
    pub fn overflowed(&self) -> bool {
        self.overflowed
    }

    /// Ready once the client of a request that has come completely has disconnected, or ended its sending. What it
    /// sends too early is buffered; past the bound it is dropped, and its connection closed with the answer, since
    /// an end of input behind it must be seen.
    pub fn poll_disconnected(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            self.drop_overflow();
            match ready!(self.poll_fill(cx, READ_CHUNK)) {
                Ok(1..) => {}
                Ok(0) | Err(_) => return Poll::Ready(()),
            }
        }
    }

    /// Whether the client has disconnected by now, even if the runtime has not looked at the socket since.
    pub fn disconnected_now(&mut self, cx: &mut Context<'_>) -> bool {
        loop {
            if self.poll_disconnected(cx).is_ready() {
                return true;
            }
            match self.read_past_runtime() {
                Some(0) => return true,
                Some(_) => {}
                None => return false,
            }
        }
    }

    /// The same as [`disconnected_now`](Self::disconnected_now) without a task to be woken, and asking the kernel
    /// at most once per [`CHECK_INTERVAL`].
    pub fn disconnected(&mut self) -> bool {
        if self.ended || self.last_seen.is_some_and(|seen| seen.elapsed() < CHECK_INTERVAL) {
            return self.ended;
        }
        for _ in 0..MAX_READS_PER_CHECK {
            self.drop_overflow();
            match self.read_past_runtime() {
                Some(0) => return true,
                Some(_) => {}
                None => return false,
            }
        }
        false
    }

    /// Whether the client of a request that is still coming has ended its sending, so that the request stays
    /// incomplete. Reads nothing, since that may be far too much to buffer: an end behind unread bytes is known
    /// once the runtime has looked.
    pub fn ended_early(&self) -> bool {
        let peeked_end = matches!(self.socket.peek_now(), Some(Ok(0) | Err(_)));
        self.ended || peeked_end || self.socket.saw_end_of_input()
    }

    /// Whether something has come that was not passed on. Asks the kernel, since the runtime may not have looked:
    /// a socket that is closed with something unread takes a request with it.
    pub fn has_unread_input(&self) -> bool {
        !self.buffered.is_empty() || self.socket.has_unread_bytes()
    }

    /// The socket, for writing.
    pub fn socket(&self) -> &Socket {
        &self.socket
    }

    /// The socket, when hyper is done with it.
    pub fn into_socket(self) -> Socket {
        self.socket
    }

    /// Drops what is buffered past the bound.
    fn drop_overflow(&mut self) {
        if self.buffered.len() >= MAX_BUFFERED {
            self.overflowed = true;
            let kept = MAX_BUFFERED - READ_CHUNK;
            self.arrival_times.truncate(self.buffered.len() - kept);
            self.buffered.truncate(kept);
        }
    }

    /// Reads into the buffer where the runtime knows of nothing to read: it may not have looked since. Returns the
    /// number of bytes, 0 once the client has disconnected, or `None` if there is nothing to read.
    fn read_past_runtime(&mut self) -> Option<usize> {
        let mut chunk = [0; READ_CHUNK];
        let Some(read) = self.socket.read_now(&mut chunk) else {
            self.last_seen = Some(Instant::now());
            self.unread_since = None;
            return None;
        };
        let read = read.unwrap_or(0);
        self.append(&chunk[..read]);
        Some(read)
    }

    /// Appends what was read to the buffer; nothing read is the end of input.
    fn append(&mut self, bytes: &[u8]) {
        let came_at = self.unread_since.unwrap_or_else(Instant::now);
        self.arrival_times.append(bytes.len(), came_at);
        self.buffered.extend_from_slice(bytes);
        self.ended = bytes.is_empty();
    }
}
