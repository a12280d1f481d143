//! Injects faults into system calls of one process. The faults are errors and short transfers that Linux documents for
//! these calls, and an offset of the wall clock. The library is preloaded into the program under test with `LD_PRELOAD`
//! and replaces some functions of the C library. If the fault plan in [`PLAN_VARIABLE`] has a fault for a call, the
//! replaced function fails or transfers fewer bytes; otherwise it makes the system call.
//!
//! The library is for tests only. No deployed program depends on it.

// Functions of the C library take raw pointers. Each replacement passes on pointers for which its caller is
// responsible.
#![allow(unsafe_code)]

mod hooks;
mod plan;

use std::path::PathBuf;

/// Name of the environment variable with the fault plan, a comma-separated list of faults. Examples:
/// `accept4:ECONNABORTED/3` fails every third call, `recv:short=7` limits each call to 7 bytes, and `clock:30000` sets
/// the wall clock 30,000 ms ahead.
pub const PLAN_VARIABLE: &str = "ZINCSTAND_FAULT_PLAN";
/// Name of the environment variable with the path of the switch file. The plan is active only while that file exists;
/// without the variable it is always active.
pub const SWITCH_VARIABLE: &str = "ZINCSTAND_FAULT_SWITCH";

/// Returns the path of the library to preload. Cargo builds it into the same directory as the test programs.
///
/// # Panics
///
/// Panics if the path of the running program cannot be determined.
pub fn library_path() -> PathBuf {
    let program = std::env::current_exe().expect("the path of the running program is known");
    let directory = program.parent().expect("the path of a program has a parent directory");
    let file_name = "libzincstand_fault_injection.so";
    let in_same_directory = directory.join(file_name);
    // Programs other than tests are built one directory above the libraries.
    if in_same_directory.exists() { in_same_directory } else { directory.join("deps").join(file_name) }
}
