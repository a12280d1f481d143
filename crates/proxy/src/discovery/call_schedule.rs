//! When the next call to discovery starts.
//!
//! A call that is not answered in time may hang, or its answer may be slow. Another call is started beside it, because only
//! another call can be answered if it hangs. It is not cancelled for that, because a discovery service that is slower than
//! the limit would otherwise never be heard. Answers that arrive late tell how slow discovery is, and from then on calls
//! get that time, so that a service that is slow because of its load gets no more load.
//!
//! A slow service may handle simultaneous calls in parallel or one after another. Only in the first case do more calls
//! help. Calls to a slow service overlap only if changes would be received too late otherwise, and stop to overlap when
//! the answers show that they delay each other.

use std::time::Duration;

use tokio::time::Instant;

use crate::discovery::poll_timing::PollTiming;

/// Time within which a change is to be received after discovery has it: the 6 s after which it counts as received, less
/// what a process may be held up.
pub(super) const RECEIVED_WITHIN: Duration = Duration::from_millis(5_800);
/// Minimum time between the starts of the first and the third of consecutive calls without an answer, and of any two after
/// these. A service that handles one call after another, each in less than this time, answers the first two and the next
/// call within [`RECEIVED_WITHIN`].
const MIN_SPACING: Duration = Duration::from_secs(2);
/// Minimum time between the starts of two calls when [`MAX_CALLS`](crate::discovery::calls::MAX_CALLS) are in flight. If they
/// all hang, the next call is received within [`RECEIVED_WITHIN`] for response times up to 2 s.
const MIN_SPACING_WHEN_FULL: Duration = Duration::from_millis(3_500);
/// How long discovery may delay the response to a call while it is slow. The age of the response is then the response time.
const SLOW_WATCH_WAIT: Duration = Duration::from_millis(1);

/// The next step of the watch, unless a call ends before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// A call starts at this time.
    StartAt(Instant),
    /// The newest call is reported to the policy as failed at this time, although it continues.
    ReportLateAt(Instant),
    /// A call starts when the policy requests it.
    OnPolicyRequest,
}

/// A call that has been answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnsweredCall {
    /// Time from the start to the complete response.
    pub(super) age: Duration,
    /// How long discovery was allowed to delay the response.
    pub(super) wait: Duration,
    /// Whether no other call was in flight when it started.
    pub(super) started_alone: bool,
    /// Whether a call that started before it has no answer yet.
    pub(super) has_overtaken: bool,
}

/// How a slow service handles simultaneous calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Concurrency {
    /// They do not delay each other.
    Parallel,
    /// Each waits for the ones before it.
    Serial,
}

/// The newest call.
#[derive(Clone, Copy, Debug)]
struct NewestCall {
    started: Instant,
    /// Age from which the call is late while discovery is not known to be slow.
    limit: Duration,
    /// Whether another call has to be cancelled for the next one.
    is_full: bool,
}

/// The state from which the start of the next call follows.
pub(super) struct CallSchedule {
    timing: PollTiming,
    /// Whether the next call after a failure starts by itself. Otherwise the policy requests it.
    restarts_by_itself: bool,
    /// Number of failures after which the next call starts by itself in any case.
    unreported_retries: u32,
    /// The response time that the last answers show, without the wait. It is 0 until an answer was late.
    response_time: Duration,
    /// How the last answers show that simultaneous calls are handled, or `None` if they have not shown it yet.
    concurrency: Option<Concurrency>,
    /// Whether a call hung while discovery is slow.
    calls_hang: bool,
    /// When the last call was answered, or `None` before the first answer.
    last_answer: Option<Instant>,
    /// The newest call, or `None` before the first one.
    newest: Option<NewestCall>,
    /// Start of the first call since the last answer, or the last answer if calls were in flight then. `None` if no call
    /// has started since.
    unanswered_since: Option<Instant>,
    /// Number of calls without an answer, failed ones included, since that time.
    unanswered: usize,
    /// The backoff after the next failure.
    backoff: Duration,
}

