//! Conversion of the platform's settings to the policy's settings.

use zincstand_policy as policy;

use crate::names::Names;
use crate::schema::{
    Class, DiscoveryMode, GoalWeights, Idempotency, Limits, LoadReporting, Rules, ServerWeights, Setup,
    Tenant, WeightBasis,
};
use crate::units::micros_from_millis;
use crate::validation::{SettingsError, ValidSetup, validate};

impl Setup {
    /// Validates the settings and converts them to the policy's settings. Adds the zone of the balancer to
    /// `zones`.
    ///
    /// # Errors
    ///
    /// Returns an error for the first key whose value is invalid.
    pub fn to_policy_settings(&self, zones: &mut Names) -> Result<policy::Settings, SettingsError> {
        let valid = validate(self)?;
        Ok(policy::Settings {
            balancer_index: self.balancer_index,
            balancer_count: self.balancer_count,
            zone: zones.intern(&self.zone),
            // A deployment that names no zones has one zone, and one that names no tiers has one tier.
            zone_count: (self.zones.len() as u32).max(1),
            tier: self.tier_index,
            tier_count: (self.tiers.len() as u32).max(1),
            propagates_deadline: self.service_traits.propagates_deadline,
            classes: classes(&valid),
            weight_by_work: self.weight_basis == WeightBasis::Work,
            tenants: self.tenants.iter().map(tenant).collect(),
            over_quota_weight: self.over_quota_weight,
            clients_mark_retries: self.client_behavior.marks_retries,
            weights: server_weights(self.server_weights),
            discovery: discovery_mode(self.discovery),
            load_reporting: load_reporting(self.load_reports.mode),
            limits: limits(&self.limits),
            rules: rules(&self.rules),
            prices: self.policy_prices(),
            goal: goal(&self.goal),
            tick: micros_from_millis(self.tick_ms),
        })
    }

    /// Returns the prices that the policy uses: 0 for each that the platform leaves out. Other prices are
    /// ignored.
    fn policy_prices(&self) -> policy::Prices {
        let price = |name: &str| self.prices.get(name).copied().unwrap_or(0.0);
        policy::Prices {
            cross_zone: price("CrossZone"),
            health_check: price("Probe"),
            late_fail: price("LateFail"),
            waste: price("Waste"),
            connection: price("Connection"),
            handshake: price("Handshake"),
            discovery: price("Discovery"),
        }
    }
}

fn classes(valid: &ValidSetup<'_>) -> Vec<policy::Class> {
    let classes_with_scopes = valid.setup.classes.iter().zip(&valid.dedup_scopes);
    classes_with_scopes.map(|(settings, scope)| class(settings, *scope)).collect()
}

fn class(class: &Class, scope: policy::DedupScope) -> policy::Class {
    let idempotency = match class.idempotency {
        Idempotency::Idempotent => policy::Idempotency::Idempotent,
        Idempotency::NotIdempotent => policy::Idempotency::NotIdempotent,
        Idempotency::WithKey => {
            let window = micros_from_millis(class.dedup_window_ms);
            policy::Idempotency::WithKey { scope, window }
        }
    };
    policy::Class {
        idempotency,
        latency_objective: micros_from_millis(class.latency_objective_ms),
        objective_per_work: class.objective_per_work,
        deadline: micros_from_millis(class.deadline_ms),
        priority_weight: class.priority_weight,
        late_weight: class.late_weight,
        streaming: class.streaming,
    }
}

fn tenant(tenant: &Tenant) -> policy::Tenant {
    policy::Tenant { share: tenant.share, quota: tenant.quota_per_second }
}

fn server_weights(weights: ServerWeights) -> policy::ServerWeights {
    match weights {
        ServerWeights::Nominal => policy::ServerWeights::Nominal,
        ServerWeights::Rough => policy::ServerWeights::Rough,
        ServerWeights::Live => policy::ServerWeights::Live,
        ServerWeights::None => policy::ServerWeights::None,
    }
}

fn discovery_mode(mode: DiscoveryMode) -> policy::DiscoveryMode {
    match mode {
        DiscoveryMode::Push => policy::DiscoveryMode::Push,
        DiscoveryMode::Poll => policy::DiscoveryMode::Poll,
    }
}

fn load_reporting(mode: LoadReporting) -> policy::LoadReporting {
    match mode {
        LoadReporting::Responses => policy::LoadReporting::Responses,
        LoadReporting::HealthChecks => policy::LoadReporting::HealthChecks,
        LoadReporting::None => policy::LoadReporting::None,
    }
}

fn limits(limits: &Limits) -> policy::Limits {
    policy::Limits {
        cancel: limits.cancel,
        health_checks: limits.health_checks,
        hedging: limits.hedging,
        retry_after: limits.retry_after,
        max_retry_after: micros_from_millis(limits.max_retry_after_ms),
        max_attempts: limits.max_attempts,
        max_open_requests: limits.max_open_requests,
        max_streams: limits.max_streams,
        idle_timeout: micros_from_millis(limits.idle_timeout_ms),
        connect_timeout: micros_from_millis(limits.connect_timeout_ms),
        cpu_per_second: limits.cpu_micros_per_second as policy::Micros,
        cpu_per_request: limits.cpu_micros_per_request,
    }
}

fn rules(rules: &Rules) -> policy::Rules {
    policy::Rules {
        initial_capacity: rules.initial_capacity,
        warm_up_time: micros_from_millis(rules.warm_up_time_ms),
        overload_factor: rules.overload_factor,
        overload_window: micros_from_millis(rules.overload_window_ms),
        max_poll_interval: micros_from_millis(rules.max_poll_interval_ms),
        drain_grace: micros_from_millis(rules.drain_grace_ms),
        response_grace: micros_from_millis(rules.response_grace_ms),
    }
}

fn goal(goal: &GoalWeights) -> policy::Goal {
    policy::Goal {
        overall: goal.overall,
        worst_window: goal.worst_window,
        worst_class: goal.worst_class,
        worst_tenant: goal.worst_tenant,
        tail: goal.tail,
        tail_miss: goal.tail_miss,
    }
}

#[cfg(test)]
mod tests;
