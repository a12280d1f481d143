//! A caller's connection as hyper sees it: only heads that are good pass, and never more than one request. Also
//! how long such a connection has been at what, and which of them are idle.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io::{self, Read as _};
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::downstream::framing::{Framing, request};

/// A connection on which no request is open is kept this long.
pub const IDLE_TIME: Duration = Duration::from_secs(2);
/// One that has not been idle for so long is not closed for others.
const SPARED: Duration = Duration::from_millis(100);
/// Nor one that has not been in the middle of a head for so long.
const HALFWAY_SPARED: Duration = Duration::from_secs(1);
/// A head may take this long from its first byte: callers may take 2 s for it.
const HEAD_TIME: Duration = Duration::from_millis(2400);
/// A request may take this long from its first byte to its last, and longer as its body comes.
const BODY_TIME: Duration = Duration::from_millis(2800);
/// Bytes of a body that buy one second more: three quarters of what the slowest honest callers send.
const RATE: f64 = 48_000.0;
/// Most time that can be bought ahead: one that has sent much and is stuck is found within it.
const MOST_CREDIT: Duration = Duration::from_secs(2);
/// A caller that takes nothing of its answer for so long is stuck, and not slow.
const STUCK_TIME: Duration = Duration::from_secs(10);
/// A connection's first request may take this long from the connection on, with the silence before it.
const FIRST_TIME: Duration = Duration::from_millis(2800);
/// Most of a head.
const MOST_HEAD: usize = 16 * 1024;
/// Read at once.
const CHUNK: usize = 4096;
/// For so long the kernel's word that a caller is there is taken for news.
const FRESH: Duration = Duration::from_millis(1);
/// So often a caller's socket is read in one look: more than a receive buffer holds.
const MOST_READS: usize = 4096;

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestStage {
    /// No byte of a request has come.
    Idle,
    /// A part of a head has come.
    Head,
    /// The head has come.
    Body,
    /// The request has come whole and is not answered.
    Open,
}

/// What cannot be let through; the connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProtocolError {
    /// It cannot be read, or where it ends cannot be told.
    Bad,
    /// The head does not end.
    TooLarge,
}

/// The connections that may be closed for others: those that are idle and those in the middle of a head, each
/// longest first.
#[derive(Default)]
pub struct IdleConnections {
    idle: RefCell<BTreeMap<u64, IdleConnection>>,
    halfway: RefCell<BTreeMap<u64, IdleConnection>>,
    next: Cell<u64>,
}

/// A connection that may be closed for others, and since when it may.
struct IdleConnection {
    since: Instant,
    task: AbortHandle,
    inbound: Weak<RefCell<ClientStream>>,
}

impl IdleConnections {
    /// Closes the connection that has been idle longest, or else longest in the middle of a head; else, when one
    /// may be. Guards those that have just come, whose request is on its way.
    pub fn close_oldest(&self) -> Result<(), Option<Instant>> {
        let mut ripe: Option<Instant> = None;
        for (list, spared) in [(&self.idle, SPARED), (&self.halfway, HALFWAY_SPARED)] {
            let mut list = list.borrow_mut();
            let Some(at) = list.values().next().map(|spare| spare.since + spared) else { continue };
            // Guards a request that has come and was not read yet: it would be reset with its connection.
            let unread =
                |s: &IdleConnection| s.inbound.upgrade().is_some_and(|inbound| inbound.borrow().waits());
            let free = list.iter().take_while(|(_, s)| s.since + spared <= Instant::now());
            let free = free.filter(|(_, s)| spared > SPARED || !unread(s)).map(|(&place, _)| place).next();
            if let Some(spare) = free.and_then(|place| list.remove(&place)) {
                spare.task.abort();
                return Ok(());
            }
            ripe = Some(ripe.map_or(at, |other| other.min(at)));
        }
        Err(ripe)
    }

    /// The list that connections at this are in.
    fn list(&self, stage: RequestStage) -> Option<&RefCell<BTreeMap<u64, IdleConnection>>> {
        match stage {
            RequestStage::Idle => Some(&self.idle),
            RequestStage::Head => Some(&self.halfway),
            RequestStage::Body | RequestStage::Open => None,
        }
    }
}

