//! The watch on discovery: consecutive calls, with a backoff after failed calls.

use std::future::pending;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::select;
use tokio::time::{sleep, timeout};
use zincstand_policy::ListKind;

use crate::discovery::Discovery;
use crate::discovery::client::{self, DiscoveryConnection, ListQuery, ListResponse};
use crate::discovery::endpoint::Endpoint;
use crate::discovery::error::DiscoveryError;
use crate::log::log_line;

/// A call in progress.
type ListCall = Pin<Box<dyn Future<Output = Result<ListResponse, DiscoveryError>>>>;

/// When the next call starts.
#[derive(Clone, Copy, Debug)]
enum NextCall {
    /// At once.
    Immediately,
    /// After a backoff.
    After(Duration),
    /// When the policy requests the watch again.
    OnPolicyRequest,
}

/// A call that failed, or returned no list in time.
struct CallFailure {
    error: DiscoveryError,
    /// The late call, which may still return a list, or `None` if the call has failed.
    unfinished: Option<ListCall>,
}

/// A watch on discovery.
pub(super) struct Watch<F> {
    discovery: Rc<Discovery>,
    on_list: F,
    /// The connection that the next call reuses, or `None` if the next call opens one.
    connection: Option<DiscoveryConnection>,
    /// A late call that continues in parallel with the next calls, or `None` if there is none.
    late_call: Option<ListCall>,
    next_call: NextCall,
    /// The backoff after the next failure.
    backoff: Duration,
    /// Number of failures that are retried before the next one is reported to the policy.
    unreported_retries: u32,
}

impl<F: Fn(ListKind, Vec<Endpoint>)> Watch<F> {
    /// Returns a watch that retries its first call up to `unreported_retries` times before it reports a failure.
    pub(super) fn new(discovery: Rc<Discovery>, unreported_retries: u32, on_list: F) -> Watch<F> {
        let backoff = discovery.timing.first_backoff;
        Watch {
            discovery,
            on_list,
            connection: None,
            late_call: None,
            next_call: NextCall::Immediately,
            backoff,
            unreported_retries,
        }
    }

    /// Makes one call after another. Never returns. A call without a response, or with a response that does not end, must
    /// not delay the watch, but the list of a slow call must not be lost either. Therefore a late call continues in parallel
    /// with the next call, and the first complete response of the two is used.
    pub(super) async fn run(mut self) {
        loop {
            match self.next_result().await {
                Ok(response) => self.on_response(response),
                Err(failure) => self.on_failure(failure),
            }
        }
    }

    async fn next_result(&mut self) -> Result<ListResponse, CallFailure> {
        let next_call = call_when_due(&self.discovery, &mut self.connection, self.next_call);
        select! {
            response = late_response(&mut self.late_call) => Ok(response),
            result = next_call => result,
        }
    }

    fn on_response(&mut self, response: ListResponse) {
        self.connection = Some(response.connection);
        self.late_call = None;
        self.next_call = NextCall::Immediately;
        self.discovery.awaits_policy.set(false);

        let list = response.list;
        let known_generation = self.discovery.generation.get();
        if let Some(known) = known_generation
            && !list.reset
            && list.generation < known
        {
            // Changes that lead to an older version cannot be applied to the known list.
            let address = self.discovery.address.get();
            let version = list.generation;
            log_line!(
                "discovery: changes lead to an older version, fetching the complete list \
                 (address {address}, version {version}, known version {known})",
            );
            self.discovery.generation.set(None);
            return;
        }
        let is_complete = list.reset || known_generation.is_none();
        self.discovery.generation.set(Some(list.generation));
        self.unreported_retries = 0;
        self.backoff = self.discovery.timing.first_backoff;
        let kind = if is_complete { ListKind::Snapshot } else { ListKind::Delta };
        (self.on_list)(kind, list.into_endpoints());
    }

    fn on_failure(&mut self, failure: CallFailure) {
        let address = self.discovery.address.get();
        let error = &failure.error;
        log_line!("discovery: no endpoint list received (address {address}): {error}");
        // If two calls are late, only the earlier one continues, because it ends sooner.
        self.late_call = self.late_call.take().or(failure.unfinished);
        if self.unreported_retries > 0 || self.discovery.restarts_by_itself {
            self.unreported_retries = self.unreported_retries.saturating_sub(1);
            self.next_call = NextCall::After(self.backoff);
            self.backoff = self.discovery.timing.next_backoff(self.backoff);
        } else {
            self.next_call = NextCall::OnPolicyRequest;
            self.discovery.awaits_policy.set(true);
            (self.on_list)(ListKind::Failed, Vec::new());
        }
    }
}

/// Makes the next call when it is due. The pooled connection is taken only then, so a cancelled wait does not lose it.
async fn call_when_due(
    discovery: &Discovery,
    connection: &mut Option<DiscoveryConnection>,
    next_call: NextCall,
) -> Result<ListResponse, CallFailure> {
    match next_call {
        NextCall::Immediately => {}
        NextCall::After(backoff) => sleep(backoff).await,
        NextCall::OnPolicyRequest => discovery.watch_requested.notified().await,
    }
    let timing = &discovery.timing;
    let (query, time_limit) = match discovery.generation.get() {
        None => (ListQuery::Snapshot, timing.response_timeout),
        Some(since) => (
            ListQuery::Changes { since, wait: timing.watch_wait },
            timing.watch_wait + timing.response_timeout,
        ),
    };
    let mut call: ListCall = Box::pin(client::call(discovery.address.get(), connection.take(), query));
    match timeout(time_limit, &mut call).await {
        Ok(result) => result.map_err(|error| CallFailure { error, unfinished: None }),
        Err(_) => Err(CallFailure { error: DiscoveryError::Timeout(time_limit), unfinished: Some(call) }),
    }
}

/// Returns the response to a late call. If the call fails or there is none, the future never resolves.
async fn late_response(late_call: &mut Option<ListCall>) -> ListResponse {
    if let Some(call) = late_call {
        if let Ok(response) = call.await {
            return response;
        }
        *late_call = None;
    }
    pending().await
}
