use rand::RngExt;

use super::*;
use crate::random::{self, Purpose};

fn row(kind: &str, seed: u64, g: f64) -> Row {
    let line = format!(
        r#"{{"label":"x","kind":"{kind}","seed":{seed},"size":"site","policy":"module","g":{g},"counted":{g},
        "whole":0,"worst_window":0,"worst_class":0,"worst_tenant":0,"prices":0,"waste":0,"requests":0,
        "attempts":0,"choked":0,"fallen":0,"broken":0}}"#
    );
    serde_json::from_str(&line).unwrap()
}

#[test]
fn rows_are_paired_by_scenario_and_the_interval_contains_the_true_difference() {
    let mut rng = random::stream(1, Purpose::Request, 9);
    let a: Vec<Row> = (0..100).map(|seed| row("calm", seed, rng.random())).collect();
    let b: Vec<Row> = a
        .iter()
        .rev()
        .map(|row_of_a| row("calm", row_of_a.seed, row_of_a.g + 0.02 + 0.1 * (rng.random::<f64>() - 0.5)))
        .collect();
    let comparison = Comparison::of(&a, &b, |r| r.g).unwrap();
    assert_eq!((comparison.pairs.len(), comparison.unpaired), (100, 0));
    assert!(comparison.all.low < 0.02 && 0.02 < comparison.all.high, "{:?}", comparison.all);
    assert!(
        comparison.all.high - comparison.all.low < 0.015,
        "the interval is wide although pairing removes the differences between scenarios: {:?}",
        comparison.all
    );
    assert!((comparison.better + comparison.worse - 1.0).abs() < 1e-9);
}

#[test]
fn repeated_scenarios_and_lists_without_common_scenarios_are_rejected() {
    let repeated = [row("calm", 1, 0.5), row("calm", 1, 0.6)];
    assert!(
        Comparison::of(&repeated, &repeated[..1], |r| r.g)
            .unwrap_err()
            .to_string()
            .contains("more than once")
    );
    assert!(
        Comparison::of(&repeated[..1], &[row("busy", 1, 0.5)], |r| r.g)
            .unwrap_err()
            .to_string()
            .contains("no scenario")
    );
}