/// How far a connection is, seen from both sides of hyper.
pub struct ConnectionProgress {
    crowd: Rc<IdleConnections>,
    inbound: Weak<RefCell<ClientStream>>,
    task: RefCell<Option<AbortHandle>>,
    stage: Cell<RequestStage>,
    since: Cell<Instant>,
    first_byte: Cell<Instant>,
    /// Until when its first request must have come whole; nothing once one has.
    first_until: Cell<Option<Instant>>,
    place: Cell<Option<u64>>,
    fault: Cell<Option<ProtocolError>>,
    chunked: Cell<bool>,
    unread: Cell<bool>,
    /// Since when nothing could be written.
    stuck: Cell<Option<Instant>>,
    /// Since when there has been nothing to read of its body, and since when more of it is wanted.
    empty: Cell<Option<Instant>>,
    wanted: Cell<Option<Instant>>,
    /// Time that the body's bytes have bought.
    credit: Cell<Duration>,
    /// It has its answer, of which the last bytes are to be written.
    answered: Cell<bool>,
}

impl ConnectionProgress {
    /// A connection that has just come.
    pub fn new(crowd: Rc<IdleConnections>, inbound: &Rc<RefCell<ClientStream>>) -> Rc<ConnectionProgress> {
        ConnectionProgress::from(crowd, Rc::downgrade(inbound))
    }

    fn from(crowd: Rc<IdleConnections>, inbound: Weak<RefCell<ClientStream>>) -> Rc<ConnectionProgress> {
        let now = Instant::now();
        Rc::new(ConnectionProgress {
            crowd,
            inbound,
            task: RefCell::default(),
            stage: Cell::new(RequestStage::Open),
            since: Cell::new(now),
            first_byte: Cell::new(now),
            first_until: Cell::new(Some(now + FIRST_TIME)),
            place: Cell::default(),
            fault: Cell::default(),
            chunked: Cell::default(),
            unread: Cell::default(),
            stuck: Cell::default(),
            empty: Cell::default(),
            wanted: Cell::default(),
            credit: Cell::default(),
            answered: Cell::default(),
        })
    }

    /// Its task, to be ended when room is needed while it is idle.
    pub fn of(&self, task: AbortHandle) {
        *self.task.borrow_mut() = Some(task);
        self.enter(RequestStage::Idle);
    }

    /// What it is at.
    pub fn stage(&self) -> RequestStage {
        self.stage.get()
    }

    fn enter(&self, stage: RequestStage) {
        let now = Instant::now();
        match stage {
            RequestStage::Head => self.first_byte.set(now),
            RequestStage::Body => {
                self.empty.set(None);
                self.wanted.set(Some(now));
                self.credit.set(Duration::ZERO);
            }
            RequestStage::Idle | RequestStage::Open => {}
        }
        self.leave_crowd();
        self.stage.set(stage);
        self.since.set(now);
        if let (Some(list), Some(task)) = (self.crowd.list(stage), &*self.task.borrow()) {
            let place = self.crowd.next.get();
            self.crowd.next.set(place + 1);
            let (task, inbound) = (task.clone(), self.inbound.clone());
            list.borrow_mut().insert(place, IdleConnection { since: now, task, inbound });
            self.place.set(Some(place));
        }
    }

    fn leave_crowd(&self) {
        if let (Some(place), Some(list)) = (self.place.take(), self.crowd.list(self.stage.get())) {
            list.borrow_mut().remove(&place);
        }
    }

    /// The request has come whole.
    pub fn taken(&self) {
        self.unread.set(false);
        self.first_until.set(None);
        self.enter(RequestStage::Open);
    }

    /// It has its answer: once that is written, the next request may pass.
    pub fn answered(&self) {
        self.answered.set(true);
    }

    /// Its answer is its last, and what it may still send is nothing.
    pub fn parting(&self) {
        self.enter(RequestStage::Open);
    }

    /// All that was to be written is.
    fn flushed(&self) {
        self.stuck.set(None);
        if self.answered.replace(false) {
            self.first_until.set(None);
            self.enter(RequestStage::Idle);
        }
    }

    /// Whether more of the body is wanted now: what the upstream does not take yet is not.
    pub fn want(&self, wanted: bool) {
        match (wanted, self.wanted.get()) {
            (true, Some(_)) => {}
            (true, None) => self.wanted.set(Some(Instant::now())),
            (false, _) => {
                self.spend();
                self.wanted.set(None);
            }
        }
    }

