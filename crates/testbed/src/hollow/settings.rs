//! The settings of hollow balancers, in the form of the settings object in the configuration of a real balancer.

use serde_json::{Value, json};

use super::{FleetOptions, UpdateMode};

/// Returns the settings that all balancers of a fleet share, with the platform's key names.
pub fn platform_settings(options: &FleetOptions) -> Value {
    let zones: Vec<_> = (0..options.zones.max(1)).map(|zone| format!("zone-{zone:02}")).collect();
    let discovery = match options.update_mode {
        UpdateMode::Push => "automatic",
        UpdateMode::Poll => "subscribe",
    };
    json!({
        "Areas": zones,
        "Zone": zones[0],
        "Balancers": options.balancers,
        "Me": 0,
        "Discovery": discovery,
        "Categories": [
            class("read", "retryable", 2_000.0),
            class("order", "dedup", 3_000.0),
            class("pay", "fragile", 3_000.0),
        ],
        "GranularityMs": 1.0,
        "Limits": {
            "Cancel": true, "ConnectTimeoutMs": 100.0, "IdleCloseMs": 30_000.0, "MaxOpen": 20_000,
            "MaxRetryAfterMs": 3_000.0, "MostTries": 4, "RetryAfter": true,
        },
        "Rules": {
            "AskWithinMs": options.poll_within.as_secs_f64() * 1e3,
            "ColdFrom": 0.3,
            "DrainGraceMs": options.drain_grace.as_secs_f64() * 1e3,
            "OverloadFactor": 4.0,
            "TipAfterMs": 1_500.0,
            "WarmAfterMs": 8_800.0,
        },
    })
}

fn class(name: &str, effect: &str, deadline_ms: f64) -> Value {
    json!({
        "Name": name, "Effect": effect, "Group": "all", "DedupWindowMs": 10_000.0, "TargetMs": deadline_ms / 3.0,
        "DeadlineMs": deadline_ms, "LateWorth": 0.2, "Streaming": false, "Value": 1.0,
    })
}
