//! Conversion of enumerations and load reports of the wire to those of the policy.

use zincstand_policy as policy;
use zincstand_settings::micros_from_millis;

use crate::wire::message::{EndpointState, ListKind, LoadReport, Outcome};

/// Converts the outcome of an attempt or health check.
pub fn outcome(outcome: Outcome) -> policy::Outcome {
    match outcome {
        Outcome::Served => policy::Outcome::Ok,
        Outcome::Error => policy::Outcome::Error,
        Outcome::Rejected => policy::Outcome::Rejected,
        Outcome::TimedOut => policy::Outcome::TimedOut,
        Outcome::ConnectFailed => policy::Outcome::ConnectFailed,
        Outcome::Reset => policy::Outcome::Reset,
        Outcome::Cancelled => policy::Outcome::Cancelled,
        Outcome::NotSent => policy::Outcome::NotSent,
    }
}

/// Converts a load report.
pub fn load_report(report: LoadReport) -> policy::LoadReport {
    policy::LoadReport {
        in_flight: report.in_flight,
        queue: report.queued,
        utilization: report.utilization,
        throughput: report.throughput,
        latency: report.latency_ms.map(micros_from_millis),
        errors: report.errors_per_second,
    }
}

/// Converts the kind of an endpoint list.
pub fn list_kind(kind: ListKind) -> policy::ListKind {
    match kind {
        ListKind::Delta => policy::ListKind::Delta,
        ListKind::Snapshot => policy::ListKind::Snapshot,
        ListKind::CachedSnapshot => policy::ListKind::CachedSnapshot,
        ListKind::Failed => policy::ListKind::Failed,
    }
}

/// Converts the state of a server.
pub fn server_state(state: EndpointState) -> policy::ServerState {
    match state {
        EndpointState::Ready => policy::ServerState::Ready,
        EndpointState::Draining => policy::ServerState::Draining,
        EndpointState::Removed => policy::ServerState::Removed,
    }
}
