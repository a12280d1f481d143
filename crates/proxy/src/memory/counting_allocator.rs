//! The allocator of the process: that of the system, with a count of the bytes in use.
//!
//! The thread that serves connections makes nearly all allocations. Its count is updated without an atomic read-modify-write
//! operation, because no other thread writes it; all other threads share a second count. Either count may be negative, since a
//! thread may free what another one has allocated, and their sum is right.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::sync::atomic::{AtomicIsize, Ordering};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Bytes allocated less bytes freed by the serving thread.
static SERVING_THREAD_BYTES: AtomicIsize = AtomicIsize::new(0);
/// Bytes allocated less bytes freed by all other threads.
static OTHER_THREADS_BYTES: AtomicIsize = AtomicIsize::new(0);

thread_local! {
    static IS_SERVING_THREAD: Cell<bool> = const { Cell::new(false) };
}

/// Makes the current thread the serving thread. To be called once in a process.
pub fn set_serving_thread() {
    IS_SERVING_THREAD.set(true);
}

/// Returns how many bytes of the heap are in use, in all threads.
pub(super) fn live_bytes() -> usize {
    let serving = SERVING_THREAD_BYTES.load(Ordering::Relaxed);
    let others = OTHER_THREADS_BYTES.load(Ordering::Relaxed);
    usize::try_from(serving + others).unwrap_or(0)
}

fn count(bytes: isize) {
    if IS_SERVING_THREAD.get() {
        let counted = SERVING_THREAD_BYTES.load(Ordering::Relaxed);
        SERVING_THREAD_BYTES.store(counted + bytes, Ordering::Relaxed);
    } else {
        OTHER_THREADS_BYTES.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// The system's allocator, which counts the bytes of each call that succeeds.
struct CountingAllocator;

// SAFETY: every call is passed on to the system's allocator unchanged, and counting neither allocates nor panics.
#[allow(unsafe_code)]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        // SAFETY: the caller's obligations are those of the system's allocator.
        let pointer = unsafe { System.alloc(layout) };
        if !pointer.is_null() {
            count(layout.size() as isize);
        }
        pointer
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        // SAFETY: as above.
        let pointer = unsafe { System.alloc_zeroed(layout) };
        if !pointer.is_null() {
            count(layout.size() as isize);
        }
        pointer
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: as above.
        unsafe { System.dealloc(pointer, layout) };
        count(-(layout.size() as isize));
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        // SAFETY: as above.
        let moved = unsafe { System.realloc(pointer, layout, new_size) };
        if !moved.is_null() {
            count(new_size as isize - layout.size() as isize);
        }
        moved
    }
}
