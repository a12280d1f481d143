//! The memory budget of the process, the only owner of its limit.
//!
//! The budget compares the bytes of the heap that are in use, whoever holds them, with what this process may use. A request
//! whose memory will only be allocated while it is forwarded is charged from its admission on.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::memory::causes::{MemoryCause, MemoryCounts};
use crate::memory::heap::{HeapReading, live_bytes, release_free_memory};

/// Share of the heap's resident bytes that are in use; the rest is lost to the allocator's bookkeeping and to gaps.
const HEAP_EFFICIENCY: f64 = 0.8;
/// Share of the bytes for peers above which only small requests are admitted.
const SHORT_FRACTION: f64 = 0.65;
/// Minimum number of bytes for peers, however much the process needs for itself: some 20 small requests at once.
const MIN_PEER_BYTES: usize = 3 << 19;
/// Memory of one known endpoint in the registry and the policy.
const ENDPOINT_BYTES: usize = 1200;
/// Resident bytes of the program itself, where the system does not tell them.
const DEFAULT_PROGRAM_BYTES: usize = 4 << 20;
/// Memory of one request besides its head and a long body: the tasks of its two connections, and their buffers once the response flows.
const REQUEST_BYTES: usize = 72 << 10;
/// Time over which the reserve is made available, the bytes between the limit of the normal level and the limit of the heap. A
/// crowd that arrives at once does not get them, so that requests which arrive later can be admitted.
const RESERVE_TIME: Duration = Duration::from_secs(2);
/// The part of the reserve that is available at once, in requests.
const RESERVE_AT_ONCE: usize = 8;
/// Memory of a long body on its way through the proxy: its beginning, and the buffers of both connections.
const LONG_BODY_BYTES: usize = 48 << 10;
/// Memory of one parsed header field besides its bytes.
const HEADER_FIELD_BYTES: usize = 112;
/// Bytes of a head that are held at the same time for each byte on the wire: as received and as sent to the upstream.
const HEAD_COPIES: usize = 2;
/// Maximum memory of the head of a small request, and maximum length of its body, in bytes.
const MAX_SMALL_BYTES: usize = 6 << 10;
/// Maximum charge of a small request.
const MAX_SMALL_REQUEST_BYTES: usize = REQUEST_BYTES + MAX_SMALL_BYTES;

/// How much memory is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryLevel {
    /// Everything is admitted.
    Normal,
    /// Only small requests are admitted, and bodies are not buffered.
    Short,
    /// No request is admitted.
    Exhausted,
}

/// The size of a request, as known from its head.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestSize {
    /// Length of the head in bytes.
    pub head_bytes: usize,
    /// Number of header fields.
    pub header_fields: usize,
    /// Length of the body in bytes; `None` if it is not declared.
    pub body_bytes: Option<u64>,
}

impl RequestSize {
    /// Returns the bytes that the parsed head takes.
    fn head_memory(self) -> usize {
        self.head_bytes * HEAD_COPIES + self.header_fields * HEADER_FIELD_BYTES
    }

    /// Returns the bytes that the request takes while it is forwarded.
    fn memory(self) -> usize {
        let body_bytes = if self.has_small_body() { 0 } else { LONG_BODY_BYTES };
        REQUEST_BYTES + self.head_memory() + body_bytes
    }

    /// Returns whether the request takes little memory.
    fn is_small(self) -> bool {
        self.has_small_body() && self.head_memory() <= MAX_SMALL_BYTES
    }

    fn has_small_body(self) -> bool {
        self.body_bytes.is_some_and(|length| length <= MAX_SMALL_BYTES as u64)
    }
}

/// The times of a shortage. It ends after [`RESERVE_TIME`] in the normal level, which memory may also reach for a moment between
/// two steps that free some.
#[derive(Clone, Copy)]
struct ShortageTimes {
    began: Instant,
    /// When memory was first found in the normal level again; `None` if it was found short since.
    normal_since: Option<Instant>,
}