    /// Since when the caller has been waited for in its body.
    fn waiting(&self) -> Option<Instant> {
        Some(self.empty.get()?.max(self.wanted.get()?))
    }

    /// Takes the time that the caller has been waited for from what its body has bought.
    fn spend(&self) {
        let waited = self.waiting().map_or(Duration::ZERO, |since| since.elapsed());
        self.credit.set(self.credit.get().saturating_sub(waited));
    }

    /// So many bytes of the body have come; nothing if there are none to read.
    fn body(&self, bytes: Option<usize>) {
        match bytes {
            None if self.empty.get().is_none() => self.empty.set(Some(Instant::now())),
            None => {}
            Some(bytes) => {
                self.spend();
                self.empty.set(None);
                let bought = Duration::from_secs_f64(bytes as f64 / RATE);
                self.credit.set((self.credit.get() + bought).min(MOST_CREDIT));
            }
        }
    }

    /// What follows the request is none: where it ends is known to hyper alone, or some of it was dropped.
    pub fn last(&self) -> bool {
        self.chunked.get() || self.inbound.upgrade().is_some_and(|inbound| inbound.borrow().flooded)
    }

    /// Ready once the caller has left whose request has come whole; see [`ClientStream::poll_left`].
    pub fn poll_left(&self, cx: &mut Context<'_>) -> Poll<()> {
        match self.inbound.upgrade() {
            Some(inbound) if self.stage() == RequestStage::Open => inbound.borrow_mut().poll_left(cx),
            _ => Poll::Pending,
        }
    }

    /// The same at this moment, be the runtime's view as old as it may.
    pub async fn left(&self) -> bool {
        let look = |cx: &mut Context<'_>| match self.inbound.upgrade() {
            Some(inbound) if self.stage() == RequestStage::Open => inbound.borrow_mut().left(cx),
            _ => false,
        };
        poll_fn(|cx| Poll::Ready(look(cx))).await
    }

    /// The same for anyone who asks: its connection is not polled, and one that was dropped has nobody behind it.
    /// To be asked before each attempt's first byte. However long the connection waits for its turn, this asks the
    /// kernel, unless it was asked just now.
    pub fn departed(&self) -> bool {
        let Some(inbound) = self.inbound.upgrade() else { return true };
        let mut inbound = inbound.borrow_mut();
        match self.stage() {
            RequestStage::Open => inbound.departed(),
            RequestStage::Body => inbound.broken_off(),
            RequestStage::Idle | RequestStage::Head => false,
        }
    }

    /// When it has been at this for too long; a request that is open has a clock of its own. Guards against a
    /// peer that is silent first and slow then, each for less than it may: it is owed an end within 3 s in all.
    pub fn due(&self, idle_time: Duration) -> Option<Instant> {
        let whole_until = self.first_until.get();
        let first = |due: Instant| whole_until.map_or(due, |until| due.min(until));
        match self.stage.get() {
            RequestStage::Idle => Some(first(self.since.get() + idle_time)),
            RequestStage::Head => Some(first(self.first_byte.get() + HEAD_TIME)),
            // Only while the caller is waited for: the upstream may be the slow one.
            RequestStage::Body => {
                let due = first(self.first_byte.get() + BODY_TIME);
                self.waiting().map(|since| due.max(since + self.credit.get()))
            }
            RequestStage::Open => self.stuck.get().map(|since| since + STUCK_TIME),
        }
    }

    /// What was not let through.
    pub fn fault(&self) -> Option<ProtocolError> {
        self.fault.get()
    }

    /// The caller may still be sending.
    pub fn unread(&self) -> bool {
        self.unread.get()
    }

    /// An earlier answer is not written to its end: nothing can be said after it.
    pub fn stuck(&self) -> bool {
        self.stuck.get().is_some()
    }
}

impl Drop for ConnectionProgress {
    fn drop(&mut self) {
        self.leave_crowd();
    }
}

/// What the next bytes are.
enum Next {
    /// A head, to be looked at first.
    Head,
    /// So many bytes that pass.
    Pass(u64),
    /// All pass.
    All,
}

