//! `zincstand scale`, as far as it starts nothing: what it cannot measure.

use std::process::Command;

/// Runs a command that must fail; the error that it prints.
fn error(args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_zincstand")).args(args).output().expect("it runs");
    assert_eq!(output.status.code(), Some(1), "{args:?}");
    let text = String::from_utf8(output.stderr).expect("it is text");
    text.lines().filter(|line| line.starts_with("error: ")).map(str::to_owned).collect()
}

#[test]
fn a_missing_balancer_is_reported_with_what_to_do() {
    let error = error(&["scale", "memory", "--quick", "--balancer", "/nowhere/zincstand-proxy"]);
    assert!(error.contains("/nowhere/zincstand-proxy") && error.contains("cargo build --release"), "{error}");
}

#[test]
fn more_processes_than_the_bound_are_rejected_before_any_starts() {
    let sizes = vec!["1"; 301].join(",");
    // Any file passes for the program: it is not started.
    let program = env!("CARGO_BIN_EXE_zincstand");
    let error = error(&["scale", "control", "--balancer", program, "--upstreams", &sizes]);
    assert!(error.contains("301 processes") && error.contains("smaller sizes"), "{error}");
}
