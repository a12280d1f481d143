//! The configuration of a real balancer in a measurement.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// The values of a balancer's configuration that differ between measurements.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The number of zones.
    pub zones: usize,
    /// The number of balancers that share the upstreams.
    pub balancers: u32,
    /// The number of request classes. The first is `look`, which the clients use.
    pub classes: usize,
    /// The number of tenants, which have no quotas.
    pub tenants: usize,
    /// The limit on open sockets of the balancer.
    pub sockets: usize,
    /// The limit on the memory of the balancer in MB.
    pub memory_mb: u32,
    /// The idle timeout of upstream connections in milliseconds; 0 if it is unknown.
    pub idle_close_ms: u32,
    /// The latency objective and the deadline of each class in milliseconds.
    pub deadline_ms: u32,
    /// The time in milliseconds within which a balancer must know that an upstream is draining. The wait of watches is
    /// derived from it.
    pub drain_grace_ms: u32,
}

impl Settings {
    /// Returns the settings of a single balancer, with the memory limit that the proxy is designed for.
    pub fn for_single_balancer(discovery: SocketAddr) -> Settings {
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

    /// Returns the content of the configuration file, with the platform's key names.
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
