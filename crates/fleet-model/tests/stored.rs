//! Fixed scenarios have their stored results, and the page on scenario files names every key.
//!
//! A change of the decision module may change the results on purpose. `STORE=1 cargo test -p zincstand-fleet-model
//! --test stored` then stores the new results, and the commit shows the differences.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;

use zincstand_fleet_model::catalog::{self, Size};
use zincstand_fleet_model::policy::Kind;
use zincstand_fleet_model::run_scenario;
use zincstand_fleet_model::scenario::Scenario;

const SCENARIOS: [(&str, u64, Size); 8] = [
    ("calm", 1, Size::Site),
    ("overload", 2, Size::Site),
    ("errors+heavy+deploy", 3, Size::Site),
    ("silent", 4, Size::Site),
    ("zone+join", 5, Size::Site),
    ("upgrade+hand", 34, Size::Site),
    ("killed+disco+slowclass", 6, Size::Site),
    ("join", 1, Size::Vast),
];

#[test]
fn fixed_scenarios_have_their_stored_results() {
    let mut table =
        String::from("# kind seed size policy: G, served, late, refused, failed, attempts, events\n");
    for (kind, seed, size) in SCENARIOS {
        let scenario = catalog::generate(kind, seed, size).unwrap();
        for policy in [Kind::Module, Kind::TwoChoices] {
            let result = run_scenario(&scenario, policy, false).unwrap().result;
            let ends = result.ends;
            writeln!(
                table,
                "{kind} {seed} {} {}: {:.9}, {}, {}, {}, {}, {}, {}",
                size.name(),
                policy.name(),
                result.g,
                ends.served,
                ends.late,
                ends.rejected,
                ends.failed,
                result.attempts,
                result.events
            )
            .unwrap();
        }
    }
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stored.txt");
    if std::env::var_os("STORE").is_some() {
        std::fs::write(&path, &table).unwrap();
    }
    let stored = std::fs::read_to_string(&path).unwrap();
    let changed: Vec<_> = stored.lines().zip(table.lines()).filter(|(stored, new)| stored != new).collect();
    assert!(
        changed.is_empty() && stored.len() == table.len(),
        "results differ from tests/stored.txt (stored line, new line): {changed:#?}"
    );
}

fn collect_keys(value: &toml::Value, found: &mut BTreeSet<String>) {
    match value {
        toml::Value::Table(table) => {
            for (key, value) in table {
                found.insert(key.clone());
                collect_keys(value, found);
            }
        }
        toml::Value::Array(values) => values.iter().for_each(|value| collect_keys(value, found)),
        _ => {}
    }
}

#[test]
fn the_page_on_scenario_files_names_every_key_and_kind_of_fault() {
    let page = include_str!("../../../docs/scenario-files.md");
    let mut found = BTreeSet::new();
    for (part, _) in catalog::PARTS {
        // Several seeds, because it is also drawn whether servers can choke.
        for seed in 0..8 {
            let scenario: Scenario = catalog::generate(part, seed, Size::Small).unwrap();
            let text: toml::Value = toml::from_str(&scenario.text().unwrap()).unwrap();
            collect_keys(&text, &mut found);
            for fault in text.get("fault").and_then(|faults| faults.as_array()).into_iter().flatten() {
                found.insert(fault["kind"].as_str().unwrap().to_owned());
            }
        }
    }
    assert!(found.len() > 80, "{found:?}");
    let missing: Vec<_> = found
        .iter()
        .filter(|key| {
            !["[[", "[", "`", "."].iter().any(|prefix| {
                ["`", "]", ","].iter().any(|suffix| page.contains(&format!("{prefix}{key}{suffix}")))
            })
        })
        .collect();
    assert!(missing.is_empty(), "docs/scenario-files.md does not describe {missing:?}");
}
