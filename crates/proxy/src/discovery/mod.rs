//! The client of discovery: it fetches the endpoint list, watches it for changes and reads its format. What it learns
//! goes to a callback; the dispatcher applies it.

mod client;
pub mod endpoint;
mod error;
mod list;
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
use zincstand_policy::ListKind;

use crate::discovery::client::ListQuery;
use crate::discovery::endpoint::Endpoint;
use crate::discovery::poll_timing::PollTiming;
use crate::discovery::watch::Watch;

use crate::log::log_line;
pub use list::EndpointList;

/// How often the first call to a new address is retried before a failure is reported to the policy.
const RETRIES_AT_NEW_ADDRESS: u32 = 4;

/// The client of discovery.
pub struct Discovery {
    address: Cell<SocketAddr>,
    /// How often the address has changed: a response from an earlier address is ignored.
    address_changes: Cell<u64>,
    /// The version of the list held; none if the complete list has to be fetched first.
    generation: Cell<Option<u64>>,
    /// Whether a watch that failed is restarted here; else the policy decides when.
    restarts_by_itself: bool,
    timing: PollTiming,
    watch_task: RefCell<Option<AbortHandle>>,
    /// Whether the watch has failed and its next call waits for the policy.
    awaits_policy: Cell<bool>,
    /// Wakes a watch that waits for the policy.
    watch_requested: Notify,
}

impl Discovery {
    /// A client that has made no call yet. `generation` is the version of the cached list, if there is one.
    /// `restarts_by_itself` is for a policy that expects changes without polling for them. A drain has to be heeded
    /// within `drain_grace` of its announcement.
    pub fn new(
        address: SocketAddr,
        generation: Option<u64>,
        restarts_by_itself: bool,
        drain_grace: Duration,
    ) -> Rc<Discovery> {
        Rc::new(Discovery {
            address: Cell::new(address),
            address_changes: Cell::new(0),
            generation: Cell::new(generation),
            restarts_by_itself,
            timing: PollTiming::within(drain_grace),
            watch_task: RefCell::default(),
            awaits_policy: Cell::new(false),
            watch_requested: Notify::new(),
        })
    }

    /// Leaves the present address with its watch and connection, fetches the complete list from the new one at once,
    /// and then watches there. The version held is dropped: versions of one discovery mean nothing to another.
    pub fn change_address(
        self: &Rc<Self>,
        address: SocketAddr,
        on_list: impl Fn(ListKind, Vec<Endpoint>) + 'static,
    ) {
        if self.address.replace(address) == address {
            return;
        }
        self.address_changes.set(self.address_changes.get() + 1);
        self.generation.set(None);
        self.start_watch(RETRIES_AT_NEW_ADDRESS, on_list);
    }

    /// Watches from now on and passes each list to `on_list`. After a reported failure the next call waits for this,
    /// unless the watch restarts by itself. A watch under way continues, with the callback that it has.
    pub fn watch(self: &Rc<Self>, on_list: impl Fn(ListKind, Vec<Endpoint>) + 'static) {
        if self.awaits_policy.replace(false) {
            self.watch_requested.notify_one();
        } else if self.watch_task.borrow().is_none() {
            self.start_watch(0, on_list);
        }
    }

    /// Starts a watch in place of the present one.
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

    /// Fetches the complete list once and passes it to `on_list`.
    pub fn fetch(self: &Rc<Self>, on_list: impl Fn(ListKind, Vec<Endpoint>) + 'static) {
        spawn_local(self.clone().fetch_once(on_list));
    }

    async fn fetch_once(self: Rc<Self>, on_list: impl Fn(ListKind, Vec<Endpoint>)) {
        let generation_before = self.generation.get();
        let address_changes = self.address_changes.get();
        let address = self.address.get();
        let result = client::call(address, None, ListQuery::Snapshot).await;
        if self.address_changes.get() != address_changes {
            return;
        }
        match result {
            Ok(response) => {
                let list = response.list;
                let generation = self.generation.get();
                let watch_was_faster = generation != generation_before
                    && generation.is_some_and(|known| list.generation < known);
                if !watch_was_faster {
                    self.generation.set(Some(list.generation));
                    on_list(ListKind::Snapshot, list.into_endpoints());
                }
            }
            Err(error) => {
                log_line!("discovery {address}: the complete list cannot be fetched: {error}");
                on_list(ListKind::Failed, Vec::new());
            }
        }
    }
}

#[cfg(test)]
mod tests;
