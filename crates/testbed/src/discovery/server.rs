//! The server of the stand-in. One thread runs a task for commands, a task that accepts connections, and a task for
//! each connection.

use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};

use super::entry::Entry;
use super::request::{DiscoveryRequest, MAX_HEAD_BYTES, read_request};
use super::traffic::{Acknowledgement, Counters, TrafficRecorder};
use super::versions::{ListResponse, ResponseKind, VersionedList};
use super::{Mode, VersionChange};
use crate::accept::accept;

/// Length of the accept queue, in connections. All watchers may connect at the same time.
const ACCEPT_BACKLOG: u32 = 4096;

/// Initial size of a connection's read buffer, which grows for longer requests.
const READ_BUFFER_BYTES: usize = 512;

/// A command from the owner of the stand-in to its thread, with the channel for the reply.
pub enum Command {
    /// Replaces the list.
    Replace(Vec<Entry>, mpsc::Sender<VersionChange>),
    /// Changes entries.
    Change(Vec<Entry>, mpsc::Sender<VersionChange>),
    /// Changes the mode. The reply is an error if the address cannot be listened on again.
    SetMode(Mode, mpsc::Sender<io::Result<VersionChange>>),
    /// Closes all connections.
    CloseConnections(mpsc::Sender<VersionChange>),
    /// Returns the counts.
    Counters(mpsc::Sender<Counters>),
    /// Returns the acknowledgements since the previous command of this kind.
    TakeAcknowledgements(mpsc::Sender<Vec<Acknowledgement>>),
}

/// State that the tasks of all connections share.
struct SharedState {
    list: RefCell<VersionedList>,
    traffic: RefCell<TrafficRecorder>,
    version: watch::Sender<u64>,
    mode: watch::Sender<Mode>,
    /// Incremented to make all connections close.
    close_count: watch::Sender<u64>,
}

impl SharedState {
    /// Returns the current version and the current time.
    fn version_change(&self) -> VersionChange {
        VersionChange { version: self.list.borrow().version(), at: Instant::now() }
    }

    /// Changes the list and then notifies the watches. The returned time is before any notification.
    fn update_list(&self, update: impl FnOnce(&mut VersionedList)) -> VersionChange {
        update(&mut self.list.borrow_mut());
        let change = self.version_change();
        self.version.send_replace(change.version);
        change
    }

    fn close_connections(&self) {
        self.close_count.send_modify(|count| *count += 1);
    }
}

/// Listens on an address, even if connections closed by an earlier listener still occupy the port.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// The running server.
pub struct Server {
    shared: Rc<SharedState>,
    address: SocketAddr,
    /// The task that accepts connections; `None` while the stand-in is down.
    acceptor: Option<AbortHandle>,
}

impl Server {
    /// Starts to accept connections, with an empty list of version 1. Must be called within a `LocalSet`.
    pub fn start(address: SocketAddr, listener: TcpListener) -> Server {
        let shared = Rc::new(SharedState {
            list: RefCell::new(VersionedList::new()),
            traffic: RefCell::new(TrafficRecorder::new()),
            version: watch::Sender::new(1),
            mode: watch::Sender::new(Mode::Up),
            close_count: watch::Sender::new(0),
        });
        let acceptor = spawn_local(serve_listener(shared.clone(), listener)).abort_handle();
        Server { shared, address, acceptor: Some(acceptor) }
    }

    /// Executes commands until their sender is dropped.
    pub async fn run(mut self, mut commands: UnboundedReceiver<Command>) {
        while let Some(command) = commands.recv().await {
            self.execute(command);
        }
    }

    /// Executes a command. The receiver of the reply may have been dropped, so a failure to send it is ignored.
    fn execute(&mut self, command: Command) {
        match command {
            Command::Replace(entries, reply) => {
                let _ = reply.send(self.shared.update_list(|list| list.replace(entries)));
            }
            Command::Change(entries, reply) => {
                let _ = reply.send(self.shared.update_list(|list| list.change(entries)));
            }
            Command::SetMode(mode, reply) => {
                let _ = reply.send(self.set_mode(mode));
            }
            Command::CloseConnections(reply) => {
                let change = self.shared.version_change();
                self.shared.close_connections();
                let _ = reply.send(change);
            }
            Command::Counters(reply) => {
                let _ = reply.send(self.shared.traffic.borrow().counters());
            }
            Command::TakeAcknowledgements(reply) => {
                let _ = reply.send(self.shared.traffic.borrow_mut().take_acknowledgements());
            }
        }
    }

    fn set_mode(&mut self, mode: Mode) -> io::Result<VersionChange> {
        let change = self.shared.version_change();
        self.shared.mode.send_replace(mode);
        if mode == Mode::Down {
            if let Some(acceptor) = self.acceptor.take() {
                acceptor.abort();
            }
            self.shared.close_connections();
        } else if self.acceptor.is_none() {
            let listener = listen(self.address)?;
            self.acceptor = Some(spawn_local(serve_listener(self.shared.clone(), listener)).abort_handle());
        }
        Ok(change)
    }
}