/// A caller's socket, and what has been read of it and not passed on. Looked at from both sides: hyper reads a
/// request through the gate, and its connection looks whether the caller is still there.
pub struct ClientStream {
    stream: TcpStream,
    held: Vec<u8>,
    /// Its end was read: nobody waits for an answer.
    ended: bool,
    /// So much came behind an open request that some of it was dropped: nothing behind it is a request any more.
    flooded: bool,
    /// When the kernel last said that the caller is there.
    looked: Option<Instant>,
}

impl ClientStream {
    /// Nothing read yet.
    pub fn new(stream: TcpStream) -> Rc<RefCell<ClientStream>> {
        let (held, ended, flooded, looked) = (Vec::new(), false, false, None);
        Rc::new(RefCell::new(ClientStream { stream, held, ended, flooded, looked }))
    }

    /// Reads more into what is held, no more than `most`; tells how much it was.
    fn fill(&mut self, cx: &mut Context<'_>, most: usize) -> Poll<io::Result<usize>> {
        if self.ended {
            return Poll::Ready(Ok(0));
        }
        let mut chunk = [0; CHUNK];
        let mut read = ReadBuf::new(&mut chunk[..most.min(CHUNK)]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        self.held.extend_from_slice(read.filled());
        self.ended = read.filled().is_empty();
        Poll::Ready(Ok(read.filled().len()))
    }

    /// Ready once the caller of a request that has come whole has left, be it by half. What it sent too early is
    /// held; past the bound it is dropped, and its connection with the answer: an end behind it must be seen.
    pub fn poll_left(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            self.bound();
            match ready!(self.fill(cx, CHUNK)) {
                Ok(1..) => {}
                Ok(0) | Err(_) => return Poll::Ready(()),
            }
        }
    }

    /// Drops what is held past the bound.
    fn bound(&mut self) {
        if self.held.len() >= MOST_HEAD {
            self.flooded = true;
            self.held.truncate(MOST_HEAD - CHUNK);
        }
    }

    /// The same as [`left`](Self::left) without a task to be woken, and no oftener than the kernel need be asked.
    fn departed(&mut self) -> bool {
        if self.ended || self.looked.is_some_and(|at| at.elapsed() < FRESH) {
            return self.ended;
        }
        // Guards against a caller that sends as fast as this reads.
        for _ in 0..MOST_READS {
            self.bound();
            match self.ask_kernel() {
                Some(0) => return true,
                Some(_) => {}
                None => return false,
            }
        }
        false
    }

    /// Whether the caller has left by now; the runtime may not have looked since.
    fn left(&mut self, cx: &mut Context<'_>) -> bool {
        loop {
            if self.poll_left(cx).is_ready() {
                return true;
            }
            match self.ask_kernel() {
                Some(0) => return true,
                Some(_) => {}
                None => return false,
            }
        }
    }

    /// The same as [`fill`](Self::fill) where the runtime knows of nothing to read: it may not have looked since.
    fn ask_kernel(&mut self) -> Option<usize> {
        let mut chunk = [0; CHUNK];
        let read = match (&*SockRef::from(&self.stream)).read(&mut chunk) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                self.looked = Some(Instant::now());
                return None;
            }
            read => read.unwrap_or(0),
        };
        self.held.extend_from_slice(&chunk[..read]);
        self.ended = read == 0;
        Some(read)
    }

    /// The caller of a request that is still coming has ended its sending, so that it never comes whole; without
    /// reading what may be far too much to hold. Behind unread bytes it is known once the runtime has looked.
    fn broken_off(&self) -> bool {
        let looked =
            pin!(self.stream.ready(Interest::READABLE)).poll(&mut Context::from_waker(Waker::noop()));
        let mut byte = [MaybeUninit::uninit()];
        let gone = match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(read) => read == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        };
        self.ended || gone || matches!(looked, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Something has come that was not passed on. Asks the kernel: the runtime may not have looked since, and a
    /// socket that is closed with something unread takes a request with it.
    pub fn waits(&self) -> bool {
        !self.held.is_empty() || waits(&self.stream)
    }

    /// The socket, when hyper is done with it.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }
}

/// Whether bytes have come that were not read; asks the kernel.
pub fn waits(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut byte).is_ok_and(|n| n > 0)
}

/// The connection between the socket and hyper.
pub struct RequestFramer {
    inbound: Rc<RefCell<ClientStream>>,
    progress: Rc<ConnectionProgress>,
    next: Next,
}

