//! Compatibility of stored files: files of the version in service must stay readable, and each format must keep its
//! keys.
//!
//! The fixtures were written by revision a4f1f98: a scenario file, the JSON of `model run` for it and for a scenario
//! in which rules are broken, and the rows of an experiment. The JSON of a comparison and the files that `ramp`,
//! `depth`, `failures` and `scale` write with `--out` are from revision cf5f55c. Names in the source may change, names
//! in these files must not.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::Value;
use zincstand_testbed::machine::Machine;
use zincstand_testbed::report::{Report, Slope};
use zincstand_testbed::slope::Point;

/// Kind from which `fixtures/day.toml` was drawn.
const SCENARIO_FIXTURE_KIND: &str = "errors+heavy+deploy+slowclass+zone+hand+upgrade";

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn run_model(args: &[&str]) -> String {
    let program = env!("CARGO_BIN_EXE_zincstand");
    let output = Command::new(program).arg("model").args(args).output().unwrap();
    assert!(output.status.success(), "{args:?}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

/// Adds the path of every key with the type of its value. All entries of a list have the same path.
fn collect_keys(value: &Value, path: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                collect_keys(value, &format!("{path}.{key}"), found);
            }
        }
        Value::Array(entries) => {
            found.insert(format!("{path}: list"));
            for entry in entries {
                collect_keys(entry, &format!("{path}[]"), found);
            }
        }
        Value::Number(_) => {
            found.insert(format!("{path}: number"));
        }
        Value::String(_) => {
            found.insert(format!("{path}: text"));
        }
        Value::Bool(_) => {
            found.insert(format!("{path}: bool"));
        }
        Value::Null => {
            found.insert(format!("{path}: null"));
        }
    }
}

fn keys_of_lines(lines: &str) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for line in lines.lines() {
        collect_keys(&serde_json::from_str(line).unwrap(), "", &mut found);
    }
    found
}

fn keys_of_document(document: &str) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    collect_keys(&serde_json::from_str(document).unwrap(), "", &mut found);
    found
}

/// Runs a command of the model that writes a file with `--out`, and returns the keys of the file.
fn keys_written(name: &str, args: &[&str]) -> BTreeSet<String> {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    run_model(&[args, &["--out", path.to_str().unwrap()]].concat());
    let mut keys = keys_of_document(&std::fs::read_to_string(&path).unwrap());
    // Outside of a repository the commit is unknown and its value is null.
    if keys.remove(".source.revision: null") {
        keys.insert(".source.revision: text".to_owned());
    }
    keys
}

fn read_fixture(name: &str) -> String {
    std::fs::read_to_string(fixture_path(name)).unwrap()
}

#[test]
fn a_drawn_scenario_is_identical_to_the_stored_file() {
    let drawn = ["--kind", SCENARIO_FIXTURE_KIND, "--seed", "2", "--size", "small"];
    for command in ["scenario", "day"] {
        let printed = run_model(&[&[command], &drawn[..]].concat());
        assert_eq!(printed, read_fixture("day.toml"), "model {command}");
    }
}

#[test]
fn a_stored_scenario_runs_and_its_result_has_the_same_keys() {
    let scenario = fixture_path("day.toml");
    let result = run_model(&["run", scenario.to_str().unwrap(), "--policy", "module,random", "--json"]);
    let keys = keys_of_lines(&result);
    assert!(keys.len() > 20, "{keys:?}");
    assert_eq!(keys, keys_of_lines(&read_fixture("run.jsonl")));
}

#[test]
fn broken_rules_are_reported_under_the_same_keys() {
    let scenario = fixture_path("broken_rules.toml");
    let result = run_model(&["run", scenario.to_str().unwrap(), "--policy", "random", "--json"]);
    let keys = keys_of_lines(&result);
    assert!(keys.contains(".result.breaches[].rule: text"), "{keys:?}");
    assert_eq!(keys, keys_of_lines(&read_fixture("broken_rules.jsonl")));
}

#[test]
fn the_rows_of_an_experiment_have_the_same_keys_and_stored_rows_can_be_compared() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("stored_formats_rows.jsonl");
    let new = path.to_str().unwrap();
    let policies = ["--policies", "module,random,oracle", "--label", "base", "--out", new];
    let scenarios = ["experiment", "--kinds", "calm,silent", "--seeds", "2", "--size", "small"];
    run_model(&[&scenarios[..], &policies[..]].concat());
    let written = std::fs::read_to_string(&path).unwrap();
    assert_eq!(keys_of_lines(&written), keys_of_lines(&read_fixture("experiment.jsonl")));
    assert_eq!(written.lines().count(), read_fixture("experiment.jsonl").lines().count());

    let old = fixture_path("experiment.jsonl");
    let old = old.to_str().unwrap();
    let table = run_model(&["compare", old, new, "--policy-a", "random", "--policy-b", "random"]);
    assert!(table.contains("calm") && table.contains("silent"), "{table}");
}

