//! The stand-in's server: one task for its commands, one that accepts, one for each connection, all on one thread.

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
use super::request::{DiscoveryRequest, MAX_HEAD, read_request};
use super::traffic::{Acknowledgement, Counters, TrafficRecorder};
use super::versions::{ListResponse, ResponseKind, VersionedList};
use super::{Mode, VersionChange};

/// Connections that wait to be accepted: all watchers may come at once.
const BACKLOG: u32 = 4096;
/// Pause after a connection could not be accepted for want of descriptors: others may close meanwhile.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What the owner of the stand-in asks of its thread, and where the reply goes.
pub enum Command {
    /// Replace the list.
    Replace(Vec<Entry>, mpsc::Sender<VersionChange>),
    /// Change entries.
    Change(Vec<Entry>, mpsc::Sender<VersionChange>),
    /// Behave differently. The reply is an error if it cannot listen again.
    SetMode(Mode, mpsc::Sender<io::Result<VersionChange>>),
    /// Close every connection.
    CloseConnections(mpsc::Sender<VersionChange>),
    /// Return the counts.
    Counters(mpsc::Sender<Counters>),
    /// Return the acknowledgements since the last time.
    TakeAcknowledgements(mpsc::Sender<Vec<Acknowledgement>>),
}

/// What every connection sees.
struct Shared {
    list: RefCell<VersionedList>,
    traffic: RefCell<TrafficRecorder>,
    version: watch::Sender<u64>,
    mode: watch::Sender<Mode>,
    /// Another number each time that all connections are to be closed.
    close_count: watch::Sender<u64>,
}

impl Shared {
    /// The present version, at this moment.
    fn version_change(&self) -> VersionChange {
        VersionChange { version: self.list.borrow().version(), at: Instant::now() }
    }

    /// Changes the list and notifies the watches. The time is taken before the first of them is notified.
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

/// Listens on an address, also where connections that were closed here still hold the port.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The stand-in at work.
pub struct Server {
    shared: Rc<Shared>,
    address: SocketAddr,
    /// Accepts connections; none while the stand-in is down.
    acceptor: Option<AbortHandle>,
}

impl Server {
    /// Starts to accept connections, with an empty list of version 1. Must be called within a `LocalSet`.
    pub fn start(address: SocketAddr, listener: TcpListener) -> Server {
        let shared = Rc::new(Shared {
            list: RefCell::new(VersionedList::new()),
            traffic: RefCell::new(TrafficRecorder::new()),
            version: watch::Sender::new(1),
            mode: watch::Sender::new(Mode::Up),
            close_count: watch::Sender::new(0),
        });
        let acceptor = spawn_local(accept(shared.clone(), listener)).abort_handle();
        Server { shared, address, acceptor: Some(acceptor) }
    }

    /// Executes commands until their sender is dropped.
    pub async fn run(mut self, mut commands: UnboundedReceiver<Command>) {
        while let Some(command) = commands.recv().await {
            self.execute(command);
        }
    }

    /// Executes a command. Whoever asked may have gone, so that a reply that cannot be sent is no error.
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
            self.acceptor = Some(spawn_local(accept(self.shared.clone(), listener)).abort_handle());
        }
        Ok(change)
    }
}

async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let number = shared.traffic.borrow_mut().connection_opened();
        let mut closed = shared.close_count.subscribe();
        let shared = shared.clone();
        spawn_local(async move {
            tokio::select! {
                // First: a connection that was closed is sent nothing that came after.
                biased;
                _ = closed.changed() => {}
                _ = serve(&shared, stream, number) => {}
            }
            shared.traffic.borrow_mut().open_connections -= 1;
        });
    }
}

/// Serves one connection; returns once it has ended.
async fn serve(shared: &Shared, mut stream: TcpStream, number: u64) -> Option<()> {
    let mut buffer = BytesMut::with_capacity(512);
    let mut acknowledged = 0;
    loop {
        let received = read_request(&mut stream, &mut buffer).await?;
        shared.traffic.borrow_mut().count(|traffic| {
            traffic.requests += 1;
            traffic.bytes_in += received.length as u64;
        });
        if let DiscoveryRequest::Watch { version, wait } = received.request {
            if version > acknowledged {
                acknowledged = version;
                shared.traffic.borrow_mut().acknowledge(number, version);
            }
            let _waiting = WaitingWatch::begin(shared);
            wait_for_change(shared, &mut stream, &mut buffer, version, wait).await?;
        }
        delay_response(shared, number).await?;
        respond(shared, &mut stream, received.request).await.ok()?;
    }
}

/// Waits as long as the mode demands: until the stand-in is not silent any more, or for a slow connection's delay.
async fn delay_response(shared: &Shared, number: u64) -> Option<()> {
    let mut mode = shared.mode.subscribe();
    let mode = *mode.wait_for(|mode| *mode != Mode::Silent).await.ok()?;
    if let Mode::Slow { one_in, delay } = mode
        && number.is_multiple_of(one_in.max(1))
    {
        tokio::time::sleep(delay).await;
    }
    Some(())
}

/// Waits for another version than `held`, or until the wait is over; none once the peer has closed.
async fn wait_for_change(
    shared: &Shared,
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    held: u64,
    wait: Duration,
) -> Option<()> {
    let mut version = shared.version.subscribe();
    let wait_over = tokio::time::sleep(wait);
    tokio::pin!(wait_over);
    loop {
        tokio::select! {
            _ = version.wait_for(|version| *version != held) => return Some(()),
            () = &mut wait_over => return Some(()),
            read = stream.read_buf(buffer) => if read.ok()? == 0 || buffer.len() > MAX_HEAD {
                return None;
            },
        }
    }
}

async fn respond(shared: &Shared, stream: &mut TcpStream, request: DiscoveryRequest) -> io::Result<()> {
    let status = match request {
        DiscoveryRequest::Snapshot | DiscoveryRequest::Watch { .. } => "200 OK",
        DiscoveryRequest::Unknown => "404 Not Found",
    };
    let ListResponse { kind, body } = match request {
        DiscoveryRequest::Snapshot => shared.list.borrow_mut().snapshot(),
        DiscoveryRequest::Watch { version, .. } => shared.list.borrow_mut().since(version),
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
    write(stream, head.as_bytes(), &body).await
}

/// Writes head and body, at once if the socket takes both.
async fn write(stream: &mut TcpStream, head: &[u8], body: &[u8]) -> io::Result<()> {
    let written = stream.write_vectored(&[IoSlice::new(head), IoSlice::new(body)]).await?;
    stream.write_all(head.get(written..).unwrap_or_default()).await?;
    stream.write_all(body.get(written.saturating_sub(head.len())..).unwrap_or_default()).await
}

/// Counts a watch as waiting until it is dropped.
struct WaitingWatch<'a> {
    shared: &'a Shared,
}

impl WaitingWatch<'_> {
    fn begin(shared: &Shared) -> WaitingWatch<'_> {
        shared.traffic.borrow_mut().waiting_watches += 1;
        WaitingWatch { shared }
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.shared.traffic.borrow_mut().waiting_watches -= 1;
    }
}
