//! Load-balancer decisions for services that call services, without I/O.
//!
//! A [`Balancer`] receives [`Event`]s with the time at which they happen, and returns the [`Action`]s to be
//! carried out. It opens no sockets and reads no clock: the same seed, settings and events always give the
//! same actions. The caller owns the connections, the timers and the discovery client.
//!
//! Events must come in the order that [`Event`] documents, and times must never go back.
//!
//! A request from its arrival to its end:
//!
//! ```
//! use zincstand_policy::{
//!     Action, Balancer, Class, Event, Idempotency, ListKind, Outcome, ServerEntry, Settings,
//! };
//!
//! let class = Class {
//!     idempotency: Idempotency::Idempotent,
//!     latency_objective: 500_000,
//!     objective_per_work: 0.0,
//!     deadline: 2_000_000,
//!     priority_weight: 1.0,
//!     late_weight: 0.0,
//!     streaming: false,
//! };
//! let mut balancer = Balancer::new(Settings::new(vec![class]), 1)?;
//!
//! let mut actions = Vec::new();
//! let entries = vec![ServerEntry::new(7)];
//! balancer.handle(0, Event::EndpointList { kind: ListKind::Snapshot, entries }, &mut actions);
//!
//! actions.clear();
//! let request = Event::Request {
//!     id: 1,
//!     class: 0,
//!     time_left: 2_000_000,
//!     tenant: None,
//!     work: None,
//!     marked_retry: false,
//!     body_pending: false,
//! };
//! balancer.handle(1_000, request, &mut actions);
//! assert_eq!(actions, [Action::Send { request: 1, server: 7, limit: 499_000, begin_within: None }]);
//!
//! // The caller sends the attempt, and reports its outcome.
//! actions.clear();
//! let outcome = Event::Outcome {
//!     request: 1,
//!     attempt: 0,
//!     server: 7,
//!     outcome: Outcome::Ok,
//!     latency: 20_000,
//!     finished: true,
//!     body_consumed: false,
//!     load: None,
//! };
//! balancer.handle(21_000, outcome, &mut actions);
//! assert!(actions.is_empty());
//! # Ok::<(), zincstand_policy::SettingsError>(())
//! ```

#![forbid(unsafe_code)]

mod admission;
mod balancer;
mod circuit_breaker;
mod concurrency_limit;
mod context;
mod decaying_rate;
mod endpoints;
mod event;
mod failure_by_idle_time;
mod fleet;
mod histogram;
mod idle_connections;
mod jitter;
mod latency;
mod learned;
mod outcome;
mod outlier;
mod request;
mod retry;
mod selection;
mod settings;
mod slow_start;
mod time_limits;

pub use balancer::Balancer;
pub use event::{
    Action, ClassId, EndReason, Event, ListKind, LoadReport, MachineKindId, Micros, Outcome, RequestId,
    ResponseEnd, ServerEntry, ServerId, ServerState, TenantId, ZoneId,
};
pub use learned::{
    LatencyHistogram, LearnedBreaker, LearnedBucket, LearnedClass, LearnedServer, LearnedState, LearnedZone,
};
pub use settings::{
    Class, DedupScope, DiscoveryMode, Goal, Idempotency, Limits, LoadReporting, Prices, Rules, ServerWeights,
    Settings, SettingsError, Tenant,
};
