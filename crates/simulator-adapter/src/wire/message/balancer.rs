//! Messages about a balancer: its start, its end, and its timers.

use serde::Deserialize;
use zincstand_settings::Setup;

/// The start of a balancer (`PowerOn`).
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct BalancerStart {
    /// Id of the balancer.
    pub balancer_id: u64,
    /// Seed of its random numbers.
    pub rng_seed: u64,
    /// Settings of the balancer.
    pub setup: Box<Setup>,
}

/// The end of a balancer (`Teardown`).
#[derive(Deserialize)]
pub struct BalancerStop {
    /// Id of the balancer.
    #[serde(rename = "BalancerId")]
    pub balancer_id: u64,
}

/// A timer that has fired (`Bell`).
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Timer {
    /// Id of the balancer that set the timer.
    pub balancer_id: u64,
    /// Token of the timer.
    #[serde(rename = "Ctx")]
    pub token: u64,
}