impl ShortageTimes {
    fn is_over(&self) -> bool {
        self.normal_since.is_some_and(|since| since.elapsed() >= RESERVE_TIME)
    }
}

/// The memory budget of the process.
pub struct MemoryBudget {
    /// Memory that this process may use, in bytes.
    process_bytes: Cell<usize>,
    /// Resident bytes of the program besides its heap: code, libraries, stacks.
    program_bytes: usize,
    /// Bytes of the heap that were in use at the start: the settings and the policy's state.
    start_bytes: usize,
    /// Bytes of the heap that no client and no response holds: those of the start, and the endpoints.
    own_bytes: Cell<usize>,
    /// Bytes that the open requests have been charged.
    charged_bytes: Cell<usize>,
    /// The part of the charges that was admitted while memory was short.
    reserve_bytes: Cell<usize>,
    /// The largest number of bytes in use since [`release_after_peak`](Self::release_after_peak) released memory.
    peak_bytes: Cell<usize>,
    /// Returns the bytes of the heap in use.
    live_bytes: fn() -> usize,
    /// The current shortage, or the last one.
    shortage_times: Cell<Option<ShortageTimes>>,
    /// Notified when memory is found short.
    shortage: Notify,
    counts: MemoryCounts,
}

impl MemoryBudget {
    /// Creates the budget of a process that may use `process_bytes`, from what the process uses now.
    pub fn new(process_bytes: usize) -> Rc<MemoryBudget> {
        let reading = HeapReading::now();
        let resident = reading.resident_bytes.map(|bytes| bytes.saturating_sub(reading.live_bytes));
        MemoryBudget::with_program(process_bytes, resident.unwrap_or(DEFAULT_PROGRAM_BYTES), live_bytes)
    }

