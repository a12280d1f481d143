//! The plan: which calls fail, how, and how often.

use std::ffi::CString;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use libc::c_int;

use crate::{PLAN_VARIABLE, SWITCH_VARIABLE};

/// What is wrong with one kind of call.
enum Fault {
    /// Every `period`-th call fails with the error `number`.
    Fail { number: c_int, period: u64, calls: AtomicU64 },
    /// No call transfers more than this many bytes.
    Short { most: usize },
    /// The wall clock is off by this many milliseconds.
    ClockOffset { milliseconds: i64 },
}

struct Entry {
    call: String,
    fault: Fault,
}

/// The faults of this process.
pub(crate) struct Plan {
    entries: Vec<Entry>,
    /// The plan is in force only while this file exists.
    switch: Option<CString>,
}

/// The plan of this process, read from its environment at the first call.
pub(crate) fn plan() -> &'static Plan {
    static PLAN: OnceLock<Plan> = OnceLock::new();
    PLAN.get_or_init(|| {
        let text = std::env::var(PLAN_VARIABLE).unwrap_or_default();
        let switch = std::env::var(SWITCH_VARIABLE).ok().and_then(|path| CString::new(path).ok());
        let entries = text.split(',').filter(|entry| !entry.is_empty()).map(parse_or_panic).collect();
        Plan { entries, switch }
    })
}

impl Plan {
    /// The number of the error that this call is to fail with, if it is.
    pub(crate) fn failure(&self, call: &str) -> Option<c_int> {
        self.faults(call).find_map(|fault| match fault {
            Fault::Fail { number, period, calls } => {
                (calls.fetch_add(1, Ordering::Relaxed) % period == period - 1).then_some(*number)
            }
            Fault::Short { .. } | Fault::ClockOffset { .. } => None,
        })
    }

    /// How many of `length` bytes this call may transfer.
    pub(crate) fn transfer(&self, call: &str, length: usize) -> usize {
        let most = self.faults(call).find_map(|fault| match fault {
            Fault::Short { most } => Some(*most),
            Fault::Fail { .. } | Fault::ClockOffset { .. } => None,
        });
        most.map_or(length, |most| length.min(most))
    }

    /// By how many milliseconds the wall clock is off.
    pub(crate) fn clock_offset(&self) -> i64 {
        let offset = self.faults("clock").find_map(|fault| match fault {
            Fault::ClockOffset { milliseconds } => Some(*milliseconds),
            Fault::Fail { .. } | Fault::Short { .. } => None,
        });
        offset.unwrap_or(0)
    }

    fn faults(&self, call: &str) -> impl Iterator<Item = &Fault> {
        let named = self.entries.iter().filter(move |entry| entry.call == call);
        named.map(|entry| &entry.fault).filter(|_| self.is_in_force())
    }

    fn is_in_force(&self) -> bool {
        let Some(switch) = &self.switch else { return true };
        // SAFETY: the path is a string that ends with a zero byte.
        unsafe { libc::syscall(libc::SYS_access, switch.as_ptr(), libc::F_OK) == 0 }
    }
}

/// Parses one entry. The plan is written by tests: a misspelt one would let them pass with no fault at all, so it ends
/// the process.
fn parse_or_panic(text: &str) -> Entry {
    parse_entry(text)
        .unwrap_or_else(|| panic!("{PLAN_VARIABLE}: {text:?} is no fault; see the documentation of the plan"))
}

fn parse_entry(text: &str) -> Option<Entry> {
    let (call, fault) = text.split_once(':')?;
    let fault = if call == "clock" {
        Fault::ClockOffset { milliseconds: fault.parse().ok()? }
    } else if let Some(most) = fault.strip_prefix("short=") {
        Fault::Short { most: most.parse().ok()? }
    } else {
        let (error, period) = fault.split_once('/').unwrap_or((fault, "1"));
        let period: u64 = period.parse().ok()?;
        Fault::Fail { number: error_number(error)?, period: period.max(1), calls: AtomicU64::new(0) }
    };
    Some(Entry { call: call.to_owned(), fault })
}

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
