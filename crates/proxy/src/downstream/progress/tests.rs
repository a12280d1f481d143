use super::*;
use std::future::pending;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::advance;

use crate::downstream::body_pace::MAX_CREDIT;
use crate::downstream::idle_connections::CloseOutcome;

/// Runs a test on a new connection in paused time.
fn with_progress(test: impl AsyncFnOnce(Rc<ConnectionProgress>)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let progress = ConnectionProgress::with_stream(Rc::default(), Weak::new());
        progress.set_task(spawn_local(pending::<()>()).abort_handle());
        test(progress).await;
    });
}

#[test]
fn silence_and_slowness_before_the_first_request_end_within_3_s_together() {
    with_progress(async |progress| {
        let start = Instant::now();
        let silence = IDLE_TIME.checked_sub(Duration::from_millis(100)).expect("longer than that");
        advance(silence).await;
        for stage in [RequestStage::Head, RequestStage::Body] {
            progress.enter(stage);
            progress.body_pace().record_empty();
            let deadline = progress.deadline(IDLE_TIME).expect("a deadline");
            assert!(deadline < start + Duration::from_secs(3), "{stage:?}");
        }
        // Once a request has come, the next ones have their own time.
        progress.request_complete();
        progress.response_complete();
        progress.flushed();
        advance(silence).await;
        progress.enter(RequestStage::Head);
        assert_eq!(progress.deadline(IDLE_TIME), Some(Instant::now() + HEAD_TIME));
    });
}

#[test]
fn a_slow_body_is_distinguished_from_one_that_stops() {
    with_progress(async |progress| {
        let late = || progress.deadline(IDLE_TIME).is_some_and(|deadline| deadline <= Instant::now());
        progress.enter(RequestStage::Head);
        advance(Duration::from_secs(2)).await;
        progress.enter(RequestStage::Body);
        // 64 kB a second, in two parts a second, for as long as it takes.
        for _ in 0..40 {
            progress.body_pace().record_empty();
            advance(Duration::from_millis(500)).await;
            assert!(!late(), "slow, not stopped");
            progress.body_pace().record_bytes(32_000);
        }
        // What the upstream does not take is not the client's silence.
        progress.set_body_wanted(false);
        progress.body_pace().record_empty();
        advance(Duration::from_mins(1)).await;
        assert!(!late());
        progress.set_body_wanted(true);
        assert!(!late());
        advance(MAX_CREDIT).await;
        assert!(late(), "stopped, not slow");
    });
}

#[test]
fn an_answer_is_written_before_its_connection_is_idle() {
    with_progress(async |progress| {
        progress.request_complete();
        progress.response_complete();
        progress.write_blocked();
        advance(2 * IDLE_TIME).await;
        let deadline = progress.deadline(IDLE_TIME).expect("a deadline");
        assert!(deadline > Instant::now(), "slow to read is not idle");
        assert_eq!(progress.idle_connections.close_oldest(), CloseOutcome::NoCandidates);
        progress.flushed();
        assert_eq!(progress.stage(), RequestStage::Idle);
    });
}