impl CallSchedule {
    /// Returns the schedule before the first call.
    pub(super) fn new(timing: PollTiming, restarts_by_itself: bool, unreported_retries: u32) -> CallSchedule {
        CallSchedule {
            timing,
            restarts_by_itself,
            unreported_retries,
            response_time: Duration::ZERO,
            concurrency: None,
            calls_hang: false,
            last_answer: None,
            newest: None,
            unanswered_since: None,
            unanswered: 0,
            backoff: timing.first_backoff,
        }
    }

    /// Returns how long discovery may delay the response to the next call if there are no changes.
    pub(super) fn watch_wait(&self) -> Duration {
        if self.unanswered > 0 || self.is_slow() { SLOW_WATCH_WAIT } else { self.timing.watch_wait }
    }

    /// Returns the age from which a call is late. `is_watch` tells a watch call from one for the complete list.
    pub(super) fn late_after(&self, is_watch: bool) -> Duration {
        let wait = if is_watch { self.timing.watch_wait } else { Duration::ZERO };
        wait + self.timing.response_timeout
    }

    /// Records the start of a call and returns what happens if it is not answered. `is_full` tells that another call has to be
    /// cancelled for the next one.
    pub(super) fn start(&mut self, now: Instant, is_watch: bool, is_full: bool) -> NextStep {
        let newest = NewestCall { started: now, limit: self.late_after(is_watch), is_full };
        self.newest = Some(newest);
        self.unanswered_since.get_or_insert(now);
        self.unanswered += 1;
        self.step_without_answer(newest)
    }

    /// Records an answer and returns when the next call starts. `in_flight` is the number of younger calls in flight.
    pub(super) fn answer(&mut self, now: Instant, call: AnsweredCall, in_flight: usize) -> NextStep {
        self.record_response_time(now, call);
        self.backoff = self.timing.first_backoff;
        self.unanswered = in_flight;
        self.unanswered_since = (in_flight > 0).then_some(now);
        match self.newest {
            Some(newest) if in_flight > 0 => self.step_without_answer(newest),
            // A slow service gets no more calls than one without changes.
            Some(newest) if self.is_slow() => {
                NextStep::StartAt(now.max(newest.started + self.timing.watch_wait))
            }
            _ => NextStep::StartAt(now),
        }
    }

    /// Records that discovery sent a usable list: from now on each failure is reported to the policy.
    pub(super) fn list_used(&mut self) {
        self.unreported_retries = 0;
    }

    /// Records the failure of the newest call. `in_flight` is the number of older calls that are still in flight. Returns
    /// `None` if the failure has to be reported to the policy.
    pub(super) fn fail(&mut self, now: Instant, in_flight: usize) -> Option<NextStep> {
        if in_flight == 0 {
            self.unanswered = 0;
            self.unanswered_since = None;
        }
        if !self.retries_by_itself() {
            return None;
        }
        let start = now + self.backoff;
        self.count_retry();
        Some(NextStep::StartAt(start))
    }

    /// Records that another call starts although the newest one has no answer.
    pub(super) fn count_retry(&mut self) {
        self.unreported_retries = self.unreported_retries.saturating_sub(1);
        self.backoff = self.timing.next_backoff(self.backoff);
    }

    fn retries_by_itself(&self) -> bool {
        self.restarts_by_itself || self.unreported_retries > 0
    }

    /// Whether the last answers were slower than those of a healthy agent.
    fn is_slow(&self) -> bool {
        self.response_time > self.timing.response_timeout
    }

