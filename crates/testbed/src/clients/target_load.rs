//! The requests to one target, shared by the sender thread and by the reader threads, one for each connection.

use std::collections::VecDeque;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Instant;

use super::http::{ClientConnection, ReceivedResponse, read_response, request_text};
use super::{ClientError, Outcome, Target};

/// Stack size of a reader thread.
const READER_STACK_BYTES: usize = 128 * 1024;
/// Initial size of a reader's buffer.
const READ_BUFFER_BYTES: usize = 1024;

/// The requests to one target.
pub(super) struct TargetLoad {
    /// The beginning of the request ids.
    name: String,
    state: Mutex<LoadState>,
}

/// A started load and the threads that read its responses.
pub(super) struct StartedLoad {
    /// The load, shared with the readers.
    pub(super) load: Arc<TargetLoad>,
    /// The reader threads, which end after [`TargetLoad::close`].
    pub(super) readers: Vec<JoinHandle<()>>,
}

struct LoadState {
    /// Indices of connections without a request, longest idle first.
    idle: VecDeque<usize>,
    /// Intended times of requests that wait for a connection.
    waiting: VecDeque<Instant>,
    connections: Vec<ConnectionSlot>,
    requests_sent: u64,
    /// Whether the run is over, after which readers end.
    is_over: bool,
    outcome: Outcome,
}

/// A connection, and the request in flight on it.
struct ConnectionSlot {
    writer: TcpStream,
    /// The intended time of the request; `None` while the connection is idle.
    intended: Option<Instant>,
}

impl LoadState {
    fn new(connections: Vec<ConnectionSlot>) -> Result<LoadState, ClientError> {
        Ok(LoadState {
            idle: (0..connections.len()).collect(),
            waiting: VecDeque::new(),
            connections,
            requests_sent: 0,
            is_over: false,
            outcome: Outcome::new()?,
        })
    }

    fn send(&mut self, connection: usize, intended: Instant, name: &str) {
        self.requests_sent += 1;
        let request = request_text(name, self.requests_sent);
        let slot = &mut self.connections[connection];
        slot.intended = Some(intended);
        // The reader notices a failed connection and records its request as lost.
        let _ = slot.writer.write_all(request.as_bytes());
    }

    /// Sends the next waiting request on a connection without a request, or marks the connection idle.
    fn use_free_connection(&mut self, connection: usize, name: &str) {
        match self.waiting.pop_front() {
            Some(intended) => self.send(connection, intended, name),
            None => self.idle.push_back(connection),
        }
    }

    /// Records the response to the request on a connection; `None` if the request was lost. Returns whether the
    /// connection can carry another request.
    fn record(&mut self, connection: usize, response: Option<ReceivedResponse>, now: Instant) -> bool {
        let Some(intended) = self.connections[connection].intended.take() else { return false };
        let Some(response) = response else {
            self.outcome.lost += 1;
            return false;
        };
        self.outcome.record_response(response, intended, now);
        !response.closes_connection
    }

    /// Replaces a connection that ended. The new connection is neither idle nor has a request until its reader passes
    /// it to [`use_free_connection`](Self::use_free_connection).
    fn replace_connection(&mut self, connection: usize, writer: TcpStream) {
        self.connections[connection].writer = writer;
    }

    fn has_open_requests(&self) -> bool {
        !self.waiting.is_empty() || self.connections.iter().any(|slot| slot.intended.is_some())
    }
}

impl TargetLoad {
    /// Connects to a target and starts a reader for each connection. The request ids begin with `name`.
    ///
    /// # Errors
    ///
    /// A [`ClientError`] if a connection or thread cannot be created.
    pub(super) fn start(name: String, target: &Target) -> Result<StartedLoad, ClientError> {
        let connect =
            |index: usize| ClientConnection::connect(target.addresses[index % target.addresses.len()]);
        let connections = (0..target.connections).map(connect).collect::<Result<Vec<_>, _>>()?;
        let mut streams = Vec::new();
        let mut slots = Vec::new();
        for ClientConnection { reader, writer } in connections {
            streams.push(reader);
            slots.push(ConnectionSlot { writer, intended: None });
        }
        let load = Arc::new(TargetLoad { name, state: Mutex::new(LoadState::new(slots)?) });
        let start_reader = |(connection, stream)| {
            let load = load.clone();
            let reader = std::thread::Builder::new().stack_size(READER_STACK_BYTES);
            reader.spawn(move || load.read_responses(connection, stream)).map_err(ClientError::Thread)
        };
        let readers = streams.into_iter().enumerate().map(start_reader).collect::<Result<_, _>>()?;
        Ok(StartedLoad { load, readers })
    }

    /// Sends a request whose intended time was reached, or queues it for the next connection that becomes free.
    pub(super) fn send_or_queue(&self, intended: Instant) {
        let mut state = self.lock();
        state.outcome.requests += 1;
        match state.idle.pop_front() {
            Some(connection) => state.send(connection, intended, &self.name),
            None => state.waiting.push_back(intended),
        }
    }

    /// Returns whether requests wait for a connection or a response.
    pub(super) fn has_open_requests(&self) -> bool {
        self.lock().has_open_requests()
    }

    /// Ends the run: counts waiting requests as lost, and shuts the connections down, which ends their readers.
    pub(super) fn close(&self) {
        let mut state = self.lock();
        state.is_over = true;
        state.outcome.lost += state.waiting.len() as u64;
        for slot in &state.connections {
            let _ = slot.writer.shutdown(Shutdown::Both);
        }
    }

    /// Returns the outcome of the requests so far.
    pub(super) fn outcome(&self) -> Outcome {
        self.lock().outcome.clone()
    }

    fn lock(&self) -> MutexGuard<'_, LoadState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the responses of one connection until the run is over. Opens a new connection if the current one ends.
    fn read_responses(&self, connection: usize, mut stream: TcpStream) {
        let mut buffer = Vec::with_capacity(READ_BUFFER_BYTES);
        loop {
            let response = read_response(&mut stream, &mut buffer);
            let now = Instant::now();
            let mut state = self.lock();
            let is_reusable = state.record(connection, response, now);
            if state.is_over {
                return;
            }
            if !is_reusable {
                state.outcome.reconnects += 1;
                state.idle.retain(|idle| *idle != connection);
                // If the target cannot be connected to again, later requests use its other connections.
                let Ok(peer) = stream.peer_addr() else { return };
                let Ok(reconnected) = ClientConnection::connect(peer) else { return };
                stream = reconnected.reader;
                state.replace_connection(connection, reconnected.writer);
                buffer.clear();
            }
            state.use_free_connection(connection, &self.name);
        }
    }
}