/// Accepts connections, and serves each in a separate task.
async fn serve_listener(shared: Rc<SharedState>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let connection = shared.traffic.borrow_mut().connection_opened();
        let mut closed = shared.close_count.subscribe();
        let shared = shared.clone();
        spawn_local(async move {
            tokio::select! {
                // The signal to close is polled first, so that nothing is sent on the connection after it.
                biased;
                _ = closed.changed() => {}
                _ = serve_connection(&shared, stream, connection) => {}
            }
            shared.traffic.borrow_mut().open_connections -= 1;
        });
    }
}

/// Serves the connection with this number until it ends, and then returns `None`. The number decides whether its
/// responses are delayed in [`Mode::Slow`].
async fn serve_connection(shared: &SharedState, mut stream: TcpStream, connection: u64) -> Option<()> {
    let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
    let mut acknowledged_version = 0;
    loop {
        let received = read_request(&mut stream, &mut buffer).await?;
        shared.traffic.borrow_mut().count(|traffic| {
            traffic.requests += 1;
            traffic.bytes_in += received.length as u64;
        });
        if let DiscoveryRequest::Watch { version, wait } = received.request {
            if version > acknowledged_version {
                acknowledged_version = version;
                shared.traffic.borrow_mut().acknowledge(connection, version);
            }
            let _waiting = WaitingWatch::begin(shared);
            wait_for_change(shared, &mut stream, &mut buffer, version, wait).await?;
        }
        delay_response(shared, connection).await?;
        respond(shared, &mut stream, received.request).await.ok()?;
    }
}

/// Waits while the mode is [`Mode::Silent`], and then, if the connection is slow, for the delay of [`Mode::Slow`].
/// Returns `None` if the stand-in ends.
async fn delay_response(shared: &SharedState, connection: u64) -> Option<()> {
    let mut mode = shared.mode.subscribe();
    let mode = *mode.wait_for(|mode| *mode != Mode::Silent).await.ok()?;
    if let Mode::Slow { one_in, delay } = mode
        && connection.is_multiple_of(one_in.max(1))
    {
        tokio::time::sleep(delay).await;
    }
    Some(())
}

/// Waits until the list has a version other than `applied_version`, but at most for `max_wait`. Returns `None` if the
/// peer closes the connection, or sends more data than a request may have.
async fn wait_for_change(
    shared: &SharedState,
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    applied_version: u64,
    max_wait: Duration,
) -> Option<()> {
    let mut version = shared.version.subscribe();
    let wait_over = tokio::time::sleep(max_wait);
    tokio::pin!(wait_over);
    loop {
        tokio::select! {
            _ = version.wait_for(|version| *version != applied_version) => return Some(()),
            () = &mut wait_over => return Some(()),
            read = stream.read_buf(buffer) => if read.ok()? == 0 || buffer.len() > MAX_HEAD_BYTES {
                return None;
            },
        }
    }
}

/// Sends the response to a request and counts it.
async fn respond(shared: &SharedState, stream: &mut TcpStream, request: DiscoveryRequest) -> io::Result<()> {
    let status = match request {
        DiscoveryRequest::Snapshot | DiscoveryRequest::Watch { .. } => "200 OK",
        DiscoveryRequest::Unknown => "404 Not Found",
    };
    let ListResponse { kind, body } = match request {
        DiscoveryRequest::Snapshot => shared.list.borrow_mut().snapshot(),
        DiscoveryRequest::Watch { version, .. } => shared.list.borrow_mut().update_since(version),
        DiscoveryRequest::Unknown => ListResponse { kind: ResponseKind::Empty, body: Bytes::new() },
    };
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    shared.traffic.borrow_mut().count(|traffic| {
        traffic.bytes_out += (head.len() + body.len()) as u64;
        match kind {
            ResponseKind::Snapshot => traffic.snapshots += 1,
            ResponseKind::Delta => traffic.deltas += 1,
            ResponseKind::Empty => traffic.empty += 1,
        }
    });
    write_response(stream, head.as_bytes(), &body).await
}

/// Writes head and body, in one system call if the socket accepts both.
async fn write_response(stream: &mut TcpStream, head: &[u8], body: &[u8]) -> io::Result<()> {
    let written = stream.write_vectored(&[IoSlice::new(head), IoSlice::new(body)]).await?;
    stream.write_all(head.get(written..).unwrap_or_default()).await?;
    stream.write_all(body.get(written.saturating_sub(head.len())..).unwrap_or_default()).await
}

/// Counts a watch as waiting until it is dropped.
struct WaitingWatch<'a> {
    shared: &'a SharedState,
}

impl WaitingWatch<'_> {
    fn begin(shared: &SharedState) -> WaitingWatch<'_> {
        shared.traffic.borrow_mut().waiting_watches += 1;
        WaitingWatch { shared }
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.shared.traffic.borrow_mut().waiting_watches -= 1;
    }
}
