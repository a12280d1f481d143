//! What arrives: the rate of requests, how clients behave, and the classes and tenants of requests.

use serde::{Deserialize, Serialize};

use crate::span::Span;

/// First tries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Mean rate a second.
    pub rate: f64,
    /// Part by which the rate swings.
    #[serde(default)]
    pub swing: f64,
    /// How it does.
    pub shape: Shape,
    /// Share of each zone.
    pub zone_shares: Vec<f64>,
    /// Worth of what exceeds a tenant's share.
    pub over_share_worth: f64,
}

/// How the rate of arrivals changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// A sine over the day.
    Wave,
    /// High and low spells of a second or two.
    Bursty,
}

/// Clients' habits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Tries after the first.
    pub retries: u32,
    /// Part of a class's deadline after which a try is given up.
    pub try_share: f64,
    /// First wait before a retry; it doubles.
    pub backoff: Span,
    /// Share of clients that heed `Retry-After`.
    pub honour: f64,
    /// Share of tries that leave early.
    #[serde(default)]
    pub impatient: f64,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Anything.
    Safe,
    /// Within the cell and the window, see [`Class::repeats_dropped`].
    Keyed,
    /// Nothing that may have run.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
    /// Mean work of all tiers' first calls.
    pub work: Span,
    /// How the work is spread.
    pub spread: Spread,
    /// Standard deviation of the work, in means.
    pub cv: f64,
    /// No request is more work than this.
    pub most_work: Span,
    /// The same for attempts of one request.
    #[serde(default)]
    pub attempt_noise: f64,
    /// An answer within this is worth all.
    pub aim: Span,
    /// A client gives up after this.
    pub deadline: Span,
    /// Worth of a request.
    pub worth: f64,
    /// Part that a late answer earns.
    pub late_worth: f64,
    /// What may be repeated.
    pub effect: Effect,
    /// How long servers drop repeats of keyed ones.
    #[serde(default)]
    pub repeats_dropped: Span,
}

/// How work is spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// Log-normal.
    Lognormal,
    /// Pareto.
    Pareto,
}

/// One of those who share the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of the service.
    pub share: f64,
    /// Requests a second that are worth all.
    pub quota: f64,
    /// Its traffic beside its share.
    pub usage: f64,
}
