//! Files written by the version in service stay readable, and the formats keep their keys.
//!
//! The fixtures were written by revision a4f1f98: a day file, the JSON of `model run` for it and for a day on which
//! rules are broken, and the rows of an experiment. Names in the source may change, names in these files may not.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::Value;

const KIND_OF_THE_FIXTURE: &str = "errors+heavy+deploy+slowclass+zone+hand+upgrade";

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn model(args: &[&str]) -> String {
    let program = env!("CARGO_BIN_EXE_zincstand");
    let output = Command::new(program).arg("model").args(args).output().unwrap();
    assert!(output.status.success(), "{args:?}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

/// The path of every key, with the type of its value; the entries of a list count as one.
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

fn stored(name: &str) -> String {
    std::fs::read_to_string(fixture(name)).unwrap()
}

#[test]
fn a_drawn_day_is_written_to_the_byte_as_before() {
    let written = model(&["day", "--kind", KIND_OF_THE_FIXTURE, "--seed", "2", "--size", "small"]);
    assert_eq!(written, stored("day.toml"));
}

#[test]
fn a_stored_day_plays_and_its_result_has_the_same_keys() {
    let day = fixture("day.toml");
    let result = model(&["run", day.to_str().unwrap(), "--policy", "module,random", "--json"]);
    let keys = keys_of_lines(&result);
    assert!(keys.len() > 20, "{keys:?}");
    assert_eq!(keys, keys_of_lines(&stored("run.jsonl")));
}

#[test]
fn broken_rules_are_reported_under_the_same_keys() {
    let day = fixture("broken_rules.toml");
    let result = model(&["run", day.to_str().unwrap(), "--policy", "random", "--json"]);
    let keys = keys_of_lines(&result);
    assert!(keys.contains(".result.breaches[].rule: text"), "{keys:?}");
    assert_eq!(keys, keys_of_lines(&stored("broken_rules.jsonl")));
}

#[test]
fn an_experiments_rows_have_the_same_keys_and_old_rows_are_still_compared() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("stored_formats_rows.jsonl");
    let new = path.to_str().unwrap();
    let policies = ["--policies", "module,random,oracle", "--label", "base", "--out", new];
    let days = ["experiment", "--kinds", "calm,silent", "--seeds", "2", "--size", "small"];
    model(&[&days[..], &policies[..]].concat());
    let written = std::fs::read_to_string(&path).unwrap();
    assert_eq!(keys_of_lines(&written), keys_of_lines(&stored("experiment.jsonl")));
    assert_eq!(written.lines().count(), stored("experiment.jsonl").lines().count());

    let old = fixture("experiment.jsonl");
    let old = old.to_str().unwrap();
    let table = model(&["compare", old, new, "--policy-a", "random", "--policy-b", "random"]);
    assert!(table.contains("calm") && table.contains("silent"), "{table}");
}
