//! The configuration of a real balancer in a measurement.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// What is set of a balancer's configuration; the rest is the same in every measurement.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// The number of zones that the settings name.
    pub zones: usize,
    /// How many balancers share the upstreams.
    pub balancers: u32,
    /// The number of request classes: `look`, and others beside it.
    pub classes: usize,
    /// The number of tenants, none with a quota.
    pub tenants: usize,
    /// Sockets that it may open.
    pub sockets: usize,
    /// Memory that it may use, in MB.
    pub memory_mb: u32,
    /// How long upstreams keep an idle connection, in milliseconds; 0 if that is not known.
    pub idle_close_ms: u32,
    /// Latency objective and deadline of every class, in milliseconds.
    pub deadline_ms: u32,
    /// How soon a balancer must know that an upstream is draining, in milliseconds; the wait of watches follows it.
    pub drain_grace_ms: u32,
}

impl Settings {
    /// One balancer alone, with the memory that it is designed for.
    pub fn alone(discovery: SocketAddr) -> Settings {
        Settings {
            discovery,
            zones: 1,
            balancers: 1,
            classes: 1,
            tenants: 0,
            sockets: 1024,
            memory_mb: 32,
            idle_close_ms: 0,
            deadline_ms: 1000,
            drain_grace_ms: 4000,
        }
    }

    /// The configuration file's content, in the platform's names.
    pub fn config(&self) -> Value {
        let zones: Vec<_> = (0..self.zones.max(1)).map(|zone| format!("zone-{zone:02}")).collect();
        json!({
            "name": "scale",
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.to_string(),
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "settings": {
                "Areas": zones,
                "Zone": zones[0],
                "Balancers": self.balancers,
                "Me": 0,
                "Categories": self.classes(),
                "Realms": self.tenants(),
                "Discovery": "automatic",
                "GranularityMs": 1.0,
                "Limits": {
                    "Cancel": true, "MostTries": 3, "RetryAfter": true, "ConnectTimeoutMs": 500.0,
                    "IdleCloseMs": self.idle_close_ms,
                },
                "Rules": {
                    "AskWithinMs": 40.0, "ColdFrom": 0.5, "DrainGraceMs": self.drain_grace_ms,
                    "OverloadFactor": 3.0, "TipAfterMs": 1000.0, "WarmAfterMs": 5000.0,
                },
                "Stage": 0,
                "Tiers": ["t"],
            },
        })
    }

    fn classes(&self) -> Vec<Value> {
        let class = |index: usize| {
            let name = if index == 0 { "look".to_owned() } else { format!("look-{index}") };
            json!({
                "Name": name, "Effect": "retryable", "TargetMs": self.deadline_ms,
                "DeadlineMs": self.deadline_ms, "LateWorth": 0.0, "Value": 1.0,
            })
        };
        (0..self.classes).map(class).collect()
    }

    fn tenants(&self) -> Vec<Value> {
        let tenant = |index| json!({"Name": format!("tenant-{index}"), "Share": 1.0});
        (0..self.tenants).map(tenant).collect()
    }
}
