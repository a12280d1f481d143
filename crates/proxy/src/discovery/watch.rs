//! The watch on discovery: consecutive calls, each started when the one before it is answered, has failed or is late.

use std::rc::Rc;

use tokio::select;
use tokio::time::{Instant, sleep_until};
use zincstand_policy::ListKind;

use crate::discovery::Discovery;
use crate::discovery::call_schedule::{CallSchedule, NextStep};
use crate::discovery::calls::{Call, CallEnd, Calls, FinishedCall, NewCall};
use crate::discovery::client::{self, DiscoveryConnection, ListQuery, ListResponse};
use crate::discovery::endpoint::Endpoint;
use crate::discovery::error::DiscoveryError;
use crate::discovery::list_version::Verdict;
use crate::log::{limited_log_line, log_line};

/// A watch on discovery.
pub(super) struct Watch<F> {
    discovery: Rc<Discovery>,
    on_list: F,
    /// The connection that the next call reuses, or `None` if the next call opens one.
    connection: Option<DiscoveryConnection>,
    calls: Calls,
    schedule: CallSchedule,
    next_step: NextStep,
}

impl<F: Fn(ListKind, Vec<Endpoint>)> Watch<F> {
    /// Returns a watch that retries its first call up to `unreported_retries` times before it reports a failure.
    pub(super) fn new(discovery: Rc<Discovery>, unreported_retries: u32, on_list: F) -> Watch<F> {
        let schedule = CallSchedule::new(discovery.timing, discovery.restarts_by_itself, unreported_retries);
        Watch {
            discovery,
            on_list,
            connection: None,
            calls: Calls::new(),
            schedule,
            next_step: NextStep::StartAt(Instant::now()),
        }
    }

    /// Makes one call after another. Never returns. A call without a response, or with a response that does not end, must
    /// not delay the watch, but the list of a slow call must not be lost either. Therefore a late call continues in parallel
    /// with the next calls, and each list that is newer than the one in use is used.
    pub(super) async fn run(mut self) {
        loop {
            select! {
                finished = self.calls.next_finished() => self.on_finished(finished),
                () = wait_for(&self.discovery, self.next_step) => self.on_due(),
            }
        }
    }

    fn on_due(&mut self) {
        match self.next_step {
            NextStep::StartAt(_) | NextStep::OnPolicyRequest => self.start_call(),
            NextStep::ReportLateAt(_) => self.report_failure(),
        }
    }

    fn start_call(&mut self) {
        let now = Instant::now();
        let address = self.discovery.address.get();
        let in_flight = self.calls.len();
        if in_flight > 0 {
            limited_log_line!(
                "discovery: no response yet, another call starts (address {address}, calls in flight {in_flight})"
            );
            self.schedule.count_retry();
        }
        let origin = self.discovery.version.borrow().watch_origin();
        let wait = self.schedule.watch_wait();
        let query = match origin.since {
            None => ListQuery::Snapshot,
            Some(since) => ListQuery::Changes { since, wait },
        };
        let is_watch = origin.since.is_some();
        let late_after = self.schedule.late_after(is_watch);
        let call = client::call(address, self.connection.take(), query, self.discovery.buffers.clone());
        self.calls.start(now, NewCall { address, late_after, wait, origin }, call);
        self.next_step = self.schedule.start(now, is_watch, self.calls.is_full());
    }

    fn on_finished(&mut self, finished: FinishedCall) {
        let call = finished.call;
        match finished.result {
            Ok(response) => self.on_response(&call, response),
            Err(error) => self.on_failure(&call, &error),
        }
    }

    fn on_response(&mut self, call: &Call, response: ListResponse) {
        let now = Instant::now();
        self.connection = Some(response.connection);
        // Calls that started earlier hang, or will be answered with an older list.
        let has_overtaken = self.calls.cancel_overtaken(call.started, now);
        let answered = call.answered_at(now, has_overtaken);
        self.next_step = self.schedule.answer(now, answered, self.calls.len());
        self.discovery.awaits_policy.set(false);

        let list = response.list;
        let verdict = self.discovery.version.borrow_mut().judge(call.origin, list.generation, list.reset);
        match verdict {
            Verdict::Use(kind) => {
                call.log_end(now, &CallEnd::Used);
                self.schedule.list_used();
                (self.on_list)(kind, list.into_endpoints());
            }
            Verdict::Outdated => call.log_end(now, &CallEnd::Outdated),
            Verdict::VersionWentBack { known } => {
                let address = self.discovery.address.get();
                let version = list.generation;
                log_line!(
                    "discovery: changes lead to an older version, fetching the complete list \
                     (address {address}, version {version}, known version {known})",
                );
                self.next_step = NextStep::StartAt(now);
            }
        }
    }

    fn on_failure(&mut self, call: &Call, error: &DiscoveryError) {
        let now = Instant::now();
        let address = self.discovery.address.get();
        call.log_end(now, &CallEnd::Failed(error));
        log_line!("discovery: no endpoint list received (address {address}): {error}");
        if self.calls.any_started_after(call.started) || self.discovery.awaits_policy.get() {
            return;
        }
        match self.schedule.fail(now, self.calls.len()) {
            Some(step) => self.next_step = step,
            None => self.report_failure(),
        }
    }

    /// Reports a failure to the policy, which requests the next call.
    fn report_failure(&mut self) {
        self.next_step = NextStep::OnPolicyRequest;
        self.discovery.awaits_policy.set(true);
        (self.on_list)(ListKind::Failed, Vec::new());
    }
}

/// Waits until the step is due.
async fn wait_for(discovery: &Discovery, step: NextStep) {
    match step {
        NextStep::StartAt(time) | NextStep::ReportLateAt(time) => sleep_until(time).await,
        NextStep::OnPolicyRequest => {
            // A request that came just before the response of a late call leaves a notification behind.
            while discovery.awaits_policy.get() {
                discovery.watch_requested.notified().await;
            }
        }
    }
}
