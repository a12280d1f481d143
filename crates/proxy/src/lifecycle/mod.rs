//! The lifecycle of the process: its phases, the operator overrides and the hot restart.

mod atomic_file;
pub mod hot_restart;
pub mod overrides;
mod phase;
mod process_lifecycle;
pub mod state_folder;

pub use phase::Phase;
pub use process_lifecycle::Lifecycle;
