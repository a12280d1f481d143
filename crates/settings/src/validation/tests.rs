use serde_json::{Value, json};

use super::*;

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

fn error(setup: Value) -> Option<String> {
    let setup: Setup = serde_json::from_value(setup).expect("a setup");
    validate(&setup).err().map(|error| error.to_string())
}

#[test]
fn every_fault_is_reported_with_its_key() {
    assert_eq!(error(setup()), None);
    let not_negative = "must be 0 or more";
    for (pointer, value, key, problem) in [
        ("/Categories", json!([]), "Categories", "has no class: there is nothing to serve"),
        ("/Categories/1/Name", json!("get"), "Categories[1].Name", "\"get\" stands twice"),
        ("/Categories/0/TargetMs", json!(0.0), "Categories[0].TargetMs", "must be over 0"),
        ("/Categories/1/DeadlineMs", json!(-1.0), "Categories[1].DeadlineMs", "must be over 0"),
        // Also of a class that has no use for it.
        (
            "/Categories/0/Group",
            json!("rack"),
            "Categories[0].Group",
            "must be \"all\", \"zone\" or \"cell\"",
        ),
        ("/Categories/1/Group", json!(""), "Categories[1].Group", "must be \"all\", \"zone\" or \"cell\""),
        ("/Categories/1/DedupWindowMs", json!(-1.0), "Categories[1].DedupWindowMs", not_negative),
        ("/Categories/0/LateWorth", json!(-1.0), "Categories[0].LateWorth", not_negative),
        ("/Categories/0/AimStretch", json!(-1.0), "Categories[0].AimStretch", not_negative),
        ("/Categories/0/Value", json!(-1.0), "Categories[0].Value", not_negative),
        ("/Realms/0/Share", json!(-0.1), "Realms[0].Share", not_negative),
        ("/Realms/0/QuotaRps", json!(-0.1), "Realms[0].QuotaRps", not_negative),
        ("/Tariffs/Probe", json!(-1.0), "Tariffs.Probe", not_negative),
        ("/Balancers", json!(0), "Balancers", "must be 1 or more"),
        ("/Stage", json!(2), "Stage", "must be under 2, the number of Tiers"),
        ("/GranularityMs", json!(0.0001), "GranularityMs", "must be 0.001 or more"),
        ("/OverShareWorth", json!(-1.0), "OverShareWorth", not_negative),
        (
            "/Limits/MostTries",
            json!(0),
            "Limits.MostTries",
            "must be 1 or more: no attempts allowed serves nobody",
        ),
        ("/Limits/MaxRetryAfterMs", json!(-1.0), "Limits.MaxRetryAfterMs", not_negative),
        ("/Limits/ConnectTimeoutMs", json!(-1.0), "Limits.ConnectTimeoutMs", not_negative),
        ("/Limits/CpuUsPerRequest", json!(-1.0), "Limits.CpuUsPerRequest", not_negative),
        ("/Limits/CpuUsPerS", json!(-1.0), "Limits.CpuUsPerS", not_negative),
        ("/Limits/IdleCloseMs", json!(-1.0), "Limits.IdleCloseMs", not_negative),
        ("/Rules/ColdFrom", json!(0.0), "Rules.ColdFrom", "must be over 0 and at most 1"),
        ("/Rules/ColdFrom", json!(1.1), "Rules.ColdFrom", "must be over 0 and at most 1"),
        ("/Rules/WarmAfterMs", json!(-1.0), "Rules.WarmAfterMs", not_negative),
        ("/Rules/OverloadFactor", json!(-1.0), "Rules.OverloadFactor", not_negative),
        ("/Rules/TipAfterMs", json!(-1.0), "Rules.TipAfterMs", not_negative),
        ("/Rules/AskWithinMs", json!(-1.0), "Rules.AskWithinMs", not_negative),
        ("/Rules/DrainGraceMs", json!(-1.0), "Rules.DrainGraceMs", not_negative),
        ("/Rules/GraceToAnswerMs", json!(-1.0), "Rules.GraceToAnswerMs", not_negative),
        ("/Goal/TailMiss", json!(-1.0), "Goal.TailMiss", not_negative),
        ("/Goal/TailPart", json!(-1.0), "Goal.TailPart", not_negative),
        ("/Goal/Whole", json!(-1.0), "Goal.Whole", not_negative),
        ("/Goal/WorstClass", json!(-1.0), "Goal.WorstClass", not_negative),
        ("/Goal/WorstTenant", json!(-1.0), "Goal.WorstTenant", not_negative),
        ("/Goal/WorstWindow", json!(-1.0), "Goal.WorstWindow", not_negative),
    ] {
        let mut faulty = setup();
        let (parent, name) = pointer.rsplit_once('/').expect("a pointer");
        match faulty.pointer_mut(parent).expect("an object") {
            Value::Object(object) => object.insert(name.to_owned(), value),
            other => panic!("{parent} is no object: {other}"),
        };
        assert_eq!(error(faulty), Some(format!("settings: {key} {problem}")), "{pointer}");
    }
}
