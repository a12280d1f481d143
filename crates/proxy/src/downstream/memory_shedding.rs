//! Frees memory while it is short: closes idle connections, and then rejects the clients that hold memory without making
//! progress.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use crate::downstream::connection_stage::ConnectionStage;
use crate::downstream::evictable_connections::Eviction;
use crate::downstream::progress::ConnectionProgress;
use crate::downstream::server::{Server, UpstreamTransport};
use crate::log::log_line;
use crate::memory::{HeapReading, MemoryCause, MemoryLevel};
use crate::upstream::Upstreams;

/// Time between two steps while memory is short.
const STEP_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time between two reports in the log.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a shortage after which memory counts as no longer short. By then, free memory has been returned to the system.
const RECOVERY_TIME: Duration = Duration::from_secs(2);
/// Time without a byte after which a client that is sending a request counts as stalled. The slowest clients that must be
/// served pause for half of it.
const REQUEST_STALL: Duration = Duration::from_secs(1);
/// Time in which a client's socket has accepted no byte of a response after which the client counts as not reading.
const RESPONSE_STALL: Duration = Duration::from_secs(4);
/// Memory that closing an idle client connection frees, in bytes.
const IDLE_CONNECTION_BYTES: usize = 4 << 10;
/// Memory that a client connection in any other stage holds besides the bytes of its request, in bytes.
const ACTIVE_CONNECTION_BYTES: usize = 40 << 10;

impl<T: UpstreamTransport> Server<T> {
    /// Frees memory whenever it is found short. Never returns.
    pub async fn shed_when_memory_is_short(self: Rc<Self>, upstreams: Rc<Upstreams>) {
        loop {
            self.memory.wait_for_shortage().await;
            self.shed_until_recovered(&upstreams).await;
            log_line!("memory: no longer short ({})", HeapReading::now());
        }
    }

    /// Frees memory until it has not been short for a while.
    async fn shed_until_recovered(&self, upstreams: &Upstreams) {
        loop {
            self.shed_until_enough_is_free(upstreams).await;
            if timeout(RECOVERY_TIME, self.memory.wait_for_shortage()).await.is_err() {
                return;
            }
        }
    }

    /// Frees memory until enough is free at the time of a report.
    async fn shed_until_enough_is_free(&self, upstreams: &Upstreams) {
        let mut reported_at = Instant::now();
        loop {
            let excess = self.memory.excess_bytes();
            if excess > 0 {
                self.free_memory(excess, upstreams);
            }
            if reported_at.elapsed() >= REPORT_INTERVAL {
                reported_at = Instant::now();
                self.report_shortage();
                if excess == 0 {
                    return;
                }
            }
            sleep(STEP_INTERVAL).await;
        }
    }

    /// Frees at least `excess` bytes, as far as connections are idle or stalled.
    fn free_memory(&self, excess: usize, upstreams: &Upstreams) {
        let counts = self.memory.counts();
        counts.add(MemoryCause::IdleUpstream, upstreams.close_all_idle());
        let evicted = self.evict_idle_clients(excess);
        counts.add(MemoryCause::IdleClient, evicted);

        let mut stalled: Vec<_> = self.connections.open().into_iter().filter_map(StalledClient::of).collect();
        stalled.sort_by_key(|client| (client.order(), std::cmp::Reverse(client.held_bytes)));
        let mut freed = evicted * IDLE_CONNECTION_BYTES;
        for client in stalled {
            if freed >= excess {
                return;
            }
            freed += client.held_bytes;
            client.connection.reject(client.cause);
            counts.add(client.cause, 1);
        }
    }

    /// Closes idle client connections if no memory is left. They hold little, and their clients may be about to send a
    /// request, so they are kept as long as requests are admitted. Returns their number.
    fn evict_idle_clients(&self, excess: usize) -> usize {
        if self.memory.level() != MemoryLevel::Exhausted {
            return 0;
        }
        let wanted = excess.div_ceil(IDLE_CONNECTION_BYTES);
        (0..wanted).take_while(|_| self.evictable_connections.evict_idle() == Eviction::Evicted).count()
    }

    /// Logs what was closed and refused since the last report.
    fn report_shortage(&self) {
        let Some(events) = self.memory.counts().take_report() else { return };
        let (used, limit) = (self.memory.used_bytes(), self.memory.heap_limit());
        let reading = HeapReading::now();
        log_line!("memory: short ({used} of {limit} bytes used; {reading}), closed or refused: {events}");
    }
}

/// A client that makes no progress although the proxy waits for it.
struct StalledClient {
    connection: Rc<ConnectionProgress>,
    cause: MemoryCause,
    held_bytes: usize,
}

impl StalledClient {
    /// Returns the stalled client of a connection; `None` if the client makes progress or the proxy does not wait for it.
    fn of(connection: Rc<ConnectionProgress>) -> Option<StalledClient> {
        if connection.rejection().is_some() {
            return None;
        }
        let buffered = connection.buffered_bytes();
        let (cause, since, stall, held_bytes) = match connection.stage() {
            ConnectionStage::Idle => return None,
            ConnectionStage::Head => {
                (MemoryCause::StalledHead, connection.last_input_at(), REQUEST_STALL, buffered)
            }
            ConnectionStage::Body => {
                let since = connection.body_pace().waiting_since()?.max(connection.last_input_at());
                (MemoryCause::StalledBody, since, REQUEST_STALL, buffered + ACTIVE_CONNECTION_BYTES)
            }
            ConnectionStage::Open => {
                let since = connection.write_blocked_since()?;
                (MemoryCause::UnreadResponse, since, RESPONSE_STALL, buffered + ACTIVE_CONNECTION_BYTES)
            }
        };
        (since.elapsed() >= stall).then_some(StalledClient { connection, cause, held_bytes })
    }

    /// Returns the position of the cause in the order in which memory is freed.
    fn order(&self) -> usize {
        self.cause as usize
    }
}
