//! The plain scenario: one tier and one class without faults. Only cores are scarce.

use crate::scenario::{
    Balancers, Class, Clients, Connections, Discovery, DiscoveryMode, DistributionKind, Goal, Idempotency,
    Limits, Load, LoadShape, Network, Prices, Rules, Scenario, Tier,
};
use crate::span::Span;

/// Limit that no server of a plain scenario reaches.
const UNLIMITED: u32 = 100_000;

/// Returns a scenario of one tier and one class without faults. Each zone has `servers` servers and as many
/// balancers, and clients do not retry. `rate` is in requests per second. Only cores are scarce, so that copies of
/// the tier behave alike.
pub(crate) fn plain(seed: u64, seconds: f64, zones: Vec<String>, servers: u32, rate: f64) -> Scenario {
    Scenario {
        name: String::new(),
        seed,
        length: Span::s(seconds),
        network: network(),
        discovery: discovery(),
        passes_deadline: true,
        balancers: balancers(&zones, servers),
        load: load(rate, zones.len()),
        clients: clients(),
        limits: limits(),
        rules: rules(),
        goal: Goal { total: 1.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 },
        prices: Prices::default(),
        tiers: vec![tier(servers, zones.len())],
        classes: vec![class()],
        tenants: Vec::new(),
        faults: Vec::new(),
        zones,
    }
}

fn network() -> Network {
    Network { same_zone: Span::ms(0.1), cross_zone: Span::ms(0.5), client: Span::ms(0.1), jitter: 0.2 }
}

fn discovery() -> Discovery {
    Discovery {
        mode: DiscoveryMode::Push,
        detection_delay: Span::ms(200.0),
        silent_detection_delay: Span::s(3.0),
        registration_delay: Span::ms(500.0),
        batch_interval: Span::ms(200.0),
        max_delivery_delay: Span::ms(500.0),
        failure_share: 0.0,
    }
}

/// Returns `per_zone` balancers in each zone. Consecutive balancers are in different zones.
fn balancers(zones: &[String], per_zone: u32) -> Balancers {
    let count = zones.len() * per_zone as usize;
    Balancers {
        shares: Vec::new(),
        zones: zones.iter().cycle().take(count).cloned().collect(),
        cores: 1.0,
        event_cost: Span(10),
        clock_spread: Span(0),
        detection_delay: Span::s(1.0),
    }
}

fn load(rate: f64, zone_count: usize) -> Load {
    Load {
        rate,
        amplitude: 0.0,
        shape: LoadShape::Sine,
        zone_shares: vec![1.0; zone_count],
        over_quota_weight: 1.0,
    }
}

fn clients() -> Clients {
    Clients {
        retries: 0,
        attempt_timeout_share: 1.0,
        backoff: Span::ms(50.0),
        retry_after_share: 1.0,
        early_cancel_share: 0.0,
    }
}

fn limits() -> Limits {
    Limits {
        max_attempts: 4,
        max_open_requests: 100_000,
        hedging: false,
        health_checks: false,
        retry_after: true,
        max_retry_after: Span::s(2.0),
    }
}

fn rules() -> Rules {
    Rules {
        drain_grace: Span::s(1.0),
        response_grace: Span::ms(20.0),
        overload_factor: 2.0,
        overload_window: Span::s(1.0),
        poll_within: Span::s(10.0),
    }
}

fn tier(servers: u32, zone_count: usize) -> Tier {
    Tier {
        name: "upstreams".to_owned(),
        servers: vec![servers; zone_count],
        work: 1.0,
        calls: 0.0,
        cell_size: 4,
        cores: 2,
        speed: 1.0,
        speed_cv: 0.0,
        slots: UNLIMITED,
        queue_capacity: UNLIMITED,
        thrash: 0.0,
        thrash_threshold: f64::from(UNLIMITED),
        initial_capacity: 0.3,
        warm_up_time: Span::s(10.0),
        pause_interval: Span(0),
        pause: Span(0),
        pause_growth: 0.0,
        error_rate: 0.0,
        connections: connections(),
        health_check_work: Span::ms(1.0),
        choke: None,
    }
}

fn connections() -> Connections {
    Connections {
        handshake_round_trips: 1.0,
        handshake_work: Span(0),
        idle_timeout: Span::s(30.0),
        connect_timeout: Span::ms(100.0),
        max_connections: 1_000_000,
        full_table_overhead: 0.0,
    }
}

fn class() -> Class {
    Class {
        name: "call".to_owned(),
        share: 1.0,
        work: Span::ms(100.0),
        distribution: DistributionKind::Lognormal,
        work_cv: 0.5,
        max_work: Span::ms(400.0),
        attempt_noise: 0.0,
        latency_objective: Span::s(1.0),
        deadline: Span::s(2.0),
        priority_weight: 1.0,
        late_weight: 0.5,
        idempotency: Idempotency::Idempotent,
        dedup_window: Span(0),
    }
}
