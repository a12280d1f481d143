//! The phases of the process's life, and what outlives the process: operator overrides and the state for a hot restart.

mod atomic_file;
pub mod hot_restart;
pub mod overrides;
mod phase;
mod process_lifecycle;
pub mod state_folder;

pub use phase::Phase;
pub use process_lifecycle::Lifecycle;
