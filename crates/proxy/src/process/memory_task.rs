//! The task that keeps the memory budget up to date, and returns free memory to the kernel.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::process::core::Core;

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum number of bytes that must have become free since the last peak.
const MIN_FREED_BYTES: usize = 1 << 20;

/// Counts the endpoints to the budget, and returns free memory to the kernel after each peak. Never returns.
pub async fn watch_memory(core: Rc<Core>) {
    loop {
        core.memory.set_endpoint_count(core.dispatcher.endpoint_count());
        core.memory.release_after_peak(MIN_FREED_BYTES);
        sleep(CHECK_INTERVAL).await;
    }
}