impl RequestFramer {
    /// Nothing read yet.
    pub fn new(inbound: Rc<RefCell<ClientStream>>, progress: Rc<ConnectionProgress>) -> RequestFramer {
        RequestFramer { inbound, progress, next: Next::Head }
    }

    /// Reads more into what is held; tells how much it was.
    fn fill(&mut self, cx: &mut Context<'_>, most: usize) -> Poll<io::Result<usize>> {
        let polled = self.inbound.borrow_mut().fill(cx, most);
        if self.progress.stage() == RequestStage::Body {
            self.progress.body(match &polled {
                Poll::Ready(read) => Some(read.as_ref().copied().unwrap_or(0)),
                Poll::Pending => None,
            });
        }
        polled
    }

    /// How much is held.
    fn held(&self) -> usize {
        self.inbound.borrow().held.len()
    }

    /// Passes on what is held, up to `most`.
    fn pass(&mut self, buf: &mut ReadBufCursor<'_>, most: u64) -> u64 {
        let held = &mut self.inbound.borrow_mut().held;
        let n = held.len().min(buf.remaining()).min(usize::try_from(most).unwrap_or(usize::MAX));
        buf.put_slice(&held[..n]);
        held.drain(..n);
        if held.is_empty() {
            *held = Vec::new();
        }
        n as u64
    }

    fn refuse(&mut self, fault: ProtocolError) -> Poll<io::Result<()>> {
        self.progress.fault.set(Some(fault));
        self.progress.unread.set(true);
        self.inbound.borrow_mut().held = Vec::new();
        // An end, as hyper sees it; the answer is given when hyper has left.
        Poll::Ready(Ok(()))
    }
}

impl Read for RequestFramer {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.progress.fault().is_some() {
            return Poll::Ready(Ok(()));
        }
        loop {
            match this.next {
                Next::Head if matches!(this.progress.stage(), RequestStage::Body | RequestStage::Open) => {
                    // Whether the caller has left, and what it sends too early: held until the answer went.
                    ready!(this.inbound.borrow_mut().poll_left(cx));
                    return Poll::Ready(Ok(()));
                }
                // An end, as hyper sees it: its last answer has gone.
                Next::Head if this.inbound.borrow().flooded => return Poll::Ready(Ok(())),
                Next::Head => {
                    if this.held() > 0 && this.progress.stage() == RequestStage::Idle {
                        this.progress.enter(RequestStage::Head);
                    }
                    let read = request(&this.inbound.borrow().held);
                    match read {
                        Err(()) => return this.refuse(ProtocolError::Bad),
                        Ok(Some((head, framing))) => {
                            let head = head as u64;
                            this.progress.chunked.set(framing == Framing::Chunked);
                            this.progress.unread.set(framing != Framing::Length(0));
                            this.progress.enter(RequestStage::Body);
                            this.next = match framing {
                                Framing::Length(n) => Next::Pass(head.saturating_add(n)),
                                Framing::Chunked => Next::All,
                            };
                        }
                        Ok(None) if this.held() >= MOST_HEAD => return this.refuse(ProtocolError::TooLarge),
                        Ok(None) => {
                            if ready!(this.fill(cx, MOST_HEAD - this.held()))? == 0 {
                                return Poll::Ready(Ok(()));
                            }
                        }
                    }
                }
                Next::Pass(0) => this.next = Next::Head,
                Next::Pass(n) => {
                    if this.held() == 0 && ready!(this.fill(cx, CHUNK))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    let passed = this.pass(&mut buf, n);
                    this.next = Next::Pass(n - passed);
                    return Poll::Ready(Ok(()));
                }
                Next::All => {
                    if this.held() == 0 && ready!(this.fill(cx, CHUNK))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    this.pass(&mut buf, u64::MAX);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl RequestFramer {
    fn note<T>(&self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        let since = self.progress.stuck.get().or_else(|| Some(Instant::now()));
        self.progress.stuck.set(since.filter(|_| written.is_pending()));
        written
    }
}

impl Write for RequestFramer {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inbound.borrow_mut().stream).poll_write(cx, buf);
        self.note(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inbound.borrow_mut().stream).poll_write_vectored(cx, bufs);
        self.note(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inbound.borrow_mut().stream).poll_flush(cx))?;
        self.progress.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inbound.borrow_mut().stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
