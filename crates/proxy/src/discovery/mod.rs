//! The client of discovery. It fetches the endpoint list, watches it for changes, parses it and passes it to a callback of
//! the dispatcher.

mod buffer_budget;
mod call_schedule;
mod calls;
mod client;
pub mod endpoint;
mod error;
mod list;
mod list_version;
mod name_ids;
mod poll_timing;
pub mod registry;
mod watch;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;
use zincstand_policy::ListKind;

use crate::discovery::buffer_budget::BufferBudget;
use crate::discovery::calls::CallResult;
use crate::discovery::client::ListQuery;
use crate::discovery::endpoint::Endpoint;
use crate::discovery::error::DiscoveryError;
use crate::discovery::list_version::{ListVersion, Verdict};
use crate::discovery::poll_timing::PollTiming;
use crate::discovery::watch::Watch;
use crate::log::log_line;

pub use list::EndpointList;

/// Maximum number of retries of the first call to a new address before a failure is reported to the policy.
const MAX_RETRIES_AT_NEW_ADDRESS: u32 = 4;
/// Maximum number of simultaneous fetches of the complete list, so that a fetch that hangs does not prevent the next one.
const MAX_FETCHES: u32 = 2;
/// Time limit of a fetch of the complete list: the longest wait that discovery knows.
const FETCH_TIMEOUT: Duration = Duration::from_mins(1);

/// The client of discovery.
pub struct Discovery {
    address: Cell<SocketAddr>,
    /// The version of the list that was passed to the dispatcher last. Each borrow ends within one statement.
    version: RefCell<ListVersion>,
    /// The memory for the response bodies of all calls.
    buffers: Rc<BufferBudget>,
    /// Number of fetches of the complete list in flight.
    fetches: Cell<u32>,
    /// Whether the client restarts a failed watch by itself. Otherwise the policy decides when the watch restarts.
    restarts_by_itself: bool,
    timing: PollTiming,
    /// The task of the current watch, or `None` before the first watch. Each borrow ends within one statement.
    watch_task: RefCell<Option<AbortHandle>>,
    /// Whether the watch has failed and its next call waits for the policy.
    awaits_policy: Cell<bool>,
    /// Wakes a watch that waits for the policy.
    watch_requested: Notify,
}

impl Discovery {
    /// Returns a client that has made no call yet. `generation` is the version of the cached list, or `None` if there is no
    /// cached list. `restarts_by_itself` is for a policy that expects changes without polling for them. Calls are timed so
    /// that a drain is known within `drain_grace` of its announcement.
    pub fn new(
        address: SocketAddr,
        generation: Option<u64>,
        restarts_by_itself: bool,
        drain_grace: Duration,
    ) -> Rc<Discovery> {
        Rc::new(Discovery {
            address: Cell::new(address),
            version: RefCell::new(ListVersion::new(generation)),
            buffers: BufferBudget::new(),
            fetches: Cell::new(0),
            restarts_by_itself,
            timing: PollTiming::within(drain_grace),
            watch_task: RefCell::default(),
            awaits_policy: Cell::new(false),
            watch_requested: Notify::new(),
        })
    }

    /// Changes the address of discovery: ends the current watch and its connection, fetches the complete list from the new
    /// address at once and then watches it. The known version is dropped, because versions of different discovery services
    /// cannot be compared.
    pub fn change_address(
        self: &Rc<Self>,
        address: SocketAddr,
        on_list: impl Fn(ListKind, Vec<Endpoint>) + 'static,
    ) {
        if self.address.replace(address) == address {
            return;
        }
        self.version.borrow_mut().forget();
        self.start_watch(MAX_RETRIES_AT_NEW_ADDRESS, on_list);
    }

    /// Starts the watch, which passes each list to `on_list`. After a reported failure, this method lets the watch make its
    /// next call, unless the watch restarts by itself. A watch in progress continues with its current callback.
    pub fn watch(self: &Rc<Self>, on_list: impl Fn(ListKind, Vec<Endpoint>) + 'static) {
        if self.awaits_policy.replace(false) {
            self.watch_requested.notify_one();
        } else if self.watch_task.borrow().is_none() {
            self.start_watch(0, on_list);
        }
    }

    /// Starts a watch and ends the current one.
    fn start_watch(
        self: &Rc<Self>,
        unreported_retries: u32,
        on_list: impl Fn(ListKind, Vec<Endpoint>) + 'static,
    ) {
        self.awaits_policy.set(false);
        let watch = Watch::new(self.clone(), unreported_retries, on_list);
        let task = spawn_local(watch.run());
        if let Some(previous) = self.watch_task.replace(Some(task.abort_handle())) {
            previous.abort();
        }
    }

    /// Fetches the complete list once and passes it to `on_list`. If the address changes meanwhile, the response is ignored.
    /// Does nothing if enough fetches are in flight: they will return that list.
    pub fn fetch(self: &Rc<Self>, on_list: impl Fn(ListKind, Vec<Endpoint>) + 'static) {
        if self.fetches.get() < MAX_FETCHES {
            self.fetches.set(self.fetches.get() + 1);
            spawn_local(self.clone().fetch_once(on_list));
        }
    }

    async fn fetch_once(self: Rc<Self>, on_list: impl Fn(ListKind, Vec<Endpoint>)) {
        let address = self.address.get();
        let origin = self.version.borrow().fetch_origin();
        let result = self.call_for_complete_list(address).await;
        self.fetches.set(self.fetches.get() - 1);
        if self.address.get() != address {
            return;
        }
        match result {
            Ok(response) => {
                let list = response.list;
                let verdict = self.version.borrow_mut().judge(origin, list.generation, list.reset);
                if let Verdict::Use(kind) = verdict {
                    on_list(kind, list.into_endpoints());
                }
            }
            Err(error) => {
                log_line!("discovery: complete list not fetched (address {address}): {error}");
                on_list(ListKind::Failed, Vec::new());
            }
        }
    }

    async fn call_for_complete_list(&self, address: SocketAddr) -> CallResult {
        let call = client::call(address, None, ListQuery::Snapshot, self.buffers.clone());
        let result = timeout(FETCH_TIMEOUT, call).await;
        result.unwrap_or(Err(DiscoveryError::Timeout(FETCH_TIMEOUT)))
    }
}

#[cfg(test)]
mod tests;