    fn with_program(
        process_bytes: usize,
        program_bytes: usize,
        live_bytes: fn() -> usize,
    ) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget {
            process_bytes: Cell::new(process_bytes),
            program_bytes,
            start_bytes: live_bytes(),
            own_bytes: Cell::new(live_bytes()),
            charged_bytes: Cell::new(0),
            reserve_bytes: Cell::new(0),
            peak_bytes: Cell::new(live_bytes()),
            live_bytes,
            shortage_times: Cell::new(None),
            shortage: Notify::new(),
            counts: MemoryCounts::default(),
        })
    }

    /// Changes the memory that this process may use.
    pub fn resize(&self, process_bytes: usize) {
        self.process_bytes.set(process_bytes);
        self.level();
    }

    /// Sets the number of endpoints that the process knows.
    pub fn set_endpoint_count(&self, endpoints: usize) {
        self.own_bytes.set(self.start_bytes + endpoints * ENDPOINT_BYTES);
    }

    /// Returns how many bytes of the heap may be in use.
    pub fn heap_limit(&self) -> usize {
        let heap_bytes = self.process_bytes.get().saturating_sub(self.program_bytes);
        let limit = (heap_bytes as f64 * HEAP_EFFICIENCY) as usize;
        limit.max(self.own_bytes.get() + MIN_PEER_BYTES)
    }

    /// Returns how many bytes of the heap are in use or charged.
    pub fn used_bytes(&self) -> usize {
        let live = (self.live_bytes)();
        self.peak_bytes.set(self.peak_bytes.get().max(live));
        live.max(self.own_bytes.get() + self.charged_bytes.get())
    }

    /// Returns how many bytes more are in use than in the normal level.
    pub fn excess_bytes(&self) -> usize {
        self.used_bytes().saturating_sub(self.short_limit())
    }

    /// Returns the level, and reports a shortage to [`wait_for_shortage`](Self::wait_for_shortage).
    pub fn level(&self) -> MemoryLevel {
        self.level_with(0)
    }

    /// Returns the level that would be reached with `more` bytes in use.
    fn level_with(&self, more: usize) -> MemoryLevel {
        let used = self.used_bytes() + more;
        if used <= self.short_limit() {
            self.record_normal();
            return MemoryLevel::Normal;
        }
        self.record_shortage();
        if used <= self.heap_limit() { MemoryLevel::Short } else { MemoryLevel::Exhausted }
    }

    fn record_normal(&self) {
        let Some(times) = self.shortage_times.get() else { return };
        let normal_since = times.normal_since.or_else(|| Some(Instant::now()));
        let times = ShortageTimes { normal_since, ..times };
        self.shortage_times.set((!times.is_over()).then_some(times));
    }

    fn record_shortage(&self) {
        let current = self.shortage_times.get().filter(|times| !times.is_over());
        let began = current.map_or_else(Instant::now, |times| times.began);
        self.shortage_times.set(Some(ShortageTimes { began, normal_since: None }));
        self.shortage.notify_one();
    }

    /// Returns whether the reserve has this many bytes for another request.
    fn has_reserve(&self, bytes: usize) -> bool {
        let duration = self.shortage_times.get().map_or(Duration::ZERO, |times| times.began.elapsed());
        let share = (duration.as_secs_f64() / RESERVE_TIME.as_secs_f64()).min(1.0);
        let reserve = self.heap_limit() - self.short_limit();
        let available = RESERVE_AT_ONCE * MAX_SMALL_REQUEST_BYTES + (reserve as f64 * share) as usize;
        self.reserve_bytes.get() + bytes <= available
    }

    /// Admits a request of this size and charges it.
    ///
    /// # Errors
    /// The cause for which the request is refused.
    pub fn admit(self: &Rc<Self>, size: RequestSize) -> Result<RequestCharge, MemoryCause> {
        let bytes = size.memory();
        let level = self.level_with(bytes);
        if level == MemoryLevel::Normal {
            return Ok(RequestCharge::new(self, bytes, 0));
        }
        if !size.is_small() {
            return Err(MemoryCause::LargeRequest);
        }
        if level == MemoryLevel::Exhausted || !self.has_reserve(bytes) {
            return Err(MemoryCause::NewRequest);
        }
        Ok(RequestCharge::new(self, bytes, bytes))
    }

    /// Returns whether a message of which `held` bytes are buffered may take more memory.
    pub fn may_buffer(&self, held: usize) -> bool {
        held < MAX_SMALL_BYTES || self.level() == MemoryLevel::Normal
    }

    /// Returns the counts of what was closed or refused.
    pub fn counts(&self) -> &MemoryCounts {
        &self.counts
    }

    /// Waits until memory has been found short.
    pub async fn wait_for_shortage(&self) {
        self.shortage.notified().await;
    }

    /// Returns free pages to the kernel if at least `min_bytes` fewer are in use than at the last peak.
    pub fn release_after_peak(&self, min_bytes: usize) {
        let live = (self.live_bytes)();
        if self.peak_bytes.get() >= live + min_bytes {
            release_free_memory();
            self.peak_bytes.set(live);
        }
    }

    fn short_limit(&self) -> usize {
        let own = self.own_bytes.get();
        let peer_bytes = self.heap_limit().saturating_sub(own);
        own + (peer_bytes as f64 * SHORT_FRACTION) as usize
    }
}

/// The memory that an open request has been charged. Dropping it releases the memory.
pub struct RequestCharge {
    budget: Rc<MemoryBudget>,
    bytes: usize,
    /// The part of `bytes` that was taken from the reserve.
    reserve_bytes: usize,
}

impl RequestCharge {
    fn new(budget: &Rc<MemoryBudget>, bytes: usize, reserve_bytes: usize) -> RequestCharge {
        budget.charged_bytes.set(budget.charged_bytes.get() + bytes);
        budget.reserve_bytes.set(budget.reserve_bytes.get() + reserve_bytes);
        RequestCharge { budget: budget.clone(), bytes, reserve_bytes }
    }
}

impl Drop for RequestCharge {
    fn drop(&mut self) {
        let budget = &self.budget;
        budget.charged_bytes.set(budget.charged_bytes.get() - self.bytes);
        budget.reserve_bytes.set(budget.reserve_bytes.get() - self.reserve_bytes);
    }
}

#[cfg(test)]
mod tests;
