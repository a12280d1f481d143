//! Errors that `zincstand scale` reports before it starts a process.

use std::process::Command;

/// Runs a command that must fail, and returns the errors that it prints.
fn errors_of(args: &[&str]) -> String {
    let output =
        Command::new(env!("CARGO_BIN_EXE_zincstand")).args(args).output().expect("zincstand can be started");
    assert_eq!(output.status.code(), Some(1), "{args:?}");
    let text = String::from_utf8(output.stderr).expect("standard error is UTF-8");
    text.lines().filter(|line| line.starts_with("error: ")).map(str::to_owned).collect()
}

#[test]
fn a_missing_balancer_is_reported_with_what_to_do() {
    let error = errors_of(&["scale", "memory", "--quick", "--balancer", "/nowhere/zincstand-proxy"]);
    assert!(error.contains("/nowhere/zincstand-proxy") && error.contains("cargo build --release"), "{error}");
}

#[test]
fn more_processes_than_the_limit_are_rejected_before_any_starts() {
    let sizes = vec!["1"; 301].join(",");
    // Any existing file is accepted as the balancer, because it is not started.
    let program = env!("CARGO_BIN_EXE_zincstand");
    let error = errors_of(&["scale", "control", "--balancer", program, "--upstreams", &sizes]);
    assert!(error.contains("301 processes") && error.contains("smaller sizes"), "{error}");
}
