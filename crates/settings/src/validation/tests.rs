use serde_json::{Value, json};

use super::*;

/// Returns valid settings.
fn setup() -> Value {
    json!({
        "Areas": ["a"], "Balancers": 1, "Discovery": "automatic", "GranularityMs": 5.0, "Zone": "a",
        "Categories": [
            {"Name": "get", "Effect": "retryable", "TargetMs": 8.0, "DeadlineMs": 9.0},
            {"Name": "put", "Effect": "dedup", "Group": "cell", "TargetMs": 8.0, "DeadlineMs": 9.0},
        ],
        "Limits": {"MostTries": 1},
        "Realms": [{"Name": "t", "QuotaRps": 74.0, "Share": 0.4}],
        "Rules": {"ColdFrom": 0.5, "OverloadFactor": 3.0, "TipAfterMs": 4.0, "WarmAfterMs": 24.0},
        "Goal": {"Whole": 1.0},
        "Tariffs": {"Probe": 1.0},
        "Tiers": ["x", "y"],
    })
}

/// Returns the error message for the settings, `None` if they are valid.
fn error_message(setup: Value) -> Option<String> {
    let setup: Setup = serde_json::from_value(setup).expect("the JSON matches the schema of the settings");
    validate(&setup).err().map(|error| error.to_string())
}

/// Asserts that the settings with `value` at the JSON pointer are rejected with this key and problem.
fn assert_invalid(pointer: &str, value: Value, key: &str, problem: &str) {
    let mut invalid = setup();
    let (parent, name) = pointer.rsplit_once('/').expect("the JSON pointer has a parent");
    match invalid.pointer_mut(parent).expect("the parent exists") {
        Value::Object(object) => object.insert(name.to_owned(), value),
        other => panic!("{parent} is not an object: {other}"),
    };
    assert_eq!(error_message(invalid), Some(format!("settings: {key} {problem}")), "{pointer}");
}

/// Asserts that the settings with a negative value at the JSON pointer are rejected with this key.
fn assert_not_negative(pointer: &str, key: &str) {
    assert_invalid(pointer, json!(-1.0), key, "is -1, but must be 0 or more");
}

#[test]
fn valid_settings_are_accepted() {
    assert_eq!(error_message(setup()), None);
}

#[test]
fn invalid_classes_are_rejected_with_their_keys() {
    let duplicate_name = "is \"get\", the name of an earlier class, but must be unique";
    let not_rack = "is \"rack\", but must be \"all\", \"zone\" or \"cell\"";
    let not_empty = "is \"\", but must be \"all\", \"zone\" or \"cell\"";
    assert_invalid("/Categories", json!([]), "Categories", "is empty, but must have a class");
    assert_invalid("/Categories/1/Name", json!("get"), "Categories[1].Name", duplicate_name);
    assert_invalid(
        "/Categories/0/TargetMs",
        json!(0.0),
        "Categories[0].TargetMs",
        "is 0, but must be above 0",
    );
    assert_invalid(
        "/Categories/1/DeadlineMs",
        json!(-1.0),
        "Categories[1].DeadlineMs",
        "is -1, but must be above 0",
    );
    // An unknown group is invalid even in a class without idempotency keys.
    assert_invalid("/Categories/0/Group", json!("rack"), "Categories[0].Group", not_rack);
    assert_invalid("/Categories/1/Group", json!(""), "Categories[1].Group", not_empty);
    assert_not_negative("/Categories/1/DedupWindowMs", "Categories[1].DedupWindowMs");
    assert_not_negative("/Categories/0/LateWorth", "Categories[0].LateWorth");
    assert_not_negative("/Categories/0/AimStretch", "Categories[0].AimStretch");
    assert_not_negative("/Categories/0/Value", "Categories[0].Value");
}

#[test]
fn invalid_tenants_and_prices_are_rejected_with_their_keys() {
    assert_invalid("/Realms/0/Share", json!(-0.1), "Realms[0].Share", "is -0.1, but must be 0 or more");
    assert_invalid("/Realms/0/QuotaRps", json!(-0.1), "Realms[0].QuotaRps", "is -0.1, but must be 0 or more");
    assert_not_negative("/Tariffs/Probe", "Tariffs.Probe");
}

#[test]
fn an_invalid_deployment_is_rejected_with_its_keys() {
    assert_invalid("/Balancers", json!(0), "Balancers", "is 0, but must be 1 or more");
    assert_invalid("/Stage", json!(2), "Stage", "is 2, but must be below 2, the number of Tiers");
    assert_invalid("/GranularityMs", json!(0.0001), "GranularityMs", "is 0.0001, but must be 0.001 or more");
    assert_not_negative("/OverShareWorth", "OverShareWorth");
}

#[test]
fn invalid_limits_are_rejected_with_their_keys() {
    let no_attempts = "is 0, but must be 1 or more: a request needs an attempt";
    assert_invalid("/Limits/MostTries", json!(0), "Limits.MostTries", no_attempts);
    assert_not_negative("/Limits/MaxRetryAfterMs", "Limits.MaxRetryAfterMs");
    assert_not_negative("/Limits/ConnectTimeoutMs", "Limits.ConnectTimeoutMs");
    assert_not_negative("/Limits/CpuUsPerRequest", "Limits.CpuUsPerRequest");
    assert_not_negative("/Limits/CpuUsPerS", "Limits.CpuUsPerS");
    assert_not_negative("/Limits/IdleCloseMs", "Limits.IdleCloseMs");
}

#[test]
fn invalid_rules_are_rejected_with_their_keys() {
    assert_invalid(
        "/Rules/ColdFrom",
        json!(0.0),
        "Rules.ColdFrom",
        "is 0, but must be above 0 and at most 1",
    );
    assert_invalid(
        "/Rules/ColdFrom",
        json!(1.1),
        "Rules.ColdFrom",
        "is 1.1, but must be above 0 and at most 1",
    );
    assert_not_negative("/Rules/WarmAfterMs", "Rules.WarmAfterMs");
    assert_not_negative("/Rules/OverloadFactor", "Rules.OverloadFactor");
    assert_not_negative("/Rules/TipAfterMs", "Rules.TipAfterMs");
    assert_not_negative("/Rules/AskWithinMs", "Rules.AskWithinMs");
    assert_not_negative("/Rules/DrainGraceMs", "Rules.DrainGraceMs");
    assert_not_negative("/Rules/GraceToAnswerMs", "Rules.GraceToAnswerMs");
}

#[test]
fn an_invalid_goal_is_rejected_with_its_keys() {
    assert_not_negative("/Goal/TailMiss", "Goal.TailMiss");
    assert_not_negative("/Goal/TailPart", "Goal.TailPart");
    assert_not_negative("/Goal/Whole", "Goal.Whole");
    assert_not_negative("/Goal/WorstClass", "Goal.WorstClass");
    assert_not_negative("/Goal/WorstTenant", "Goal.WorstTenant");
    assert_not_negative("/Goal/WorstWindow", "Goal.WorstWindow");
}
