//! The heap of the process: how many bytes are in use, and the return of free pages to the kernel.

use std::alloc::System;
use std::fmt;

use cap::Cap;

/// File with the number of resident pages of this process as its second field.
const RESIDENT_PAGES_FILE: &str = "/proc/self/statm";
/// Size of a page in bytes, as assumed where the system does not tell it.
const DEFAULT_PAGE_BYTES: usize = 4096;

/// The allocator of the process. It counts the bytes in use and limits nothing: the limits are those of the memory budget.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// The heap's bytes in use and the process's resident bytes at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeapReading {
    /// Bytes of the heap that are in use.
    pub live_bytes: usize,
    /// Resident bytes of the process; `None` if the system does not tell.
    pub resident_bytes: Option<usize>,
}

impl HeapReading {
    /// Reads both numbers. Takes some system calls.
    pub fn now() -> HeapReading {
        HeapReading { live_bytes: live_bytes(), resident_bytes: resident_bytes() }
    }
}

impl fmt::Display for HeapReading {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} bytes allocated", self.live_bytes)?;
        match self.resident_bytes {
            Some(resident_bytes) => write!(formatter, ", {resident_bytes} resident"),
            None => Ok(()),
        }
    }
}

/// Returns how many bytes of the heap are in use, in all threads.
pub fn live_bytes() -> usize {
    ALLOCATOR.allocated()
}

fn resident_bytes() -> Option<usize> {
    let pages = std::fs::read_to_string(RESIDENT_PAGES_FILE).ok()?;
    let pages: usize = pages.split(' ').nth(1)?.parse().ok()?;
    Some(pages * page_bytes())
}

fn page_bytes() -> usize {
    // SAFETY: the call has no preconditions.
    #[allow(unsafe_code)]
    let bytes = unsafe { libc::sysconf(libc::_SC_PAGESIZE) };
    usize::try_from(bytes).unwrap_or(DEFAULT_PAGE_BYTES)
}

/// Returns the free pages of the heap to the kernel. Takes some milliseconds after a peak.
pub fn release_free_memory() {
    #[cfg(target_env = "gnu")]
    // SAFETY: the call has no preconditions, and other threads may allocate meanwhile.
    #[allow(unsafe_code)]
    unsafe {
        libc::malloc_trim(0);
    }
}
