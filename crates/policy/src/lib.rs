//! Load-balancer decisions for services that call services.

mod admission;
mod balancer;
mod circuit_breaker;
mod concurrency_limit;
mod context;
mod decaying_rate;
mod endpoints;
mod event;
mod failure_by_gap;
mod fleet;
mod histogram;
mod idle_connections;
mod learned;
mod learned_conversion;
mod outlier;
mod request;
mod retry;
mod selection;
mod settings;
mod slow_start;
mod time_limits;

pub use balancer::Balancer;
pub use event::{
    Action, ClassId, Event, ListKind, LoadReport, MachineKindId, Micros, Outcome, RequestId, ServerEntry,
    ServerId, ServerState, TenantId, ZoneId,
};
pub use learned::{LatencyHistogram, LearnedClass, LearnedServer, LearnedState, LearnedZone};
pub use settings::{
    Class, DedupScope, DiscoveryMode, Goal, Idempotency, Limits, LoadReporting, Prices, Rules, ServerWeights,
    Settings, SettingsError, Tenant,
};
