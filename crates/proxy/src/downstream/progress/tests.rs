use super::*;
use std::future::pending;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::advance;

use crate::downstream::body_pace::MAX_TIME_CREDIT;
use crate::downstream::evictable_connections::Eviction;
use crate::downstream::progress::stage_clock::HEAD_TIMEOUT;

/// Runs a test in paused time on a new connection that is registered in the given [`EvictableConnections`].
fn with_progress(test: impl AsyncFnOnce(Rc<ConnectionProgress>, Rc<EvictableConnections>)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("the runtime is built"), async {
        let evictable_connections = Rc::<EvictableConnections>::default();
        let progress = ConnectionProgress::with_stream(evictable_connections.clone(), Weak::new());
        progress.set_task(spawn_local(pending::<()>()).abort_handle());
        test(progress, evictable_connections).await;
    });
}

#[test]
fn a_client_that_is_silent_and_then_slow_before_its_first_request_is_closed_within_3_s() {
    with_progress(async |progress, _| {
        let start = Instant::now();
        let silence =
            IDLE_TIMEOUT.checked_sub(Duration::from_millis(100)).expect("IDLE_TIMEOUT is longer than 100 ms");
        advance(silence).await;
        for stage in [ConnectionStage::Head, ConnectionStage::Body] {
            progress.enter(stage);
            progress.body_pace().record_empty();
            let deadline = progress
                .deadline(IDLE_TIMEOUT)
                .expect("a connection that waits for its client has a deadline");
            assert!(deadline < start + Duration::from_secs(3), "{stage:?}");
        }
        // After the first request, later requests have only the limits of their stages.
        progress.record_request_complete();
        progress.record_response_complete();
        progress.record_flush();
        advance(silence).await;
        progress.enter(ConnectionStage::Head);
        assert_eq!(progress.deadline(IDLE_TIMEOUT), Some(Instant::now() + HEAD_TIMEOUT));
    });
}

#[test]
fn a_slow_body_is_distinguished_from_one_that_stops() {
    with_progress(async |progress, _| {
        let is_timed_out =
            || progress.deadline(IDLE_TIMEOUT).is_some_and(|deadline| deadline <= Instant::now());
        progress.enter(ConnectionStage::Head);
        advance(Duration::from_secs(2)).await;
        progress.enter(ConnectionStage::Body);
        // 64 kB a second for 20 s, in two parts a second.
        for _ in 0..40 {
            progress.body_pace().record_empty();
            advance(Duration::from_millis(500)).await;
            assert!(!is_timed_out(), "the client is slow but still sending");
            progress.body_pace().record_bytes(32_000);
        }
        // While the upstream accepts no bytes, the client's time limit is suspended.
        progress.body_pace().set_wanted(false);
        progress.body_pace().record_empty();
        advance(Duration::from_mins(1)).await;
        assert!(!is_timed_out());
        progress.body_pace().set_wanted(true);
        assert!(!is_timed_out());
        advance(MAX_TIME_CREDIT).await;
        assert!(is_timed_out(), "the client has stopped sending");
    });
}

#[test]
fn a_response_is_written_before_its_connection_is_idle() {
    with_progress(async |progress, evictable_connections| {
        progress.record_request_complete();
        progress.record_response_complete();
        progress.record_write_blocked();
        advance(2 * IDLE_TIMEOUT).await;
        let deadline = progress.deadline(IDLE_TIMEOUT).expect("a blocked write has a deadline");
        assert!(deadline > Instant::now(), "a client that reads slowly is not idle");
        assert_eq!(evictable_connections.evict_oldest(), Eviction::NoCandidates);
        progress.record_flush();
        assert_eq!(progress.stage(), ConnectionStage::Idle);
    });
}
