//! The hot restart, in which a successor replaces a process without an interruption of service: the listener that the
//! platform passes on, the registration of the running processes, and the state that a process saves for its successor.

mod inherited_listener;
mod process_registration;
mod saved_state;

pub use inherited_listener::{InheritedListenerError, inherit_listener};
pub use process_registration::{MAX_PROCESSES, ProcessRegistration, ProcessRegistrationError};
pub use saved_state::SavedState;

#[cfg(test)]
mod tests;
