//! The settings that a balancer of a scenario is configured with.

use zincstand_policy::{self as policy, Micros};

use super::{Class, DiscoveryMode, Idempotency, Scenario, Tier};

impl Scenario {
    /// Returns the settings of the balancer with index `balancer_index` of `tier`, located in `zone`.
    ///
    /// # Panics
    ///
    /// The scenario has no such tier.
    pub fn settings(&self, tier: usize, balancer_index: u32, zone: u32) -> policy::Settings {
        policy::Settings {
            balancer_index,
            balancer_count: self.balancer_count(tier),
            zone,
            zone_count: self.zones.len() as u32,
            tier: tier as u32,
            tier_count: self.tiers.len() as u32,
            propagates_deadline: self.passes_deadline,
            tenants: self.policy_tenants(),
            over_quota_weight: self.load.over_quota_weight,
            clients_mark_retries: true,
            discovery: self.discovery_mode(),
            limits: self.policy_limits(&self.tiers[tier]),
            rules: self.policy_rules(&self.tiers[tier]),
            prices: self.policy_prices(),
            goal: self.policy_goal(),
            ..policy::Settings::new(self.classes.iter().map(policy_class).collect())
        }
    }

    /// Returns the number of balancers that send to `tier`. In tiers after the first, each server of the tier before
    /// has a balancer.
    fn balancer_count(&self, tier: usize) -> u32 {
        if tier == 0 { self.balancers.zones.len() as u32 } else { self.tiers[tier - 1].servers.iter().sum() }
    }

    fn policy_tenants(&self) -> Vec<policy::Tenant> {
        self.tenants
            .iter()
            .map(|tenant| policy::Tenant { share: tenant.share, quota: tenant.quota })
            .collect()
    }

    fn discovery_mode(&self) -> policy::DiscoveryMode {
        match self.discovery.mode {
            DiscoveryMode::Push => policy::DiscoveryMode::Push,
            DiscoveryMode::Poll => policy::DiscoveryMode::Poll,
        }
    }

    fn policy_limits(&self, tier: &Tier) -> policy::Limits {
        policy::Limits {
            cancel: true,
            health_checks: self.limits.health_checks,
            hedging: self.limits.hedging,
            retry_after: self.limits.retry_after,
            max_retry_after: self.limits.max_retry_after.0,
            max_attempts: self.limits.max_attempts,
            max_open_requests: self.limits.max_open_requests,
            max_streams: 1,
            idle_timeout: tier.connections.idle_timeout.0,
            connect_timeout: tier.connections.connect_timeout.0,
            cpu_per_second: (self.balancers.cores * 1e6) as Micros,
            cpu_per_request: 0.0,
        }
    }

    fn policy_rules(&self, tier: &Tier) -> policy::Rules {
        policy::Rules {
            initial_capacity: tier.initial_capacity,
            warm_up_time: tier.warm_up_time.0,
            overload_factor: self.rules.overload_factor,
            overload_window: self.rules.overload_window.0,
            max_poll_interval: self.rules.poll_within.0,
            drain_grace: self.rules.drain_grace.0,
            response_grace: self.rules.response_grace.0,
        }
    }

    fn policy_prices(&self) -> policy::Prices {
        policy::Prices {
            cross_zone: self.prices.cross_zone,
            health_check: self.prices.health_check,
            late_fail: self.prices.late_fail,
            waste: self.prices.waste,
            handshake: self.prices.handshake,
            ..policy::Prices::default()
        }
    }

    fn policy_goal(&self) -> policy::Goal {
        policy::Goal {
            overall: self.goal.total,
            worst_window: self.goal.worst_window,
            worst_class: self.goal.worst_class,
            worst_tenant: self.goal.worst_tenant,
            ..policy::Goal::default()
        }
    }
}

fn policy_class(class: &Class) -> policy::Class {
    policy::Class {
        idempotency: idempotency(class),
        latency_objective: class.latency_objective.0,
        objective_per_work: 0.0,
        deadline: class.deadline.0,
        priority_weight: class.priority_weight,
        late_weight: class.late_weight,
        streaming: false,
    }
}

fn idempotency(class: &Class) -> policy::Idempotency {
    match class.idempotency {
        Idempotency::Idempotent => policy::Idempotency::Idempotent,
        Idempotency::WithKey => {
            policy::Idempotency::WithKey { scope: policy::DedupScope::Cell, window: class.dedup_window.0 }
        }
        Idempotency::NotIdempotent => policy::Idempotency::NotIdempotent,
    }
}
