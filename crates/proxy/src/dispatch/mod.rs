//! The owner of the policy and of the state that it decides on: active requests, attempts in flight and timers.
//!
//! [`Dispatcher`] is the only caller of the policy. It uses sockets through [`Transport`], which `process` implements with
//! the connections of `upstream` and the client of `discovery`.

mod active_request;
mod active_requests;
mod applied_overrides;
mod attempt_messages;
mod attempts;
mod begin_check;
mod clock;
mod completion;
mod dispatcher;
mod endpoint_table;
mod endpoints;
mod event_queue;
mod messages;
mod pending_request;
mod policy_owner;
mod request_log;
mod saved_state;
mod timer_task;
mod timers;
mod transport;

pub use begin_check::{BeginCheck, StaleReason};
pub use completion::{AttemptCompletion, ResponseCompletion};
pub use dispatcher::Dispatcher;
pub use messages::{BodyEnd, Failure, FinalResponse, HealthCheckResult, IncomingRequest};
pub use pending_request::PendingRequest;
pub use transport::Transport;

#[cfg(test)]
mod tests;
