//! Owns the policy and everything it decides on: active requests, attempts in flight and timers. [`Dispatcher`] is the
//! only caller of the policy; sockets are used through [`Transport`], which the folders above implement.

mod active_requests;
mod attempts;
mod clock;
mod completion;
mod dispatcher;
mod endpoints;
mod messages;
mod pending_request;
mod saved_state;
mod timers;
mod transport;

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use zincstand_policy as policy;
use zincstand_policy::ServerId;

pub use completion::AttemptCompletion;
pub use dispatcher::Dispatcher;
pub use messages::{BodyEnd, Failure, FinalResponse, HealthCheckResult, IncomingRequest};
pub use pending_request::PendingRequest;
pub use transport::Transport;

/// What a process leaves to the one that takes its place: what the module has learned, and what its numbers mean.
#[derive(Serialize, Deserialize)]
pub struct SavedState {
    learned: policy::LearnedState,
    zones: HashMap<u32, String>,
    servers: HashMap<ServerId, String>,
}

#[cfg(test)]
mod tests;
