use super::*;

/// Settings that give each key a value other than its default.
const ALL_KEYS: &str = r#"{"Areas":["a","b"],"Balancers":5,"Me":3,
        "Categories":[{"AimStretch":0.5,"DeadlineMs":9.0,
        "DedupWindowMs":7.0,"Effect":"dedup","Group":"cell","LateWorth":0.2,"Name":"c","Streaming":true,
        "TargetMs":8.0,"Value":2.0}],"ClientHabits":{"MarksRetry":true},"Discovery":"subscribe",
        "Extra":{"PassesDeadline":true},"Goal":{"TailMiss":0.01,"TailPart":0.1,"Whole":0.2,"WorstClass":0.3,
        "WorstTenant":0.4,"WorstWindow":0.5},"GranularityMs":5.0,"Limits":{"Cancel":true,
        "ConnectTimeoutMs":250.0,"CpuUsPerRequest":10.5,"CpuUsPerS":29691,"IdleCloseMs":30.0,"MaxOpen":39,
        "MaxRetryAfterMs":2.0,"MaxStreams":1,"MostTries":3,"Probing":true,"RetryAfter":true,
        "SecondCopies":true},"OverShareWorth":0.05,"Realms":[{"Name":"t","QuotaRps":74.0,"Share":0.4}],
        "Rules":{"AskWithinMs":10.0,"ColdFrom":0.13,"DrainGraceMs":1.0,"GraceToAnswerMs":20.0,
        "OverloadFactor":3.0,"TipAfterMs":4.0,"WarmAfterMs":24.0},"Stage":1,"Stats":{"How":"probe"},
        "Tariffs":{"Connection":1.0,"CrossZone":2.0,"Discovery":3.0,"Handshake":4.0,"LateFail":5.0,
        "Probe":6.0,"Waste":7.0},"Tiers":["x","y"],"Weights":"live","WorthBy":"work","Zone":"b"}"#;

fn parse(json: &str) -> Setup {
    serde_json::from_str(json).expect("the JSON matches the schema of the settings")
}

fn expected_class() -> policy::Class {
    policy::Class {
        idempotency: policy::Idempotency::WithKey { scope: policy::DedupScope::Cell, window: 7_000 },
        latency_objective: 8_000,
        objective_per_work: 0.5,
        deadline: 9_000,
        priority_weight: 2.0,
        late_weight: 0.2,
        streaming: true,
    }
}

fn expected_limits() -> policy::Limits {
    policy::Limits {
        cancel: true,
        health_checks: true,
        hedging: true,
        retry_after: true,
        max_retry_after: 2_000,
        max_attempts: 3,
        max_open_requests: 39,
        max_streams: 1,
        idle_timeout: 30_000,
        connect_timeout: 250_000,
        cpu_per_second: 29_691,
        cpu_per_request: 10.5,
    }
}

fn expected_rules() -> policy::Rules {
    policy::Rules {
        initial_capacity: 0.13,
        warm_up_time: 24_000,
        overload_factor: 3.0,
        overload_window: 4_000,
        max_poll_interval: 10_000,
        drain_grace: 1_000,
        response_grace: 20_000,
    }
}

fn expected_prices() -> policy::Prices {
    policy::Prices {
        cross_zone: 2.0,
        health_check: 6.0,
        late_fail: 5.0,
        waste: 7.0,
        connection: 1.0,
        handshake: 4.0,
        discovery: 3.0,
    }
}

fn expected_goal() -> policy::Goal {
    policy::Goal {
        overall: 0.2,
        worst_window: 0.5,
        worst_class: 0.3,
        worst_tenant: 0.4,
        tail: 0.1,
        tail_miss: 0.01,
    }
}

#[test]
fn every_key_is_converted() {
    let expected = policy::Settings {
        balancer_index: 3,
        balancer_count: 5,
        zone: 0,
        zone_count: 2,
        tier: 1,
        tier_count: 2,
        propagates_deadline: true,
        classes: vec![expected_class()],
        weight_by_work: true,
        tenants: vec![policy::Tenant { share: 0.4, quota: 74.0 }],
        over_quota_weight: 0.05,
        clients_mark_retries: true,
        weights: policy::ServerWeights::Live,
        discovery: policy::DiscoveryMode::Poll,
        load_reporting: policy::LoadReporting::HealthChecks,
        limits: expected_limits(),
        rules: expected_rules(),
        prices: expected_prices(),
        goal: expected_goal(),
        tick: 5_000,
    };
    assert_eq!(parse(ALL_KEYS).to_policy_settings(&mut Names::default()), Ok(expected));
}

#[test]
fn absent_keys_and_unknown_values_take_their_defaults() {
    let json = r#"{"Areas":[],"Balancers":1,"Categories":[{"DeadlineMs":9.0,"Effect":"dedup","Name":"c",
        "TargetMs":8.0}],"Discovery":"automatic","GranularityMs":5.0,"Limits":{"MostTries":1},
        "Rules":{"ColdFrom":0.1,"OverloadFactor":3.0,"TipAfterMs":4.0,"WarmAfterMs":24.0},
        "Stats":{"How":"not known"},"Weights":"not known","WorthBy":"not known","Zone":"b","NotKnown":1}"#;
    let settings = parse(json).to_policy_settings(&mut Names::default()).expect("the settings are valid");
    assert_eq!(settings.zone_count, 1);
    assert_eq!(settings.tier_count, 1);
    assert_eq!(settings.over_quota_weight, 1.0);
    assert_eq!(settings.weights, policy::ServerWeights::None);
    assert_eq!(settings.load_reporting, policy::LoadReporting::None);
    assert!(!settings.weight_by_work);
    assert_eq!(settings.classes[0].priority_weight, 1.0);
    let with_key = policy::Idempotency::WithKey { scope: policy::DedupScope::All, window: 0 };
    assert_eq!(settings.classes[0].idempotency, with_key);
    assert_eq!(settings.prices, policy::Prices::default());
}