#[test]
fn a_comparison_has_the_same_keys() {
    let rows = fixture_path("experiment.jsonl");
    let rows = rows.to_str().unwrap();
    let comparison =
        run_model(&["compare", "--json", rows, rows, "--policy-a", "random", "--policy-b", "module"]);
    assert_eq!(keys_of_document(&comparison), keys_of_document(&read_fixture("compare.json")));
}

#[test]
fn the_lines_of_slow_start_have_the_same_keys() {
    for command in ["slow-start", "ramp"] {
        let args = [command, "--balancers", "2", "--seeds", "2", "--cold-from", "0.4"];
        let keys = keys_written("stored_formats_ramp.json", &args);
        assert!(keys.contains("[].excess_told[]: number"), "{keys:?}");
        assert_eq!(keys, keys_of_document(&read_fixture("ramp.json")), "model {command}");
    }
}

#[test]
fn the_result_of_depth_has_the_same_keys() {
    let args = ["depth", "--quick", "--seeds", "1", "--tiers", "2,3,4,5"];
    let keys = keys_written("stored_formats_depth.json", &args);
    assert!(keys.contains(".result.rows[].trouble: text"), "{keys:?}");
    assert_eq!(keys, keys_of_document(&read_fixture("depth.json")));
}

/// Adds all texts under a key anywhere in the document, such as the names of conditions, failures or shapes.
fn texts_under(value: &Value, key: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                if name == key {
                    found.extend(value.as_str().map(str::to_owned));
                }
                texts_under(value, key, found);
            }
        }
        Value::Array(entries) => {
            for entry in entries {
                texts_under(entry, key, found);
            }
        }
        _ => {}
    }
}

#[test]
fn the_names_of_conditions_failures_and_shapes_are_the_stored_ones() {
    let names = |file: &str, key: &str| -> Vec<String> {
        let mut found = BTreeSet::new();
        texts_under(&serde_json::from_str(&read_fixture(file)).unwrap(), key, &mut found);
        found.into_iter().collect()
    };
    let all = |values: Vec<Value>| -> Vec<String> {
        let texts: BTreeSet<String> = values.iter().map(|value| value.as_str().unwrap().to_owned()).collect();
        texts.into_iter().collect()
    };
    let conditions =
        zincstand_fleet_model::depth::DepthCondition::ALL.map(|condition| serde_json::json!(condition));
    assert_eq!(all(conditions.to_vec()), names("depth.json", "trouble"));
    let failures = zincstand_fleet_model::failures::Failure::ALL.map(|failure| serde_json::json!(failure));
    assert_eq!(all(failures.to_vec()), names("failures.json", "failure"));
    let shapes = zincstand_fleet_model::slow_start::StartCause::ALL.map(|shape| serde_json::json!(shape));
    assert_eq!(all(shapes.to_vec()), names("ramp.json", "shape"));
}

#[test]
fn the_result_of_failures_has_the_same_keys() {
    let args = ["failures", "--quick", "--servers", "28", "--rate", "0.5"];
    let keys = keys_written("stored_formats_failures.json", &args);
    assert!(keys.contains(".result.rows[].dip: number"), "{keys:?}");
    assert_eq!(keys, keys_of_document(&read_fixture("failures.json")));
}

/// Builds the report as the measurements do, without running them: they need sockets and take minutes.
#[test]
fn the_report_of_scale_has_the_same_keys() {
    let points = (1..=5).map(|x| Point { x: f64::from(x), y: f64::from(x * x) }).collect();
    let slope = Slope::new("memory by upstreams", "upstreams", "MB", points).remark("one sample a point");
    let machine = Machine { cores: 8, processor: "some processor".to_owned(), memory_mb: 24_000 };
    let revision = "0123456789ab".to_owned();
    let report = Report { machine, revision, seed: 1, quick: true, duration_s: 1.5, slopes: vec![slope] };
    let written = serde_json::to_string(&report).unwrap();
    assert_eq!(keys_of_document(&written), keys_of_document(&read_fixture("scale.json")));
}
