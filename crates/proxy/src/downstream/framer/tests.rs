use super::*;
use std::future::pending;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::advance;

#[test]
fn silence_and_slowness_before_the_first_request_end_within_3_s_together() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let progress = ConnectionProgress::from(Rc::default(), Weak::new());
        progress.of(spawn_local(pending::<()>()).abort_handle());
        let start = Instant::now();
        let silence = IDLE_TIME - Duration::from_millis(100);
        advance(silence).await;
        for stage in [RequestStage::Head, RequestStage::Body] {
            progress.enter(stage);
            progress.body(None);
            assert!(progress.due(IDLE_TIME).expect("an end") < start + Duration::from_secs(3), "{stage:?}");
        }
        // Once a request has come, the next ones have their own time.
        progress.taken();
        progress.answered();
        progress.flushed();
        advance(silence).await;
        progress.enter(RequestStage::Head);
        assert_eq!(progress.due(IDLE_TIME), Some(Instant::now() + HEAD_TIME));
    });
}

#[test]
fn a_slow_body_is_told_from_a_stuck_one() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let progress = ConnectionProgress::from(Rc::default(), Weak::new());
        progress.of(spawn_local(pending::<()>()).abort_handle());
        let late = || progress.due(IDLE_TIME).is_some_and(|due| due <= Instant::now());
        progress.enter(RequestStage::Head);
        advance(Duration::from_secs(2)).await;
        progress.enter(RequestStage::Body);
        // 64 kB a second, in two parts a second, for as long as it takes.
        for _ in 0..40 {
            progress.body(None);
            advance(Duration::from_millis(500)).await;
            assert!(!late(), "slow, not stuck");
            progress.body(Some(32_000));
        }
        // What the upstream does not take is not the caller's silence.
        progress.want(false);
        progress.body(None);
        advance(Duration::from_secs(60)).await;
        assert!(!late());
        progress.want(true);
        assert!(!late());
        advance(MOST_CREDIT).await;
        assert!(late(), "stuck, not slow");
    });
}

#[test]
fn an_answer_is_written_before_its_connection_is_idle() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let progress = ConnectionProgress::from(Rc::default(), Weak::new());
        progress.of(spawn_local(pending::<()>()).abort_handle());
        progress.taken();
        progress.answered();
        progress.stuck.set(Some(Instant::now()));
        advance(2 * IDLE_TIME).await;
        assert!(progress.due(IDLE_TIME).expect("an end") > Instant::now(), "slow to read is not idle");
        assert_eq!(progress.crowd.close_oldest(), Err(None));
        progress.flushed();
        assert_eq!(progress.stage(), RequestStage::Idle);
    });
}
