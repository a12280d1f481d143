//! The state that all client connections share.

use std::rc::Rc;

use zincstand_policy as policy;

use crate::dispatch::Dispatcher;
use crate::dispatch::Transport;
use crate::downstream::connection_permits::ConnectionPermits;
use crate::downstream::connection_registry::ConnectionRegistry;
use crate::downstream::evictable_connections::EvictableConnections;
use crate::downstream::request_validation::RequestValidator;
use crate::downstream::shutdown::ShutdownBudget;
use crate::lifecycle::Lifecycle;
use crate::memory::MemoryBudget;
use crate::request_ids::RequestIds;
use crate::upstream::{UpstreamRequest, UpstreamResponse};

/// A transport that carries the requests and responses of this proxy's upstreams.
pub trait UpstreamTransport: Transport<Request = UpstreamRequest, Response = UpstreamResponse> {}

impl<T: Transport<Request = UpstreamRequest, Response = UpstreamResponse>> UpstreamTransport for T {}

/// The resources that the server uses together with other parts of the process.
pub struct ServerResources {
    /// Maximum number of client connections.
    pub connections: usize,
    /// The memory of the process.
    pub memory: Rc<MemoryBudget>,
    /// The ids of the requests that are open or must not run again.
    pub request_ids: Rc<RequestIds>,
}

/// Serves the clients' connections.
pub struct Server<T: UpstreamTransport> {
    /// Takes the requests and returns their final responses.
    pub(super) dispatcher: Rc<Dispatcher<T>>,
    /// The lifecycle of the process, whose phase decides whether connections are accepted and kept open.
    pub(super) lifecycle: Rc<Lifecycle>,
    /// Checks the clients' requests.
    pub(super) validator: RequestValidator,
    /// The permits of the open client connections.
    pub(super) permits: ConnectionPermits,
    /// The client connections that may be closed to free permits.
    pub(super) evictable_connections: Rc<EvictableConnections>,
    /// The client connections whose memory may be freed.
    pub(super) connections: Rc<ConnectionRegistry>,
    /// The memory of the process.
    pub(super) memory: Rc<MemoryBudget>,
    /// The ids of the requests that are open or must not run again.
    pub(super) request_ids: Rc<RequestIds>,
    /// How the time for a graceful shutdown is divided.
    pub(super) shutdown: ShutdownBudget,
}

impl<T: UpstreamTransport> Server<T> {
    /// Creates a server for these request classes and tenants. The position of a name is the policy's id for it.
    pub fn new(
        dispatcher: Rc<Dispatcher<T>>,
        classes: Vec<(String, policy::Class)>,
        tenants: Vec<String>,
        resources: ServerResources,
        lifecycle: Rc<Lifecycle>,
    ) -> Rc<Self> {
        let ServerResources { connections, memory, request_ids } = resources;
        let longest_deadline = classes.iter().map(|(_, class)| class.deadline).max().unwrap_or(0);
        let shutdown = ShutdownBudget::new(longest_deadline);
        let evictable_connections = Rc::<EvictableConnections>::default();
        Rc::new(Server {
            dispatcher,
            lifecycle,
            validator: RequestValidator::new(classes, tenants),
            permits: ConnectionPermits::new(connections, evictable_connections.clone()),
            evictable_connections,
            connections: Rc::default(),
            memory,
            request_ids,
            shutdown,
        })
    }

    /// Changes the maximum number of connections. Idle connections in excess are closed now.
    pub fn resize(&self, connections: usize) {
        self.permits.resize(connections);
    }
}
