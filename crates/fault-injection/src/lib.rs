//! Lets chosen system calls of one process fail as Linux documents that they may. The library is preloaded into the
//! program under test (`LD_PRELOAD`); it defines some functions of the C library anew, which fail or fall short as the
//! plan in [`PLAN_VARIABLE`] says and else make the system call.
//!
//! It is for tests alone: nothing that is deployed depends on it.

// Functions of the C library take raw pointers; each call passes on what its caller has vouched for.
#![allow(unsafe_code)]

mod hooks;
mod plan;

use std::path::PathBuf;

/// The environment variable with the plan: entries like `accept4:ECONNABORTED/3` (every third call fails),
/// `recv:EINTR/7`, `recv:short=7` (no call transfers more than 7 bytes) or `clock:30000` (the wall clock is ahead by so
/// many milliseconds), separated by commas.
pub const PLAN_VARIABLE: &str = "ZINCSTAND_FAULT_PLAN";
/// The environment variable that names a file: the plan is in force only while it exists. Without the variable it
/// always is.
pub const SWITCH_VARIABLE: &str = "ZINCSTAND_FAULT_SWITCH";

/// The path of the library to preload, beside the test program that calls this: cargo builds both into one folder.
///
/// # Panics
/// The path of the running program is not known.
pub fn library_path() -> PathBuf {
    let program = std::env::current_exe().expect("the path of the running program is known");
    let folder = program.parent().expect("a program is in a folder");
    let name = "libzincstand_fault_injection.so";
    let beside = folder.join(name);
    // Programs that are no tests stand one folder above the libraries.
    if beside.exists() { beside } else { folder.join("deps").join(name) }
}