    /// Returns what happens next if the calls in flight, of which `newest` is the newest, have no answer until then.
    fn step_without_answer(&self, newest: NewestCall) -> NextStep {
        let unanswered_since = self.unanswered_since.unwrap_or(newest.started);
        let is_first = self.unanswered <= 1;
        let unconfirmed_for = newest.started - unanswered_since;
        let is_slow = self.is_slow() && unconfirmed_for < RECEIVED_WITHIN + 2 * self.response_time;
        if is_slow && self.concurrency == Some(Concurrency::Parallel) {
            return NextStep::StartAt(newest.started + parallel_spacing(self.response_time, newest.limit));
        }
        let spacing = if is_slow {
            self.slow_spacing(newest.limit)
        } else if self.retries_by_itself() {
            newest.limit + self.backoff
        } else if is_first {
            return NextStep::ReportLateAt(newest.started + newest.limit);
        } else {
            newest.limit
        };
        if is_first {
            return NextStep::StartAt(newest.started + spacing);
        }
        let min_spacing = if newest.is_full { MIN_SPACING_WHEN_FULL } else { MIN_SPACING };
        NextStep::StartAt((newest.started + spacing.max(min_spacing)).max(unanswered_since + MIN_SPACING))
    }

    /// Returns the time between the starts of two calls to a slow service that is not known to handle them in parallel. If
    /// changes are received in time only with calls that overlap, and it is not known whether that helps, the calls overlap.
    fn slow_spacing(&self, limit: Duration) -> Duration {
        let serial = serial_spacing(self.response_time, limit);
        match self.concurrency {
            Some(_) => serial,
            None if self.calls_hang => serial.min(parallel_spacing(self.response_time, limit)),
            None => serial.min(overlapping_spacing(self.response_time)),
        }
    }

    /// Updates what is known of the response time. A call that started while others were in flight shows whether it had to
    /// wait for them; its age is the response time only if it had not. Calls that it has overtaken hang: it did not wait
    /// for them.
    fn record_response_time(&mut self, now: Instant, call: AnsweredCall) {
        let started = now - call.age;
        let last_answer_since_start = self.last_answer.filter(|last| *last > started);
        if call.started_alone || (call.has_overtaken && last_answer_since_start.is_none()) {
            self.response_time = call.age.saturating_sub(call.wait);
        } else if call.age <= self.response_time + self.response_time / 8 {
            self.response_time = call.age;
            self.concurrency = Some(Concurrency::Parallel);
        } else {
            self.concurrency = Some(Concurrency::Serial);
            let since_last_answer = last_answer_since_start.map(|last| now - last).unwrap_or_default();
            self.response_time = self.response_time.max(since_last_answer);
        }
        self.last_answer = Some(now);
        self.calls_hang |= call.has_overtaken;
        if !self.is_slow() {
            self.concurrency = None;
            self.calls_hang = false;
        }
    }
}

/// Returns the time between the starts of two calls to a service of this response time that handles one call after another.
///
/// A call starts when the one before it should have been answered, because it would only delay that one. If that one hangs,
/// a change that is not in the last list is received after twice the response time and this time, which is within
/// [`RECEIVED_WITHIN`] for response times up to a third of it. `limit` is the age from which a call to a healthy agent is
/// late.
fn serial_spacing(response_time: Duration, limit: Duration) -> Duration {
    let expected_answer = response_time + response_time / 5;
    let with_one_hanging = RECEIVED_WITHIN.saturating_sub(2 * response_time);
    (2 * response_time).max(limit).min(with_one_hanging).max(expected_answer)
}

/// Returns the time between the starts of two calls that overlap if the response time is over half of [`RECEIVED_WITHIN`], so
/// that changes are received in time if simultaneous calls do not delay each other. Two calls are in flight.
fn overlapping_spacing(response_time: Duration) -> Duration {
    RECEIVED_WITHIN.saturating_sub(response_time).max(response_time / 2)
}

/// Returns the time between the starts of two calls to a service of this response time that handles calls in parallel.
///
/// A change is received within [`RECEIVED_WITHIN`] even if the first call after it hangs, for response times up to two
/// thirds of it. At most five calls are in flight.
fn parallel_spacing(response_time: Duration, limit: Duration) -> Duration {
    let with_one_hanging = RECEIVED_WITHIN.saturating_sub(response_time) / 2;
    (2 * response_time).max(limit).min(with_one_hanging).max(response_time / 4)
}

#[cfg(test)]
mod tests;
