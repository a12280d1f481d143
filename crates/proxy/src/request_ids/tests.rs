use std::path::PathBuf;

use tokio::time::advance;

use super::*;

const RETENTION: Retention =
    Retention { preferred: Duration::from_mins(1), required: Duration::from_secs(3), capacity: 4 };

/// Runs a test on a paused clock.
fn run(test: impl AsyncFnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("the runtime is built").block_on(test());
}

/// Creates an empty folder; `name` must be unique among the tests.
fn empty_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("zincstand-request-ids-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("the folder is created");
    folder
}

/// Returns the ids of the process with this number.
fn shared_ids(folder: &Path, slot: u8) -> Rc<RequestIds> {
    let ids = RequestIds::new(Retention { capacity: 100_000, ..RETENTION });
    ids.share(folder, slot);
    ids.set_others_running(true);
    ids
}

/// Claims an id for a request that may have run and has ended.
fn use_id(ids: &Rc<RequestIds>, id: &str) {
    ids.claim(id.as_bytes(), false).expect("the id is free").record_may_have_run();
}

fn error(ids: &Rc<RequestIds>, id: &str) -> Option<ClaimError> {
    ids.claim(id.as_bytes(), false).err()
}

#[test]
fn an_id_is_retained_only_if_its_request_may_have_run_and_must_not_run_again() {
    run(async || {
        let ids = RequestIds::new(RETENTION);
        let claim = ids.claim(b"r-1", false).expect("the id is free");
        assert_eq!(error(&ids, "r-1"), Some(ClaimError::Open));
        drop(claim);
        use_id(&ids, "r-1");
        assert_eq!(error(&ids, "r-1"), Some(ClaimError::Used));
        ids.claim(b"r-2", true).expect("the id is free").record_may_have_run();
        assert_eq!(error(&ids, "r-2"), None);
        advance(RETENTION.preferred).await;
        assert_eq!(error(&ids, "r-1"), None);
    });
}

#[test]
fn a_full_table_forgets_only_ids_that_need_not_be_retained() {
    run(async || {
        let ids = RequestIds::new(RETENTION);
        for number in 0..RETENTION.capacity {
            use_id(&ids, &format!("r-{number}"));
        }
        assert_eq!(error(&ids, "other"), Some(ClaimError::NoCapacity));
        assert!(ids.claim(b"repeatable", true).is_ok(), "the id need not be retained");
        advance(RETENTION.required).await;
        use_id(&ids, "other");
        assert_eq!(error(&ids, "r-0"), None);
        assert_eq!(error(&ids, "other"), Some(ClaimError::Used));
    });
}

#[test]
fn processes_share_the_ids_that_they_have_claimed_and_released() {
    run(async || {
        let folder = empty_folder("share");
        let (first, second) = (shared_ids(&folder, 0), shared_ids(&folder, 1));
        use_id(&first, "r-1");
        let open = first.claim(b"r-2", false).expect("the id is free");
        for id in ["r-1", "r-2"] {
            assert_eq!(error(&second, id), Some(ClaimError::Used), "{id}");
        }
        drop(open);
        assert_eq!(error(&second, "r-2"), None, "a request that never ran frees its id");
        // A process that starts reads what all others and its predecessor have claimed.
        drop(first);
        let successor = shared_ids(&folder, 0);
        assert_eq!(error(&successor, "r-1"), Some(ClaimError::Used));
        assert_eq!(error(&shared_ids(&folder, 2), "r-1"), Some(ClaimError::Used));
        std::fs::remove_dir_all(&folder).expect("the folder is removed");
    });
}

#[test]
fn a_ring_that_was_written_several_times_over_is_read_on() {
    run(async || {
        let folder = empty_folder("rounds");
        let (writer, reader) = (shared_ids(&folder, 0), shared_ids(&folder, 1));
        for round in 0..3 {
            for number in 0..40_000 {
                use_id(&writer, &format!("{round}-{number}"));
            }
            advance(RETENTION.preferred).await;
            use_id(&writer, &format!("last-{round}"));
            reader.synchronize();
            assert_eq!(error(&reader, &format!("last-{round}")), Some(ClaimError::Used), "round {round}");
        }
        let size =
            std::fs::metadata(folder.join("zincstand-request-ids-0.ring")).expect("the file exists").len();
        assert_eq!(size, 512 << 10);
        std::fs::remove_dir_all(&folder).expect("the folder is removed");
    });
}
