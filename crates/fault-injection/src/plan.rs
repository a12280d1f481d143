//! The fault plan: which calls fail, in which way and how often.

use std::ffi::CString;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use libc::c_int;

use crate::{PLAN_VARIABLE, SWITCH_VARIABLE};

/// A fault in calls of one kind.
enum Fault {
    /// Every `period`-th call fails with the error number `errno`. `calls` counts the calls so far.
    Fail { errno: c_int, period: u64, calls: AtomicU64 },
    /// Each call transfers at most `max_bytes`.
    ShortTransfer { max_bytes: usize },
    /// The wall clock is ahead by this many milliseconds, or behind if negative.
    ClockOffset { milliseconds: i64 },
}

/// One entry of the plan.
struct PlannedFault {
    /// The name of the call in the plan, as the replaced functions pass it to [`FaultPlan`].
    call: String,
    fault: Fault,
}

/// The fault plan of this process.
pub(crate) struct FaultPlan {
    faults: Vec<PlannedFault>,
    /// The path of the switch file, without which the plan is inactive; `None` if the plan is always active.
    switch_file: Option<CString>,
}

/// Returns the plan of this process, which the first call reads from the environment.
///
/// # Panics
///
/// Panics at the first call if the plan is invalid.
pub(crate) fn plan() -> &'static FaultPlan {
    static PLAN: OnceLock<FaultPlan> = OnceLock::new();
    PLAN.get_or_init(|| {
        let text = std::env::var(PLAN_VARIABLE).unwrap_or_default();
        let switch_file = std::env::var(SWITCH_VARIABLE).ok().and_then(|path| CString::new(path).ok());
        let faults = text.split(',').filter(|entry| !entry.is_empty()).map(parse_or_panic).collect();
        FaultPlan { faults, switch_file }
    })
}

impl FaultPlan {
    /// Counts a call and returns the error number with which it must fail; `None` if it must not fail.
    pub(crate) fn errno_for_call(&self, call: &str) -> Option<c_int> {
        self.faults(call).find_map(|fault| match fault {
            Fault::Fail { errno, period, calls } => {
                (calls.fetch_add(1, Ordering::Relaxed) % period == period - 1).then_some(*errno)
            }
            Fault::ShortTransfer { .. } | Fault::ClockOffset { .. } => None,
        })
    }

    /// Returns how many of `length` bytes this call may transfer.
    pub(crate) fn limit_transfer(&self, call: &str, length: usize) -> usize {
        let max_bytes = self.faults(call).find_map(|fault| match fault {
            Fault::ShortTransfer { max_bytes } => Some(*max_bytes),
            Fault::Fail { .. } | Fault::ClockOffset { .. } => None,
        });
        max_bytes.map_or(length, |max_bytes| length.min(max_bytes))
    }

    /// Returns by how many milliseconds the wall clock is ahead; negative if it is behind.
    pub(crate) fn clock_offset_ms(&self) -> i64 {
        let offset = self.faults("clock").find_map(|fault| match fault {
            Fault::ClockOffset { milliseconds } => Some(*milliseconds),
            Fault::Fail { .. } | Fault::ShortTransfer { .. } => None,
        });
        offset.unwrap_or(0)
    }

    /// Returns the active faults of a call.
    fn faults(&self, call: &str) -> impl Iterator<Item = &Fault> {
        let planned = self.faults.iter().filter(move |planned| planned.call == call);
        planned.map(|planned| &planned.fault).filter(|_| self.is_active())
    }

    fn is_active(&self) -> bool {
        let Some(switch_file) = &self.switch_file else { return true };
        // SAFETY: the path is a valid pointer to a string that ends with a zero byte.
        unsafe { libc::syscall(libc::SYS_faccessat, libc::AT_FDCWD, switch_file.as_ptr(), libc::F_OK) == 0 }
    }
}

/// Parses one entry of the plan.
///
/// # Panics
///
/// Panics if the entry is invalid. If it were ignored, a test with a wrong plan would pass without the fault.
fn parse_or_panic(text: &str) -> PlannedFault {
    parse_fault(text).unwrap_or_else(|| {
        panic!("{PLAN_VARIABLE}: {text:?} is not a valid fault; see the documentation of PLAN_VARIABLE")
    })
}

/// Parses one entry of the plan; returns `None` if it is invalid.
fn parse_fault(text: &str) -> Option<PlannedFault> {
    let (call, fault) = text.split_once(':')?;
    let fault = if call == "clock" {
        Fault::ClockOffset { milliseconds: fault.parse().ok()? }
    } else if let Some(max_bytes) = fault.strip_prefix("short=") {
        Fault::ShortTransfer { max_bytes: max_bytes.parse().ok()? }
    } else {
        let (error_name, period) = fault.split_once('/').unwrap_or((fault, "1"));
        let period: u64 = period.parse().ok()?;
        Fault::Fail { errno: error_number(error_name)?, period: period.max(1), calls: AtomicU64::new(0) }
    };
    Some(PlannedFault { call: call.to_owned(), fault })
}

/// Returns the number of an error by its name; `None` for names that are not supported in plans.
fn error_number(name: &str) -> Option<c_int> {
    let number = match name {
        "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
        "ECONNABORTED" => libc::ECONNABORTED,
        "EHOSTUNREACH" => libc::EHOSTUNREACH,
        "EINTR" => libc::EINTR,
        "EIO" => libc::EIO,
        "EMFILE" => libc::EMFILE,
        "ENETUNREACH" => libc::ENETUNREACH,
        "ENFILE" => libc::ENFILE,
        "ENOBUFS" => libc::ENOBUFS,
        "ENOSPC" => libc::ENOSPC,
        "ETIMEDOUT" => libc::ETIMEDOUT,
        _ => return None,
    };
    Some(number)
}
