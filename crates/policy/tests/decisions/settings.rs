//! Validation of the settings.

use crate::common::settings;
use zincstand_policy::{Balancer, Idempotency, Settings, SettingsError, Tenant};

/// Returns the validation error for the default test settings with the given change.
fn validation_error(change: fn(&mut Settings)) -> SettingsError {
    let mut settings = settings(&[Idempotency::Idempotent]);
    change(&mut settings);
    Balancer::new(settings, 1).err().expect("the settings are invalid")
}

/// Returns the field that the validation error names.
fn invalid_field(change: fn(&mut Settings)) -> String {
    validation_error(change).field().to_owned()
}

#[test]
fn the_error_names_the_field_that_is_out_of_range() {
    assert_eq!(invalid_field(|s| s.classes.clear()), "classes");
    assert_eq!(invalid_field(|s| s.tier = 5), "tier");
    assert_eq!(invalid_field(|s| s.balancer_count = 0), "balancer_count");
    assert_eq!(invalid_field(|s| s.zone_count = 0), "zone_count");
    assert_eq!(invalid_field(|s| s.tick = 0), "tick");
    assert_eq!(invalid_field(|s| s.rules.initial_capacity = f64::NAN), "rules.initial_capacity");
    assert_eq!(invalid_field(|s| s.classes[0].priority_weight = -1.0), "classes[0].priority_weight");
    assert_eq!(invalid_field(|s| s.classes[0].deadline = 0), "classes[0].deadline");
    assert_eq!(invalid_field(|s| s.limits.max_attempts = 0), "limits.max_attempts");
    assert_eq!(invalid_field(|s| s.prices.waste = f64::INFINITY), "prices.waste");
    assert_eq!(invalid_field(|s| s.goal.tail = -0.1), "goal.tail");
    assert_eq!(invalid_field(|s| s.tenants.push(Tenant { share: f64::NAN, quota: 1.0 })), "tenants[0].share");
}

#[test]
fn the_error_has_the_value_and_the_requirement() {
    let message = validation_error(|s| s.rules.initial_capacity = 1.5).to_string();
    assert_eq!(
        message,
        "invalid settings: `rules.initial_capacity` is 1.5, but it must be above 0 and at most 1"
    );
}
