//! The calls to discovery that are in flight.

use std::fmt::{self, Display};
use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

use crate::discovery::call_schedule::AnsweredCall;
use crate::discovery::client::ListResponse;
use crate::discovery::error::DiscoveryError;
use crate::discovery::list_version::CallOrigin;
use crate::log::limited_log_line;

/// Maximum number of calls in flight.
pub(super) const MAX_CALLS: usize = 6;
/// Age at which the oldest call may be replaced for the first time: the longest wait that discovery knows.
const FIRST_MAX_AGE: Duration = Duration::from_mins(1);

/// The result of a call.
pub(super) type CallResult = Result<ListResponse, DiscoveryError>;

/// A call that has ended.
pub(super) struct FinishedCall {
    /// The call, which is no longer in flight.
    pub(super) call: Call,
    /// The result of the call.
    pub(super) result: CallResult,
}

/// A call in flight.
#[derive(Debug)]
pub(super) struct Call {
    /// The task that makes the call.
    task: AbortHandle,
    address: SocketAddr,
    /// When the call started.
    pub(super) started: Instant,
    /// Age from which the call is late.
    pub(super) late_after: Duration,
    /// How long discovery may delay the response.
    pub(super) wait: Duration,
    /// Whether no other call was in flight when it started.
    pub(super) started_alone: bool,
    /// The state of the list in use when it started.
    pub(super) origin: CallOrigin,
}

impl Call {
    /// Returns the call as one that is answered at `now`. `has_overtaken` tells that an earlier call has no answer yet.
    pub(super) fn answered_at(&self, now: Instant, has_overtaken: bool) -> AnsweredCall {
        let age = now - self.started;
        AnsweredCall { age, wait: self.wait, started_alone: self.started_alone, has_overtaken }
    }

    /// Logs how a late call ended. A call that was not late is not logged.
    pub(super) fn log_end(&self, now: Instant, end: &CallEnd<'_>) {
        let age = now - self.started;
        if age > self.late_after {
            let address = self.address;
            limited_log_line!("discovery: late call ended after {age:.3?}: {end} (address {address})");
        }
    }
}

/// How a late call ended.
pub(super) enum CallEnd<'a> {
    /// It was answered, and its list is in use.
    Used,
    /// It was answered with a list that is older than the one in use.
    Outdated,
    /// It failed.
    Failed(&'a DiscoveryError),
    /// A call that started later has been answered.
    Overtaken,
    /// Too many calls are in flight, and a later one takes its place.
    Replaced,
    /// The address of discovery has changed, or the process ends.
    WatchEnded,
}

impl Display for CallEnd<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallEnd::Used => formatter.write_str("answered, its list is used"),
            CallEnd::Outdated => formatter.write_str("answered, a newer list is in use"),
            CallEnd::Failed(error) => write!(formatter, "failed, {error}"),
            CallEnd::Overtaken => formatter.write_str("cancelled, a later call was answered"),
            CallEnd::Replaced => formatter.write_str("cancelled, a later call takes its place"),
            CallEnd::WatchEnded => formatter.write_str("cancelled, the watch on this address ended"),
        }
    }
}

/// The calls in flight, oldest first. Dropping them cancels all.
pub(super) struct Calls {
    in_flight: Vec<Call>,
    tasks: JoinSet<CallResult>,
    /// Age from which the oldest call may be replaced. It doubles with each one that is replaced, so that a response of any
    /// age is received at last.
    max_age_of_oldest: Duration,
}

/// The properties of a call at its start.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewCall {
    /// The address of discovery.
    pub(super) address: SocketAddr,
    /// Age from which the call is late.
    pub(super) late_after: Duration,
    /// How long discovery may delay the response.
    pub(super) wait: Duration,
    /// The state of the list in use.
    pub(super) origin: CallOrigin,
}

impl Calls {
    /// Returns an empty set of calls.
    pub(super) fn new() -> Calls {
        Calls { in_flight: Vec::new(), tasks: JoinSet::new(), max_age_of_oldest: FIRST_MAX_AGE }
    }

    /// Returns the number of calls in flight.
    pub(super) fn len(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns whether another call has to be cancelled for the next one.
    pub(super) fn is_full(&self) -> bool {
        self.in_flight.len() >= MAX_CALLS
    }

    /// Starts a call. If too many are in flight, another one is cancelled.
    pub(super) fn start(
        &mut self,
        now: Instant,
        new: NewCall,
        call: impl Future<Output = CallResult> + 'static,
    ) {
        self.make_room(now);
        let NewCall { address, late_after, wait, origin } = new;
        let started_alone = self.in_flight.is_empty();
        let task = self.tasks.spawn_local(call);
        self.in_flight.push(Call { task, address, started: now, late_after, wait, started_alone, origin });
    }

    /// Waits for the end of a call. Never resolves while no call is in flight.
    pub(super) async fn next_finished(&mut self) -> FinishedCall {
        while let Some(finished) = self.tasks.join_next_with_id().await {
            // A task that was cancelled belongs to no call any more.
            let Ok((id, result)) = finished else { continue };
            if let Some(index) = self.in_flight.iter().position(|call| call.task.id() == id) {
                return FinishedCall { call: self.in_flight.remove(index), result };
            }
        }
        pending().await
    }

    /// Cancels the calls that started before `started`, because a call that started then has been answered. Returns whether
    /// there are any.
    pub(super) fn cancel_overtaken(&mut self, started: Instant, now: Instant) -> bool {
        let overtaken = self.in_flight.iter().take_while(|call| call.started < started).count();
        for _ in 0..overtaken {
            self.cancel(0, now, &CallEnd::Overtaken);
        }
        overtaken > 0
    }

    /// Whether a call in flight started after `started`.
    pub(super) fn any_started_after(&self, started: Instant) -> bool {
        self.in_flight.last().is_some_and(|newest| newest.started > started)
    }

    /// Makes room for a call that starts now. If there are too many, the newest is cancelled, because a slow service answers
    /// the oldest first. If the oldest hangs, it is cancelled at last.
    fn make_room(&mut self, now: Instant) {
        if !self.is_full() {
            return;
        }
        if now - self.in_flight[0].started < self.max_age_of_oldest {
            self.cancel(MAX_CALLS - 1, now, &CallEnd::Replaced);
        } else {
            self.max_age_of_oldest *= 2;
            self.cancel(0, now, &CallEnd::Replaced);
        }
    }

    fn cancel(&mut self, index: usize, now: Instant, end: &CallEnd<'_>) {
        let call = self.in_flight.remove(index);
        call.log_end(now, end);
        call.task.abort();
    }
}

impl Drop for Calls {
    fn drop(&mut self) {
        let now = Instant::now();
        for call in &self.in_flight {
            call.log_end(now, &CallEnd::WatchEnded);
        }
    }
}
